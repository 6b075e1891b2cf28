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
