import test from "ava";
import { SimulatedRouters } from "../../test/simulatedRouters.js";

const budgetMsPerSecond = 60;
const probeCostMs = 6;
const runMs = 30_000;
const windowMs = 10_000;

/** Each case injects its fault every 100 ms. `round` counts from 0. */
const cases: readonly {
    readonly name: string;
    readonly injectFault: (fake: SimulatedRouters, round: number) => void;
}[] = [
    { name: "no fault", injectFault: () => undefined },
    {
        name: "every entry considers itself the owner",
        injectFault: fake => fake.livePeersByEntry.forEach(others => others.clear()),
    },
    {
        name: "two partitions, each with an owner",
        injectFault: fake =>
            fake.ids.forEach((id, index) =>
                setVisiblePeers(fake, id, (_other, otherIndex) => otherIndex % 2 === index % 2)
            ),
    },
    {
        name: "the active entries change five times a second, differently at each entry",
        injectFault: (fake, round) =>
            fake.ids.forEach((id, index) =>
                setVisiblePeers(fake, id, (_other, otherIndex) => (otherIndex * 7 + index * 3 + (round >> 1)) % 3 > 0)
            ),
    },
    {
        name: "the owner restarts every four seconds",
        injectFault: (fake, round) => round % 40 === 0 && fake.restart(fake.ownerId()),
    },
    {
        name: "all entries restart in turn",
        injectFault: (fake, round) => round % 10 === 0 && fake.restart(fake.ids[round / 10 % fake.ids.length]),
    },
    {
        name: "the owner is unreachable for two of every four seconds",
        injectFault: (fake, round) =>
            round % 40 < 20 ? fake.isolatedEntries.add(fake.ownerId()) : fake.isolatedEntries.clear(),
    },
];

for (const { name, injectFault } of cases) {
    test(`guards against probes beyond the budget of a service: ${name}`, t => {
        const fake = new SimulatedRouters({
            entries: 6,
            upstreams: 12,
            slots: 3,
            service: { measuringBudgetMsPerSecond: budgetMsPerSecond, probeCostMs, policy: "two-choices" },
        });
        const startMs = fake.nowMs;
        for (let round = 0; round < runMs / 100; round++) {
            injectFault(fake, round);
            fake.run(100);
        }
        const spentIn = (fromMs: number) =>
            fake.probes.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + windowMs).length * probeCostMs;
        const maxSpentMs = Math.max(...fake.probes.map(({ atMs }) => spentIn(atMs)), 0);
        t.true(maxSpentMs > 0);
        t.true(maxSpentMs <= budgetMsPerSecond * windowMs / 1000, `${maxSpentMs} ms in 10 s`);
        t.true(fake.probes.every(({ atMs }) => atMs >= startMs + 3000));
        const countedMs = fake.countEffects.reduce(
            (sum, effect) => sum + (effect.kind === "count" ? effect.value : 0),
            0,
        );
        t.is(countedMs, fake.probes.length * probeCostMs);
    });
}

test("guards against a budget that is unused or not reported: the owner probes and reports its spending", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 4, slots: 3, service: { policy: "two-choices" } });
    fake.run(20_000);
    const owner = fake.ownerId();
    t.true(fake.probes.every(probe => probe.entry === owner));
    const spent = fake.routers.get(owner)!.measuringSpentMsPerSecond("orders", fake.nowMs);
    t.true(spent > 10 && spent <= 20, `${spent} ms/s`);
});

test("guards against needless probes: instances with successful traffic are not probed", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 4, slots: 3 });
    let sequence = 0;
    fake.run(10_000, () => {
        const id = `r${sequence++}`;
        const entry = fake.ids[sequence % 3];
        fake.route(entry, id);
        if (sequence > 10) {
            fake.finish(fake.ids[(sequence - 5) % 3], `r${sequence - 6}`);
        }
    });
    t.deepEqual(fake.probes, []);
});

function setVisiblePeers(
    fake: SimulatedRouters,
    id: string,
    isVisible: (other: string, index: number) => boolean,
): void {
    fake.livePeersByEntry.set(id, new Set(fake.ids.filter((other, index) => other !== id && isVisible(other, index))));
}
