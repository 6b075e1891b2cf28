import test from "ava";
import { SeededRandom } from "../core/random.js";
import { makeRegistration } from "../directory/testing.js";
import type { InstanceLoad } from "./dialect.js";
import { choosePlacement } from "./placement.js";
import { UpstreamOutcome, type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const nowMs = 10_000;

interface UpstreamFixture {
    readonly load?: InstanceLoad;
    readonly warmupMs?: number;
    readonly isUsed?: boolean;
    readonly sentSinceProbe?: number;
    readonly failureShare?: number;
}

function load(running: number, slots: number, slowdown = 1, waiting = 0): InstanceLoad {
    return { running, waiting, slots, slowdown };
}

function makeUpstreamStates(fixtures: readonly UpstreamFixture[]): readonly UpstreamState[] {
    const upstreamTable = new UpstreamStateTable();
    fixtures.forEach(({ warmupMs = 0 }, index) =>
        upstreamTable.set(makeRegistration({ id: `i-${index}`, address: `10.0.0.${index}:80`, warmupMs }), nowMs)
    );
    return upstreamTable.list().map((upstreamState, index) => {
        const { load: reportedLoad, isUsed = true, sentSinceProbe = 0, failureShare = 0 } = fixtures[index];
        Object.assign(upstreamState, { load: reportedLoad, loadAskedAtMs: nowMs, isUsed, failureShare });
        for (let count = 0; count < sentSinceProbe; count++) {
            upstreamState.openSentAtMs.add(nowMs + count);
        }
        return upstreamState;
    });
}

const cases: readonly {
    name: string;
    candidates: readonly UpstreamFixture[];
    canExceedSoftLimit?: boolean;
    chosen: string | undefined;
}[] = [
    { name: "a slow machine", candidates: [{ load: load(0, 3, 5) }, { load: load(1, 3, 1) }], chosen: "i-1" },
    { name: "the last slot of three", candidates: [{ load: load(2, 3) }], chosen: undefined },
    {
        name: "the last slot near the end of the wait",
        candidates: [{ load: load(2, 3) }],
        canExceedSoftLimit: true,
        chosen: "i-0",
    },
    { name: "the last of two slots", candidates: [{ load: load(1, 2) }], chosen: "i-0" },
    { name: "no free slot", candidates: [{ load: load(3, 3) }], canExceedSoftLimit: true, chosen: undefined },
    {
        name: "a queue at the upstream",
        candidates: [{ load: load(2, 3, 1, 2) }],
        canExceedSoftLimit: true,
        chosen: undefined,
    },
    {
        name: "requests sent since the last load probe",
        candidates: [{ load: load(0, 3), sentSinceProbe: 2 }, { load: load(1, 3, 1.5) }],
        chosen: "i-1",
    },
    {
        name: "an upstream during its warmup",
        candidates: [{ load: load(0, 3), warmupMs: 3000 }, { load: load(0, 3, 1.5) }],
        chosen: "i-1",
    },
    {
        name: "an upstream that fails",
        candidates: [{ load: load(0, 3), failureShare: 0.5 }, { load: load(0, 3, 2) }],
        chosen: "i-1",
    },
    {
        name: "a new upstream that would stay idle during its warmup",
        candidates: [{ load: load(0, 3) }, { load: load(0, 3), isUsed: false, warmupMs: 3000 }],
        chosen: "i-1",
    },
    {
        name: "a slow upstream that was never used",
        candidates: [{ load: load(0, 3, 2.2) }, { load: load(0, 3, 5), isUsed: false }],
        chosen: "i-0",
    },
    {
        name: "an upstream that was never used",
        candidates: [{ load: load(0, 3) }, { load: load(0, 3, 1.5), isUsed: false }],
        chosen: "i-1",
    },
];

for (const { name, candidates, canExceedSoftLimit = false, chosen } of cases) {
    test(`guards against placing a request on a slow or full upstream: ${name}`, t => {
        const placement = choosePlacement(
            makeUpstreamStates(candidates),
            canExceedSoftLimit,
            new SeededRandom(1),
            nowMs,
        );
        t.is(placement?.upstreamState.registration.id, chosen);
    });
}

test("guards against the last slot of an upstream that resets connections when it is full", t => {
    const [upstreamState] = makeUpstreamStates([{ load: load(3, 4) }]);
    t.not(choosePlacement([upstreamState], true, new SeededRandom(1), nowMs), undefined);
    upstreamState.concurrencyLimit = { maxOutstanding: 3, recoversAtMs: nowMs + 1, recoveryMs: 15_000 };
    t.is(choosePlacement([upstreamState], true, new SeededRandom(1), nowMs), undefined);
    t.not(choosePlacement([upstreamState], true, new SeededRandom(1), nowMs + 1), undefined);
});

test("guards against ejections that leave a service without upstreams", t => {
    const upstreamTable = new UpstreamStateTable();
    upstreamTable.set(makeRegistration(), nowMs);
    const [upstreamState] = upstreamTable.list();
    upstreamTable.recordOutcome(upstreamState, UpstreamOutcome.broken, nowMs);
    t.true(upstreamTable.recordOutcome(upstreamState, UpstreamOutcome.broken, nowMs));
    t.is(upstreamTable.listEligible("orders", new Set(), nowMs).length, 1);
    upstreamTable.set(makeRegistration({ id: "i-2", address: "10.0.0.2:80" }), nowMs);
    t.deepEqual(upstreamTable.listEligible("orders", new Set(), nowMs).map(other => other.registration.id), ["i-2"]);
    t.is(upstreamTable.listEligible("orders", new Set(), nowMs + 5000).length, 2, "the ejection expires");
});

test("guards against new requests to a draining upstream", t => {
    const upstreamTable = new UpstreamStateTable();
    upstreamTable.set(makeRegistration(), nowMs);
    const [upstreamState] = upstreamTable.list();
    t.true(upstreamTable.isCurrent(upstreamState, nowMs));
    upstreamTable.set(makeRegistration({ state: "draining" }), nowMs);
    t.false(upstreamTable.isCurrent(upstreamState, nowMs));
    t.deepEqual(upstreamTable.listEligible("orders", new Set(), nowMs), []);
});
