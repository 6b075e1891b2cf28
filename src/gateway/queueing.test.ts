import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import { AskBudget } from "./askBudget.js";
import type { InstanceLoad } from "./dialect.js";
import { DurationEstimates } from "./durationEstimates.js";
import { isHopeless, isWorthAsking, placeWaiting, sortWaiting, type WaitingRequest } from "./placement.js";
import { drawRetryAfterMs, RefusalCause } from "./refusals.js";
import { UpstreamBoard, type UpstreamRow } from "./upstreamBoard.js";

const nowMs = 10_000;

function makeRows(loads: readonly InstanceLoad[]): readonly UpstreamRow[] {
    const board = new UpstreamBoard();
    loads.forEach((_load, index) =>
        board.set(makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80` }), nowMs)
    );
    const rows = board.list();
    rows.forEach((row, index) => Object.assign(row, { load: loads[index], loadAskedAtMs: nowMs, isUsed: true }));
    return rows;
}

function makeWaiting(overrides: Partial<WaitingRequest> = {}): WaitingRequest {
    const times = { targetAtMs: nowMs + 300, inTimeUntilMs: nowMs + 100, untilMs: nowMs + 120 };
    return { priority: 1, usualMs: 120, ...times, ...overrides };
}

function load(running: number, slowdown: number, slots = 3): InstanceLoad {
    return { running, waiting: 0, slots, slowdown };
}

const late = { inTimeUntilMs: nowMs - 1, targetAtMs: nowMs + 100 };

const cases: readonly {
    readonly name: string;
    readonly waiting: Partial<WaitingRequest>;
    readonly loads: readonly InstanceLoad[];
    readonly chosen: string | undefined;
}[] = [
    { name: "goes where it is in time", waiting: {}, loads: [load(0, 5), load(1, 1)], chosen: "i-1" },
    {
        name: "waits while only slow upstreams have room",
        waiting: {},
        loads: [load(0, 5), load(2, 1)],
        chosen: undefined,
    },
    {
        name: "takes the last slot at the end of its wait when it is still in time",
        waiting: { inTimeUntilMs: nowMs },
        loads: [load(0, 5), load(2, 1)],
        chosen: "i-1",
    },
    {
        name: "takes an upstream without work when it is late",
        waiting: late,
        loads: [load(0, 5), load(1, 1)],
        chosen: "i-0",
    },
    {
        name: "leaves a slot in use to others when it is late",
        waiting: late,
        loads: [load(1, 1), load(1, 5)],
        chosen: undefined,
    },
];

for (const { name, waiting, loads, chosen } of cases) {
    test(`guards against slots that late requests take from others in a burst: a request ${name}`, t => {
        const placement = placeWaiting(makeWaiting(waiting), makeRows(loads), new SeededRandom(1), nowMs);
        t.is(placement?.row.registration.id, chosen);
    });
}

test("guards against a less urgent request that gets room before a more urgent one", t => {
    const order = sortWaiting([
        { ...makeWaiting({ priority: 2 }), name: "less urgent" },
        { ...makeWaiting({ priority: 0, inTimeUntilMs: nowMs - 1 }), name: "late" },
        { ...makeWaiting({ priority: 1, untilMs: nowMs + 200 }), name: "urgent, later" },
        { ...makeWaiting({ priority: 1 }), name: "urgent" },
    ], nowMs);
    t.deepEqual(order.map(row => row.name), ["urgent", "urgent, later", "less urgent", "late"]);
});

test("guards against questions that cannot help, while they are limited", t => {
    const loads = [load(0, 5), load(3, 1), load(1, 1)];
    const rows = makeRows(loads);
    const ask = (request: Partial<WaitingRequest>, atMs: number) =>
        rows.filter(row => isWorthAsking(row, [makeWaiting(request)], atMs)).map(row => row.registration.id);
    t.deepEqual(ask({}, nowMs + 25), ["i-1", "i-2"], "a slow machine stays slow for a while");
    t.deepEqual(ask({}, nowMs + 80), ["i-0", "i-1", "i-2"]);
    const past = { inTimeUntilMs: nowMs - 1, targetAtMs: nowMs - 1 };
    t.deepEqual(ask(past, nowMs + 25), ["i-0"], "a late request goes only where there is no work");
});

test("guards against waits that cannot end well: a request behind too many others is refused at once", t => {
    t.false(isHopeless(3, 0, 100), "a few may wait before a rate is known");
    t.false(isHopeless(10, 60, 100));
    t.true(isHopeless(13, 60, 100));
});

test("guards against questions beyond the operators' budget in a burst", t => {
    const budget = new AskBudget();
    let asked = 0;
    for (let atMs = 0; atMs < 60_000; atMs += 20) {
        asked += budget.take(6, 10, atMs);
    }
    t.true(asked <= 10 * 60 + 40, `${asked} questions in a minute at 10 a second, with 4 s saved up`);
    t.true(asked >= 10 * 60);
});

interface BurstResult {
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
}

interface BurstOptions {
    readonly arrivalsPerSecond: number;
    /** Whether requests take any room, also where they are late. */
    readonly takesAnyRoom?: boolean;
    /** Whether refused callers come back, and whether their age is known then. */
    readonly returning?: "as new" | "with their age";
}

interface PlayedRequest extends WaitingRequest {
    readonly firstMs: number;
    readonly tries: number;
}

const maxTries = 3;

/**
 * Plays a burst at one service: 12 upstreams of 3 slots, a quarter of them five times slower, others every 150 ms. Work
 * goes on at the speed of the moment, and a full upstream works 1.7 times as long.
 */
function playBurst({ arrivalsPerSecond, takesAnyRoom = false, returning }: BurstOptions): BurstResult {
    const random = new SeededRandom(3);
    const stepMs = 5;
    const upstreams = makeRows(Array.from({ length: 12 }, () => load(0, 1)))
        .map(row => ({ row, work: [] as { leftMs: number; readonly startMs: number; }[] }));
    let waiting: PlayedRequest[] = [];
    let away: { readonly atMs: number; readonly firstMs: number; readonly tries: number; }[] = [];
    const result = { inTime: 0, late: 0, refused: 0 };
    const arrive = (atMs: number, firstMs: number, tries: number) => {
        const targetAtMs = (returning === "with their age" ? firstMs : atMs) + 300;
        const inTimeUntilMs = Math.min(atMs + 105, targetAtMs - 120);
        waiting.push({ priority: 1, usualMs: 120, targetAtMs, inTimeUntilMs, untilMs: atMs + 120, firstMs, tries });
    };
    for (let atMs = 0; atMs < 10_000; atMs += stepMs) {
        if (atMs % 150 === 0) {
            upstreams.forEach(({ row }) => row.load = load(0, random.nextUnit() < 0.25 ? 5 : 1));
        }
        for (const { row, work } of upstreams) {
            const slowdown = (row.load?.slowdown ?? 1) * (work.length >= 3 ? 1.7 : 1);
            work.forEach(item => item.leftMs -= stepMs / slowdown);
            const done = work.filter(item => item.leftMs <= 0);
            done.forEach(item => atMs - item.startMs <= 300 ? result.inTime++ : result.late++);
            work.splice(0, work.length, ...work.filter(item => item.leftMs > 0));
            row.load = load(work.length, row.load?.slowdown ?? 1);
            row.loadAskedAtMs = atMs;
        }
        if (random.nextUnit() < arrivalsPerSecond * stepMs / 1000) {
            arrive(atMs, atMs, 1);
        }
        away.filter(caller => caller.atMs <= atMs).forEach(caller => arrive(atMs, caller.firstMs, caller.tries));
        away = away.filter(caller => caller.atMs > atMs);
        const rows = upstreams.map(upstream => upstream.row);
        for (const request of sortWaiting(waiting, atMs)) {
            const patient = takesAnyRoom ? { ...request, targetAtMs: Infinity } : request;
            const choice = placeWaiting(patient, rows, random, atMs);
            if (choice !== undefined) {
                const upstream = upstreams.find(other => other.row === choice.row);
                upstream?.work.push({ leftMs: 120, startMs: request.firstMs });
                choice.row.load = load(upstream?.work.length ?? 0, choice.row.load?.slowdown ?? 1);
                waiting = waiting.filter(other => other !== request);
            }
        }
        for (const { firstMs, tries } of waiting.filter(request => request.untilMs <= atMs)) {
            if (returning !== undefined && tries < maxTries) {
                const untilDeadlineMs = firstMs + 2500 - atMs;
                const refused = { cause: RefusalCause.noRoom, untilTargetMs: 0, usualMs: 120, untilDeadlineMs };
                away.push({ atMs: atMs + drawRetryAfterMs(refused, random), firstMs, tries: tries + 1 });
            }
            else {
                result.refused++;
            }
        }
        waiting = waiting.filter(request => request.untilMs > atMs);
    }
    return result;
}

test("guards against questions saved up over hours that an upstream gets all at once", t => {
    const budget = new AskBudget();
    t.is(budget.take(1000, 10, 0), 40, "4 s of the rate at the start");
    t.is(budget.take(1000, 10, 3_600_000), 100, "10 s of the rate after an hour");
    t.is(budget.take(1000, 10, 3_600_500), 5);
});

test("guards against a burst after which everything is late: requests that cannot be in time are refused instead", t => {
    const arrivalsPerSecond = 190;
    const choosy = playBurst({ arrivalsPerSecond });
    const greedy = playBurst({ arrivalsPerSecond, takesAnyRoom: true });
    t.true(choosy.inTime > greedy.inTime, JSON.stringify({ choosy, greedy }));
    t.true(choosy.late < greedy.late, JSON.stringify({ choosy, greedy }));
    t.true(choosy.inTime > choosy.late + choosy.refused, JSON.stringify(choosy));
});

test("guards against refused callers that come back and take the room of requests that can be in time", t => {
    const arrivalsPerSecond = 190;
    const withAge = playBurst({ arrivalsPerSecond, returning: "with their age" });
    const asNew = playBurst({ arrivalsPerSecond, returning: "as new" });
    t.true(withAge.inTime > asNew.inTime, JSON.stringify({ withAge, asNew }));
});

test("guards against refusals while there is room", t => {
    const { inTime, late, refused } = playBurst({ arrivalsPerSecond: 60 });
    t.true(inTime > 0.9 * (inTime + late + refused), JSON.stringify({ inTime, late, refused }));
});

test("guards against estimates that follow slow machines: the duration counts by the cost at which it was chosen", t => {
    const durations = new DurationEstimates();
    t.is(durations.get("stock", 300), 135);
    durations.note("stock", 600, 5);
    t.is(durations.get("stock", 300), 120);
});
