import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import type { InstanceLoad } from "./dialect.js";
import { choosePlacement } from "./placement.js";
import { UpstreamBoard, type UpstreamRow, UseOutcome } from "./upstreamBoard.js";

const nowMs = 10_000;

interface RowFacts {
    readonly load?: InstanceLoad;
    readonly warmupMs?: number;
    readonly isUsed?: boolean;
    readonly sentSince?: number;
    readonly failureShare?: number;
}

function load(running: number, slots: number, slowdown = 1, waiting = 0): InstanceLoad {
    return { running, waiting, slots, slowdown };
}

function makeRows(facts: readonly RowFacts[]): readonly UpstreamRow[] {
    const board = new UpstreamBoard();
    facts.forEach(({ warmupMs = 0 }, index) =>
        board.set(makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80`, warmupMs }), nowMs)
    );
    return board.list().map((row, index) => {
        const { load: report, isUsed = true, sentSince = 0, failureShare = 0 } = facts[index];
        Object.assign(row, { load: report, loadAskedAtMs: nowMs, isUsed, failureShare });
        for (let count = 0; count < sentSince; count++) {
            row.openSentAtMs.add(nowMs + count);
        }
        return row;
    });
}

const cases: readonly { name: string; rows: readonly RowFacts[]; canCrowd?: boolean; chosen: string | undefined; }[] = [
    { name: "a slow machine", rows: [{ load: load(0, 3, 5) }, { load: load(1, 3, 1) }], chosen: "i-1" },
    { name: "the last slot of three", rows: [{ load: load(2, 3) }], chosen: undefined },
    { name: "the last slot when the wait is nearly over", rows: [{ load: load(2, 3) }], canCrowd: true, chosen: "i-0" },
    { name: "the last of two slots", rows: [{ load: load(1, 2) }], chosen: "i-0" },
    { name: "no free slot", rows: [{ load: load(3, 3) }], canCrowd: true, chosen: undefined },
    { name: "a queue at the upstream", rows: [{ load: load(2, 3, 1, 2) }], canCrowd: true, chosen: undefined },
    {
        name: "requests sent since the load was asked for",
        rows: [{ load: load(0, 3), sentSince: 2 }, { load: load(1, 3, 1.5) }],
        chosen: "i-1",
    },
    { name: "a cold start", rows: [{ load: load(0, 3), warmupMs: 3000 }, { load: load(0, 3, 1.5) }], chosen: "i-1" },
    {
        name: "an upstream that fails",
        rows: [{ load: load(0, 3), failureShare: 0.5 }, { load: load(0, 3, 2) }],
        chosen: "i-1",
    },
    {
        name: "a new one that would stay idle during its cold start",
        rows: [{ load: load(0, 3) }, { load: load(0, 3), isUsed: false, warmupMs: 3000 }],
        chosen: "i-1",
    },
    {
        name: "a slow one that was never used",
        rows: [{ load: load(0, 3, 2.2) }, { load: load(0, 3, 5), isUsed: false }],
        chosen: "i-0",
    },
    {
        name: "an upstream never used",
        rows: [{ load: load(0, 3) }, { load: load(0, 3, 1.5), isUsed: false }],
        chosen: "i-1",
    },
];

for (const { name, rows, canCrowd = false, chosen } of cases) {
    test(`guards against a request at an upstream that is slow or full: ${name}`, t => {
        const placement = choosePlacement(makeRows(rows), canCrowd, new SeededRandom(1), nowMs);
        t.is(placement?.row.registration.id, chosen);
    });
}

test("guards against an ejection that empties a service", t => {
    const board = new UpstreamBoard();
    board.set(makeRegistration(), nowMs);
    const [row] = board.list();
    board.noteOutcome(row, UseOutcome.broken, nowMs);
    t.true(board.noteOutcome(row, UseOutcome.broken, nowMs));
    t.is(board.listEligible("orders", new Set(), nowMs).length, 1);
    board.set(makeRegistration({ id: "i-2", address: "10.0.0.2:80" }), nowMs);
    t.deepEqual(board.listEligible("orders", new Set(), nowMs).map(other => other.registration.id), ["i-2"]);
    t.is(board.listEligible("orders", new Set(), nowMs + 5000).length, 2, "it returns");
});

test("guards against new requests to an upstream that drains", t => {
    const board = new UpstreamBoard();
    board.set(makeRegistration(), nowMs);
    const [row] = board.list();
    t.true(board.isCurrent(row));
    board.set(makeRegistration({ state: "draining" }), nowMs);
    t.false(board.isCurrent(row));
    t.deepEqual(board.listEligible("orders", new Set(), nowMs), []);
});
