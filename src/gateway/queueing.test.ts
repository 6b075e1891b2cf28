import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import type { InstanceLoad } from "./dialect.js";
import { DurationEstimates } from "./durationEstimates.js";
import { LoadProbeBudget } from "./loadProbeBudget.js";
import { isQueueTooLong, isWorthProbing, placeRequest, sortWaiting, type WaitingRequest } from "./placement.js";
import { drawRetryAfterMs, RefusalCause } from "./refusals.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const nowMs = 10_000;

function makeUpstreamStates(loads: readonly InstanceLoad[]): readonly UpstreamState[] {
    const upstreamTable = new UpstreamStateTable();
    loads.forEach((_load, index) =>
        upstreamTable.set(makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80` }), nowMs)
    );
    const candidates = upstreamTable.list();
    candidates.forEach((upstreamState, index) =>
        Object.assign(upstreamState, { load: loads[index], loadAskedAtMs: nowMs, isUsed: true })
    );
    return candidates;
}

function makeWaitingRequest(overrides: Partial<WaitingRequest> = {}): WaitingRequest {
    const times = { targetAtMs: nowMs + 300, onTimeOnlyUntilMs: nowMs + 100, waitUntilMs: nowMs + 120 };
    return { priority: 1, baselineMs: 120, ...times, ...overrides };
}

function load(running: number, slowdown: number, slots = 3): InstanceLoad {
    return { running, waiting: 0, slots, slowdown };
}

const late = { onTimeOnlyUntilMs: nowMs - 1, targetAtMs: nowMs + 100 };

const cases: readonly {
    readonly name: string;
    readonly waiting: Partial<WaitingRequest>;
    readonly loads: readonly InstanceLoad[];
    readonly chosen: string | undefined;
}[] = [
    { name: "is placed where it is on time", waiting: {}, loads: [load(0, 5), load(1, 1)], chosen: "i-1" },
    {
        name: "waits while only slow upstreams have free slots",
        waiting: {},
        loads: [load(0, 5), load(2, 1)],
        chosen: undefined,
    },
    {
        name: "takes the last slot at the end of its wait when it is still on time",
        waiting: { onTimeOnlyUntilMs: nowMs },
        loads: [load(0, 5), load(2, 1)],
        chosen: "i-1",
    },
    {
        name: "takes an idle upstream when it is late",
        waiting: late,
        loads: [load(0, 5), load(1, 1)],
        chosen: "i-0",
    },
    {
        name: "leaves the free slots of busy upstreams to others when it is late",
        waiting: late,
        loads: [load(1, 1), load(1, 5)],
        chosen: undefined,
    },
];

for (const { name, waiting, loads, chosen } of cases) {
    test(`guards against late requests that use the slots of others in a burst: a request ${name}`, t => {
        const placement = placeRequest(
            makeWaitingRequest(waiting),
            makeUpstreamStates(loads),
            new SeededRandom(1),
            nowMs,
        );
        t.is(placement?.upstreamState.registration.id, chosen);
    });
}

test("guards against a less urgent request that is placed before a more urgent one", t => {
    const order = sortWaiting([
        { ...makeWaitingRequest({ priority: 2 }), name: "less urgent" },
        { ...makeWaitingRequest({ priority: 0, onTimeOnlyUntilMs: nowMs - 1 }), name: "accepts late placement" },
        { ...makeWaitingRequest({ priority: 1, waitUntilMs: nowMs + 200 }), name: "urgent, later" },
        { ...makeWaitingRequest({ priority: 1 }), name: "urgent" },
    ], nowMs);
    t.deepEqual(order.map(waitingRequest => waitingRequest.name), [
        "urgent",
        "urgent, later",
        "less urgent",
        "accepts late placement",
    ]);
});

test("guards against spending limited probes where they cannot help", t => {
    const loads = [load(0, 5), load(3, 1), load(1, 1)];
    const candidates = makeUpstreamStates(loads);
    const listProbed = (request: Partial<WaitingRequest>, atMs: number) =>
        candidates.filter(upstreamState => isWorthProbing(upstreamState, [makeWaitingRequest(request)], atMs)).map(
            upstreamState => upstreamState.registration.id,
        );
    t.deepEqual(listProbed({}, nowMs + 25), ["i-1", "i-2"], "a slow machine stays slow for a while");
    t.deepEqual(listProbed({}, nowMs + 80), ["i-0", "i-1", "i-2"]);
    const expired = { onTimeOnlyUntilMs: nowMs - 1, targetAtMs: nowMs - 1 };
    t.deepEqual(listProbed(expired, nowMs + 25), ["i-0"], "a late request is placed only on an idle upstream");
});

test("guards against futile waits: a request behind too many others is refused immediately", t => {
    t.false(isQueueTooLong(3, 0, 100), "a few may wait before a rate is known");
    t.false(isQueueTooLong(10, 60, 100));
    t.true(isQueueTooLong(13, 60, 100));
});

test("guards against probes beyond the operators' budget in a burst", t => {
    const budget = new LoadProbeBudget();
    let probeTotal = 0;
    for (let atMs = 0; atMs < 60_000; atMs += 20) {
        probeTotal += budget.take(6, 10, atMs);
    }
    t.true(
        probeTotal <= 10 * 60 + 40,
        `${probeTotal} probes in a minute at 10 per second, with an initial burst of 4 s`,
    );
    t.true(probeTotal >= 10 * 60);
});

interface BurstResult {
    readonly onTime: number;
    readonly late: number;
    readonly refused: number;
}

interface BurstOptions {
    readonly arrivalsPerSecond: number;
    /** Whether requests accept any free slot, even where they are late. */
    readonly takesAnyCapacity?: boolean;
    /** Whether refused callers retry, and whether their age is known then. */
    readonly retrying?: "as new" | "with their age";
}

interface SimulatedRequest extends WaitingRequest {
    readonly firstSentAtMs: number;
    readonly tries: number;
}

const maxTries = 3;

/**
 * Simulates a burst at one service with 12 upstreams of 3 slots. A random quarter of them, redrawn every 150 ms, is
 * five times slower. Work progresses at the current speed, and a full upstream is 1.7 times slower.
 */
function simulateBurst({ arrivalsPerSecond, takesAnyCapacity = false, retrying }: BurstOptions): BurstResult {
    const random = new SeededRandom(3);
    const stepMs = 5;
    const upstreams = makeUpstreamStates(Array.from({ length: 12 }, () => load(0, 1)))
        .map(upstreamState => ({ upstreamState, work: [] as { leftMs: number; readonly startMs: number; }[] }));
    let waiting: SimulatedRequest[] = [];
    let backingOff: { readonly atMs: number; readonly firstSentAtMs: number; readonly tries: number; }[] = [];
    const result = { onTime: 0, late: 0, refused: 0 };
    const enqueueRequest = (atMs: number, firstSentAtMs: number, tries: number) => {
        const targetAtMs = (retrying === "with their age" ? firstSentAtMs : atMs) + 300;
        const onTimeOnlyUntilMs = Math.min(atMs + 105, targetAtMs - 120);
        waiting.push({
            priority: 1,
            baselineMs: 120,
            targetAtMs,
            onTimeOnlyUntilMs,
            waitUntilMs: atMs + 120,
            firstSentAtMs,
            tries,
        });
    };
    for (let atMs = 0; atMs < 10_000; atMs += stepMs) {
        if (atMs % 150 === 0) {
            upstreams.forEach(({ upstreamState }) => upstreamState.load = load(0, random.nextUnit() < 0.25 ? 5 : 1));
        }
        for (const { upstreamState, work } of upstreams) {
            const slowdown = (upstreamState.load?.slowdown ?? 1) * (work.length >= 3 ? 1.7 : 1);
            work.forEach(item => item.leftMs -= stepMs / slowdown);
            const done = work.filter(item => item.leftMs <= 0);
            done.forEach(item => atMs - item.startMs <= 300 ? result.onTime++ : result.late++);
            work.splice(0, work.length, ...work.filter(item => item.leftMs > 0));
            upstreamState.load = load(work.length, upstreamState.load?.slowdown ?? 1);
            upstreamState.loadAskedAtMs = atMs;
        }
        if (random.nextUnit() < arrivalsPerSecond * stepMs / 1000) {
            enqueueRequest(atMs, atMs, 1);
        }
        backingOff.filter(caller => caller.atMs <= atMs).forEach(caller =>
            enqueueRequest(atMs, caller.firstSentAtMs, caller.tries)
        );
        backingOff = backingOff.filter(caller => caller.atMs > atMs);
        const candidates = upstreams.map(upstream => upstream.upstreamState);
        for (const request of sortWaiting(waiting, atMs)) {
            const adjustedRequest = takesAnyCapacity ? { ...request, targetAtMs: Infinity } : request;
            const chosenPlacement = placeRequest(adjustedRequest, candidates, random, atMs);
            if (chosenPlacement !== undefined) {
                const upstream = upstreams.find(other => other.upstreamState === chosenPlacement.upstreamState);
                upstream?.work.push({ leftMs: 120, startMs: request.firstSentAtMs });
                chosenPlacement.upstreamState.load = load(
                    upstream?.work.length ?? 0,
                    chosenPlacement.upstreamState.load?.slowdown ?? 1,
                );
                waiting = waiting.filter(other => other !== request);
            }
        }
        for (const { firstSentAtMs, tries } of waiting.filter(request => request.waitUntilMs <= atMs)) {
            if (retrying !== undefined && tries < maxTries) {
                const untilDeadlineMs = firstSentAtMs + 2500 - atMs;
                const refused = { cause: RefusalCause.noCapacity, untilTargetMs: 0, baselineMs: 120, untilDeadlineMs };
                backingOff.push({ atMs: atMs + drawRetryAfterMs(refused, random), firstSentAtMs, tries: tries + 1 });
            }
            else {
                result.refused++;
            }
        }
        waiting = waiting.filter(request => request.waitUntilMs > atMs);
    }
    return result;
}

test("guards against probe tokens saved up over hours that are spent on an upstream in one burst", t => {
    const budget = new LoadProbeBudget();
    t.is(budget.take(1000, 10, 0), 40, "4 s of the rate at the start");
    t.is(budget.take(1000, 10, 3_600_000), 100, "10 s of the rate after an hour");
    t.is(budget.take(1000, 10, 3_600_500), 5);
});

test("guards against a burst that makes all requests late: those that cannot be on time are refused instead", t => {
    const arrivalsPerSecond = 190;
    const selective = simulateBurst({ arrivalsPerSecond });
    const unselective = simulateBurst({ arrivalsPerSecond, takesAnyCapacity: true });
    t.true(selective.onTime > unselective.onTime, JSON.stringify({ selective, unselective }));
    t.true(selective.late < unselective.late, JSON.stringify({ selective, unselective }));
    t.true(selective.onTime > selective.late + selective.refused, JSON.stringify(selective));
});

test("guards against retries of refused callers that use the capacity for requests that can be on time", t => {
    const arrivalsPerSecond = 190;
    const withAge = simulateBurst({ arrivalsPerSecond, retrying: "with their age" });
    const asNew = simulateBurst({ arrivalsPerSecond, retrying: "as new" });
    t.true(withAge.onTime > asNew.onTime, JSON.stringify({ withAge, asNew }));
});

test("guards against refusals while capacity is free", t => {
    const { onTime, late, refused } = simulateBurst({ arrivalsPerSecond: 60 });
    t.true(onTime > 0.9 * (onTime + late + refused), JSON.stringify({ onTime, late, refused }));
});

test("guards against estimates skewed by slow machines: durations are normalized by the cost of the placement", t => {
    const durations = new DurationEstimates();
    t.is(durations.get("stock", 300), 135);
    durations.recordDuration("stock", 600, 5);
    t.is(durations.get("stock", 300), 120);
});
