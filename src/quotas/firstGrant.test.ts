import test from "ava";
import { ManualClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { EntryQuotas } from "./entryQuotas.js";
import { defaultQuotaBounds } from "./quotaBounds.js";

const burst = 100;

function makeQuotas(entryCount: number, seed: number) {
    const clock = new ManualClock();
    const quotas = new EntryQuotas({
        bounds: defaultQuotaBounds,
        clock,
        random: new SeededRandom(seed),
        countEntries: () => entryCount,
        onUrgent: () => undefined,
        onDecision: () => undefined,
    });
    quotas.configure([{ name: "acme", keys: [], ratePerSecond: 100, burst }]);
    return { quotas, clock };
}

for (const entryCount of [3, 17, 117, 312]) {
    test(`guards against refusals within the burst before the first grant has arrived: ${entryCount} entries`, t => {
        for (let seed = 1; seed <= 10; seed++) {
            const { quotas } = makeQuotas(entryCount, seed);
            const share = Math.floor(burst / entryCount);
            const admittedCount = Array.from({ length: burst }, () =>
                quotas.take("acme")).filter(({ isAdmitted }) => isAdmitted).length;
            // A token of the rate may have accrued as well.
            t.true(admittedCount >= share && admittedCount <= share + 1, `${admittedCount} of ${share}`);
            t.deepEqual(quotas.takeReport().quotas, [["acme", burst, admittedCount]], "the leader learns of them");
        }
    });
}

test("guards against a burst that an entry gets again with each loss of its grant", t => {
    const { quotas, clock } = makeQuotas(3, 1);
    quotas.apply([1, 1000, [["acme", 1_000_000, 0]]], {
        monotonicMs: clock.monotonicMs(),
        wallMs: clock.now().getTime(),
    });
    quotas.take("acme");
    clock.advance(60_000);
    const admittedCount =
        Array.from({ length: burst }, () => quotas.take("acme")).filter(({ isAdmitted }) => isAdmitted).length;
    t.true(admittedCount <= 1, `${admittedCount} were admitted`);
});
