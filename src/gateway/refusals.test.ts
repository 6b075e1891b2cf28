import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import { placeRequest } from "./placement.js";
import { drawRetryAfterMs, RefusalCause, type RefusedRequest } from "./refusals.js";
import { UpstreamOutcome, UpstreamStateTable } from "./upstreamStateTable.js";

const nowMs = 10_000;

const cases: readonly { readonly name: string; readonly request: RefusedRequest; readonly isImmediate: boolean; }[] = [
    {
        name: "shed with time left",
        request: { cause: RefusalCause.shed, untilTargetMs: 280, baselineMs: 120, untilDeadlineMs: 2400 },
        isImmediate: true,
    },
    {
        name: "shed and late",
        request: { cause: RefusalCause.shed, untilTargetMs: 100, baselineMs: 120, untilDeadlineMs: 2400 },
        isImmediate: false,
    },
    {
        name: "no room with time left",
        request: { cause: RefusalCause.noCapacity, untilTargetMs: 280, baselineMs: 120, untilDeadlineMs: 2400 },
        isImmediate: false,
    },
];

for (const { name, request, isImmediate } of cases) {
    test(`guards against refused callers that retry too late or simultaneously: ${name}`, t => {
        const random = new SeededRandom(1);
        const retryDelays = Array.from({ length: 50 }, () => drawRetryAfterMs(request, random));
        t.true(
            isImmediate
                ? Math.max(...retryDelays) < 20
                : Math.min(...retryDelays) >= 360 && Math.max(...retryDelays) < 800,
        );
        t.is(new Set(retryDelays).size, retryDelays.length, "the delays differ");
    });
}

function makeUpstreamTable(count: number): UpstreamStateTable {
    const upstreamTable = new UpstreamStateTable();
    for (let index = 0; index < count; index++) {
        upstreamTable.set(makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80` }), nowMs);
    }
    return upstreamTable;
}

test("guards against ejections while all upstreams of a service shed load equally", t => {
    const upstreamTable = makeUpstreamTable(10);
    const random = new SeededRandom(7);
    let ejections = 0;
    for (let attemptNumber = 0; attemptNumber < 1000; attemptNumber++) {
        const upstreamState = upstreamTable.list()[random.nextInt(10)];
        const outcome = random.nextUnit() < 0.55 ? UpstreamOutcome.refused : UpstreamOutcome.good;
        ejections += upstreamTable.recordOutcome(upstreamState, outcome, nowMs + attemptNumber * 10) ? 1 : 0;
    }
    t.true(ejections <= 20, `${ejections} ejections in 1,000 attempts`);
    const otherTable = makeUpstreamTable(10);
    const [refusingUpstream] = otherTable.list();
    otherTable.recordOutcome(refusingUpstream, UpstreamOutcome.refused, nowMs);
    t.true(
        otherTable.recordOutcome(refusingUpstream, UpstreamOutcome.refused, nowMs),
        "an upstream that is the only one to refuse is ejected",
    );
});

test("guards against requests that wait for an upstream without failures while all fail equally", t => {
    const candidates = makeUpstreamTable(4).list();
    candidates.forEach(upstreamState =>
        Object.assign(upstreamState, {
            load: { running: 0, waiting: 0, slots: 3, slowdown: 1 },
            loadAskedAtMs: nowMs,
            isUsed: true,
            failureShare: 0.55,
        })
    );
    const times = { targetAtMs: nowMs + 300, onTimeOnlyUntilMs: nowMs + 100, waitUntilMs: nowMs + 120 };
    t.not(placeRequest({ priority: 1, baselineMs: 120, ...times }, candidates, new SeededRandom(1), nowMs), undefined);
});

/**
 * Simulates callers of a service whose upstreams all shed 55% of their requests, with two upstreams per try, up to
 * three tries, 17 ms per one-way trip and 120 ms of work. Returns the share that is answered within 300 ms.
 */
function simulateShedding(drawDelayMs: (untilTargetMs: number) => number): number {
    const random = new SeededRandom(5);
    let onTime = 0;
    for (let caller = 0; caller < 1000; caller++) {
        let ageMs = 17;
        for (let tries = 1; tries <= 3; tries++) {
            if (random.nextUnit() >= 0.55 || random.nextUnit() >= 0.55) {
                onTime += ageMs + 120 + 17 <= 300 ? 1 : 0;
                break;
            }
            ageMs += drawDelayMs(300 - ageMs) + 34;
        }
    }
    return onTime / 1000;
}

test("guards against shed requests that become late: their callers retry while they can be on time", t => {
    const random = new SeededRandom(6);
    const immediateShare = simulateShedding(untilTargetMs =>
        drawRetryAfterMs({ cause: RefusalCause.shed, untilTargetMs, baselineMs: 120, untilDeadlineMs: 2400 }, random)
    );
    const fixedWaitShare = simulateShedding(() => 200);
    t.true(immediateShare > 0.9, `${immediateShare} on time, ${fixedWaitShare} when all retry after 200 ms`);
    t.true(
        immediateShare > fixedWaitShare + 0.15,
        `${immediateShare} on time, ${fixedWaitShare} when all retry after 200 ms`,
    );
});
