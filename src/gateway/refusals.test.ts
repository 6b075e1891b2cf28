import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import { placeWaiting } from "./placement.js";
import { drawRetryAfterMs, RefusalCause, type RefusedRequest } from "./refusals.js";
import { UpstreamBoard, UseOutcome } from "./upstreamBoard.js";

const nowMs = 10_000;

const cases: readonly { readonly name: string; readonly request: RefusedRequest; readonly isPrompt: boolean; }[] = [
    {
        name: "shed with time left",
        request: { cause: RefusalCause.shed, untilTargetMs: 280, usualMs: 120, untilDeadlineMs: 2400 },
        isPrompt: true,
    },
    {
        name: "shed and late",
        request: { cause: RefusalCause.shed, untilTargetMs: 100, usualMs: 120, untilDeadlineMs: 2400 },
        isPrompt: false,
    },
    {
        name: "no room with time left",
        request: { cause: RefusalCause.noRoom, untilTargetMs: 280, usualMs: 120, untilDeadlineMs: 2400 },
        isPrompt: false,
    },
];

for (const { name, request, isPrompt } of cases) {
    test(`guards against refused callers that come back too late or all at once: ${name}`, t => {
        const random = new SeededRandom(1);
        const waits = Array.from({ length: 50 }, () => drawRetryAfterMs(request, random));
        t.true(isPrompt ? Math.max(...waits) < 20 : Math.min(...waits) >= 360 && Math.max(...waits) < 800);
        t.is(new Set(waits).size, waits.length, "they come back apart");
    });
}

function makeBoard(count: number): UpstreamBoard {
    const board = new UpstreamBoard();
    for (let index = 0; index < count; index++) {
        board.set(makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80` }), nowMs);
    }
    return board;
}

test("guards against ejections while all upstreams of a service shed load alike", t => {
    const board = makeBoard(10);
    const random = new SeededRandom(7);
    let ejections = 0;
    for (let use = 0; use < 1000; use++) {
        const row = board.list()[random.nextInt(10)];
        const outcome = random.nextUnit() < 0.55 ? UseOutcome.refused : UseOutcome.good;
        ejections += board.noteOutcome(row, outcome, nowMs + use * 10) ? 1 : 0;
    }
    t.true(ejections <= 20, `${ejections} ejections in 1,000 uses`);
    const other = makeBoard(10);
    const [refusing] = other.list();
    other.noteOutcome(refusing, UseOutcome.refused, nowMs);
    t.true(other.noteOutcome(refusing, UseOutcome.refused, nowMs), "one that alone refuses is left out");
});

test("guards against requests that wait for an upstream without failures while all of them fail alike", t => {
    const rows = makeBoard(4).list();
    rows.forEach(row =>
        Object.assign(row, {
            load: { running: 0, waiting: 0, slots: 3, slowdown: 1 },
            loadAskedAtMs: nowMs,
            isUsed: true,
            failureShare: 0.55,
        })
    );
    const times = { targetAtMs: nowMs + 300, inTimeUntilMs: nowMs + 100, untilMs: nowMs + 120 };
    t.not(placeWaiting({ priority: 1, usualMs: 120, ...times }, rows, new SeededRandom(1), nowMs), undefined);
});

/**
 * Plays callers of a service whose upstreams all shed 55% of what they get: two upstreams for each try, up to three
 * tries, 17 ms for each way to the caller, 120 ms of work. Returns the share that is answered within 300 ms.
 */
function playShedding(drawWaitMs: (untilTargetMs: number) => number): number {
    const random = new SeededRandom(5);
    let inTime = 0;
    for (let caller = 0; caller < 1000; caller++) {
        let ageMs = 17;
        for (let tries = 1; tries <= 3; tries++) {
            if (random.nextUnit() >= 0.55 || random.nextUnit() >= 0.55) {
                inTime += ageMs + 120 + 17 <= 300 ? 1 : 0;
                break;
            }
            ageMs += drawWaitMs(300 - ageMs) + 34;
        }
    }
    return inTime / 1000;
}

test("guards against callers that are late because they were shed: they come back while they can be in time", t => {
    const random = new SeededRandom(6);
    const prompt = playShedding(untilTargetMs =>
        drawRetryAfterMs({ cause: RefusalCause.shed, untilTargetMs, usualMs: 120, untilDeadlineMs: 2400 }, random)
    );
    const later = playShedding(() => 200);
    t.true(prompt > 0.9, `${prompt} in time, ${later} when all come back after 200 ms`);
    t.true(prompt > later + 0.15, `${prompt} in time, ${later} when all come back after 200 ms`);
});
