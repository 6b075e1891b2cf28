import test from "ava";
import { SeededRandom } from "../core/random.js";
import { Admission, computeAdmission } from "./admission.js";
import { CapacityOutcome, DemandCounter, type DemandRow, DemandTable } from "./demand.js";
import { type LoadOutcome, simulateLoad } from "./testing.js";

const slots = 24;

const cases: readonly {
    readonly name: string;
    readonly rows: readonly DemandRow[];
    readonly fractions: readonly (readonly [priority: number, fraction: number])[];
}[] = [
    { name: "nothing is rejected", rows: [[0, 10, 0, 0], [1, 10, 0, 0]], fractions: [] },
    {
        name: "half of the demand is served",
        rows: [[1, 100, 80, 80], [0, 100, 20, 20]],
        fractions: [[0, 0.9], [1, 0.3]],
    },
    { name: "nothing is served", rows: [[0, 10, 10, 10]], fractions: [[0, 0.2]] },
    { name: "all admitted requests are placed", rows: [[0, 10, 4, 0]], fractions: [[0, 0.9]] },
];

for (const { name, rows, fractions } of cases) {
    test(`guards against an admission that does not follow priority and capacity: ${name}`, t => {
        const admitted = [...computeAdmission(rows)].map(([priority, fraction]) => [
            priority,
            Math.round(fraction * 100) / 100,
        ]);
        t.deepEqual(admitted, fractions.map(row => [...row]));
    });
}

test("guards against an admission that stays closed after an outage of all instances", t => {
    let served = 0;
    let steps = 0;
    for (; served < 100 && steps < 20; steps++) {
        served = 100 * (computeAdmission([[0, 100, 100 - served, 0]]).get(0) ?? 1);
    }
    t.is(served, 100);
    t.true(steps <= 6, "within seconds, at about a second for each step");
});

test("guards against entries with few requests that admit more or less than the fraction", t => {
    const random = new SeededRandom(2);
    const fractions = new Map([[1, 0.3]]);
    let admittedCount = 0;
    for (let entry = 0; entry < 1000; entry++) {
        const admission = new Admission(random);
        t.true(admission.isAdmitted(0, fractions), "a priority without demand elsewhere is admitted");
        admittedCount += [1, 2].filter(() => admission.isAdmitted(1, fractions)).length;
    }
    t.true(Math.abs(admittedCount - 600) < 50, String(admittedCount));
});

test("guards against reports and answers that cost bytes while nothing is rejected", t => {
    const counter = new DemandCounter();
    const table = new DemandTable();
    counter.record("orders", 1, CapacityOutcome.placed, 0);
    t.is(counter.describe(() => false, 0), undefined);
    t.false(table.record("e-1", "az-1", undefined, 0));
    t.is(table.describe(0), undefined);
    const placedDemand = counter.describe(() => true, 0);
    t.false(table.record("e-1", "az-1", placedDemand, 0));
    t.is(table.describe(0), undefined, "entries report demand without rejections while another has some");
});

test("guards against decisions on demand of the past or of entries that have ended", t => {
    const counter = new DemandCounter();
    const table = new DemandTable();
    counter.record("orders", 1, CapacityOutcome.unplaced, 0);
    t.true(table.record("e-1", "az-1", counter.describe(() => false, 0), 0));
    t.false(table.record("e-1", "az-1", counter.describe(() => false, 100), 100), "already known");
    t.is(table.describe(100)?.length, 1);
    t.is(table.describe(1700), undefined, "the entry does not report any more");
    t.is(counter.describe(() => false, 10_000), undefined);
});

function simulate(isShared: boolean, isRetrying: boolean, entryCount: number): LoadOutcome {
    const kinds = [[120, 300], [80, 400], [160, 600]].map(([workMs, targetMs], priority) => ({
        name: `priority ${priority}`,
        priority,
        workMs,
        targetMs,
        deadlineMs: 2500,
        perSecond: () => 2 * slots * 1000 / workMs / 3,
    }));
    return simulateLoad(
        { kinds, slots, entryCount, durationMs: 20_000, isRetrying, isShared },
        new SeededRandom(7),
    );
}

for (const entryCount of [20, 100]) {
    test(`guards against worth lost and served amounts lowered while demand is shared: ${entryCount} entries`, t => {
        const [alone, shared, returning] = [
            simulate(false, false, entryCount),
            simulate(true, false, entryCount),
            simulate(true, true, entryCount),
        ];
        const summary = [alone, shared, returning].map(({ worth, reachableWorth, byKind }) => ({
            worthShare: worth / reachableWorth,
            served: [...byKind.values()].reduce((sum, { onTime }) => sum + onTime, 0),
            shares: [...byKind].sort(([first], [second]) => first < second ? -1 : 1).map(([, outcome]) =>
                outcome.onTime / outcome.offered
            ),
        }));
        t.log(summary);
        t.true(summary[1].worthShare > Math.max(0.75, summary[0].worthShare));
        t.true(summary[2].worthShare >= 0.7);
        t.true(summary[2].served >= 0.9 * summary[1].served);
        for (const { shares } of summary.slice(1)) {
            const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
            t.true(Math.min(...shares) >= mean / 4);
            t.true(shares[0] >= shares[1] - 0.02 && shares[1] >= shares[2] - 0.02);
        }
    });
}
