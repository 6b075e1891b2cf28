import test from "ava";
import { SeededRandom } from "../core/random.js";
import { type PendingRequest, SheddingOrder } from "./sheddingOrder.js";
import { type LoadOutcome, type SimulatedLoad, simulateLoad } from "./testing.js";

const nowMs = 5000;
const slots = 24;

function makePending(overrides: Partial<PendingRequest> = {}): PendingRequest {
    return {
        kind: "orders",
        priority: 1,
        targetAtMs: nowMs + 300,
        waitUntilMs: nowMs + 120,
        workMs: 100,
        wasRejected: false,
        ...overrides,
    };
}

test("guards against capacity spent on requests that are worth less for the instance time that they use", t => {
    const order = new SheddingOrder();
    const late = makePending({ kind: "late", priority: 0, targetAtMs: nowMs + 50 });
    const long = makePending({ kind: "long", workMs: 250 });
    const short = makePending({ kind: "short", workMs: 50 });
    const rejectedBefore = makePending({ kind: "returning", workMs: 60, wasRejected: true });
    const sorted = order.sort([late, long, short, rejectedBefore], nowMs);
    t.deepEqual(sorted.map(({ kind }) => kind), ["returning", "short", "long", "late"]);
});

test("guards against requests that are held until their deadline although the capacity does not reach them", t => {
    const order = new SheddingOrder();
    const pending = [makePending(), makePending({ priority: 2 }), makePending({ targetAtMs: nowMs + 50 })];
    t.deepEqual(order.selectRejected(pending, 0, nowMs), [pending[1], pending[2]], "one waits for freed capacity");
    t.deepEqual(order.selectRejected(pending, 2, nowMs), [pending[2]], "240 ms of instance time reach two requests");
});

test("guards against rejections while every recent request was placed", t => {
    const order = new SheddingOrder();
    order.record(makePending(), true, nowMs);
    t.false(order.isShort(nowMs));
    order.record(makePending(), false, nowMs);
    t.true(order.isShort(nowMs + 1999));
    t.false(order.isShort(nowMs + 2000));
});

test("guards against an organisation that is starved by the others", t => {
    const order = new SheddingOrder();
    for (let number = 0; number < 20; number++) {
        order.record(makePending({ organisation: "small" }), false, nowMs);
        order.record(makePending({ organisation: "large" }), true, nowMs);
    }
    const small = makePending({ organisation: "small", workMs: 120 });
    t.deepEqual(order.sort([makePending({ organisation: "large" }), small], nowMs)[0], small);
});

test("guards against a kind that starves since its work exceeds its target latency", t => {
    const order = new SheddingOrder();
    const slow = makePending({ kind: "reports", workMs: 400, wasRejected: true });
    t.deepEqual(order.selectRejected([slow], 1, nowMs), [slow]);
    for (let number = 0; number < 20; number++) {
        order.record(slow, false, nowMs);
        order.record(makePending(), true, nowMs);
    }
    t.deepEqual(order.selectRejected([slow], 1, nowMs), []);
});

function simulate(overrides: Partial<SimulatedLoad> & { readonly demand?: number; } = {}): LoadOutcome {
    const { demand = 2 } = overrides;
    const kinds = [[120, 300], [80, 400], [160, 600]].map(([workMs, targetMs], priority) => ({
        name: `priority ${priority}`,
        priority,
        workMs,
        targetMs,
        deadlineMs: 2500,
        perSecond: () => demand * slots * 1000 / workMs / 3,
    }));
    return simulateLoad(
        { kinds, slots, entryCount: 20, durationMs: 20_000, isRetrying: false, isShared: false, ...overrides },
        new SeededRandom(7),
    );
}

function listShares({ byKind }: LoadOutcome): readonly number[] {
    return [...byKind.keys()].sort().map(name => {
        const { offered, onTime, late } = byKind.get(name) ?? { offered: 1, onTime: 0, late: 0 };
        return (onTime + late) / offered;
    });
}

function countOnTime({ byKind }: LoadOutcome): number {
    return [...byKind.values()].reduce((sum, { onTime }) => sum + onTime, 0);
}

for (const entryCount of [1, 20, 60]) {
    test(`guards against worth lost at twice the capacity and against starved kinds, with ${entryCount} entries`, t => {
        const outcome = simulate({ entryCount });
        const shares = listShares(outcome);
        const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
        t.log({ entryCount, worthShare: outcome.worth / outcome.reachableWorth, shares });
        t.true(outcome.worth >= 0.7 * outcome.reachableWorth);
        t.true(Math.min(...shares) >= mean / 4);
        t.true(shares[0] >= shares[1] - 0.02 && shares[1] >= shares[2] - 0.02, "by priority, with 0.02 for chance");
    });
}

test("guards against waves of demand that cost more than the capacity that they exceed", t => {
    const wave = (atMs: number) => 1 + 0.55 * Math.sin(2 * Math.PI * atMs / 13_000);
    const kinds = [0, 1, 2].map(priority => ({
        name: `priority ${priority}`,
        priority,
        workMs: 100,
        targetMs: 400,
        deadlineMs: 2500,
        perSecond: (atMs: number) => wave(atMs) * slots * 10 / 3,
    }));
    const outcome = simulate({ kinds, durationMs: 26_000 });
    const shares = listShares(outcome);
    t.log({ worthShare: outcome.worth / outcome.reachableWorth, shares });
    t.true(outcome.worth >= 0.7 * outcome.reachableWorth);
    t.true(shares[0] >= shares[2]);
});

test("guards against a burst of the least urgent kind that takes the capacity of the others", t => {
    const kinds = [0, 2].map(priority => ({
        name: `priority ${priority}`,
        priority,
        workMs: 100,
        targetMs: 400,
        deadlineMs: 2500,
        perSecond: (atMs: number) => slots * 10 * (priority === 0 ? 0.4 : atMs >= 5000 && atMs < 10_000 ? 2 : 0.1),
    }));
    const shares = listShares(simulate({ kinds, entryCount: 10 }));
    t.log(shares);
    t.true(shares[0] >= 0.9);
});

test("guards against a storm of returning callers that lowers the served amount", t => {
    const withReturns = countOnTime(simulate({ isRetrying: true }));
    const without = countOnTime(simulate());
    t.log({ withReturns, without });
    t.true(withReturns >= 0.9 * without);
});
