import test from "ava";
import { emptyRouteTable } from "../directory/model.js";
import { QuotaFleet } from "./quotaFleet.js";

const name = "organisation-x";
const entryCounts = [17, 117, 312];
const uneven = (index: number) => 1 / (1 + index % 13) ** 1.2;

function makeOrganisation(ratePerSecond: number, burst = ratePerSecond, organisation = name) {
    return { name: organisation, keys: [], ratePerSecond, burst };
}

async function startFleet(entryCount: number, rate: number, demandFactor: number, seed = 1): Promise<QuotaFleet> {
    const fleet = new QuotaFleet({ entryCount, controlCount: 5 }, seed);
    await fleet.run(6000);
    fleet.configure([makeOrganisation(rate)]);
    await fleet.run(6000);
    setDemand(fleet, demandFactor * rate);
    return fleet;
}

function setDemand(fleet: QuotaFleet, perSecond: number, weigh = uneven): void {
    fleet.demands.set(name, { perSecond, weigh });
}

for (const entryCount of entryCounts) {
    test(`guards against refusals below the rate and excess above it, with ${entryCount} entries`, async t => {
        for (const rate of [1, 3, 30, 300]) {
            const calmMs = rate < 10 ? 600_000 : 60_000;
            const fleet = await startFleet(entryCount, rate, 0.9);
            await fleet.run(calmMs);
            t.true(fleet.measureRefused(name) < 1 / 200, `${rate}: ${fleet.measureRefused(name)}`);
            const atMs = fleet.nowMs;
            const hotMs = rate < 10 ? 120_000 : 30_000;
            setDemand(fleet, 7.5 * rate);
            await fleet.run(hotMs);
            const used = fleet.countAdmitted(name, atMs) * 1000 / (rate * hotMs);
            t.true(used >= 0.95, `${rate}: ${used} of the rate were used`);
            t.true(fleet.findExcess(name) <= 0, `${rate}: ${fleet.findExcess(name)} above the bound`);
        }
    });
}

/** Faults, each with the time that it lasts. */
const faults: Readonly<Record<string, (fleet: QuotaFleet) => Promise<void>>> = {
    "callers that move between zones": async fleet => {
        const { perSecond } = fleet.demands.get(name) ?? { perSecond: 0 };
        for (let round = 0; round < 4; round++) {
            setDemand(fleet, perSecond, index => index % 5 === round % 3 ? 1 : 0);
            await fleet.run(8000);
        }
    },
    "entries that restart": async fleet => {
        for (let round = 0; round < 4; round++) {
            fleet.entries.forEach((_, index) => index % 4 === round && fleet.restartEntry(index));
            await fleet.run(3000);
        }
    },
    "a third of the entries that stop and start": async fleet => {
        fleet.entries.forEach((entry, index) => entry.isStopped = index % 3 === 0);
        await fleet.run(10_000);
        fleet.entries.forEach(entry => entry.isStopped = false);
        await fleet.run(10_000);
    },
    "a zone that is cut off from the control VMs": async fleet => {
        fleet.entries.forEach((entry, index) => entry.isCutOff = index % 5 === 1);
        await fleet.run(20_000);
        fleet.entries.forEach(entry => entry.isCutOff = false);
        await fleet.run(10_000);
    },
    "the loss of all control VMs": async fleet => {
        fleet.entries.forEach(entry => entry.isCutOff = true);
        await fleet.run(20_000);
        fleet.entries.forEach(entry => entry.isCutOff = false);
        await fleet.run(10_000);
    },
    "suspended VMs": async fleet => {
        fleet.clock.suspend(20_000);
        await fleet.run(10_000);
    },
    "changes of the leader": async fleet => {
        for (let round = 0; round < 3; round++) {
            fleet.changeLeader(2000);
            await fleet.run(10_000);
        }
    },
    "the loss of the leader and of another control VM": async fleet => {
        fleet.setDown(1, true);
        await fleet.run(5000);
        fleet.changeLeader(2000);
        fleet.setDown(0, true);
        await fleet.run(10_000);
        fleet.setDown(0, false);
        fleet.setDown(1, false);
        await fleet.run(10_000);
    },
};

for (const [fault, run] of Object.entries(faults)) {
    test(`guards against excess through ${fault}`, async t => {
        for (const entryCount of entryCounts) {
            for (const rate of [3, 30, 300]) {
                const fleet = await startFleet(entryCount, rate, 7.5);
                await fleet.run(15_000);
                await run(fleet);
                const label = `${entryCount} entries, ${rate} a second`;
                t.true(fleet.findExcess(name) <= 0, `${label}: ${fleet.findExcess(name)} above the bound`);
            }
        }
    });
}

test("guards against requests that are refused while a leader is elected", async t => {
    const fleet = await startFleet(117, 30, 0.625);
    await fleet.run(15_000);
    const atMs = fleet.nowMs;
    fleet.changeLeader(2000);
    await fleet.run(20_000);
    t.true(fleet.measureRefused(name, atMs) < 0.05, `${fleet.measureRefused(name, atMs)} refused`);
});

test("guards against a rate that is lowered and raised without effect, or that refills the bucket", async t => {
    const fleet = await startFleet(117, 100, 7.5);
    await fleet.run(15_000);
    const allowed = fleet.findAllowed(name);
    for (let round = 0; round < 3; round++) {
        fleet.configure([makeOrganisation(10)]);
        await fleet.run(7000);
        const atMs = fleet.nowMs;
        await fleet.run(5000);
        t.true(fleet.countAdmitted(name, atMs) <= fleet.findAllowed(name), "the lower rate applies");
        fleet.configure([makeOrganisation(100)]);
        await fleet.run(7000);
        fleet.configure([]);
        await fleet.run(20);
        fleet.configure([makeOrganisation(100)]);
        await fleet.run(5000);
    }
    t.true(fleet.findExcess(name, allowed) <= 0, `${fleet.findExcess(name, allowed)} above the bound`);
});

test("guards against a bound that holds only because demand never exceeds it: without sharing, it breaks", async t => {
    const fleet = await startFleet(117, 30, 7.5);
    fleet.entries.forEach(({ quotas }) => quotas.apply = () => undefined);
    fleet.entries.forEach(({ quotas }) => quotas.take = () => ({ isAdmitted: true, retryAfterMs: 0 }));
    await fleet.run(15_000);
    t.true(fleet.findExcess(name) > 0);
});

test("guards against more than 25 KB/s of quota messages at a VM with 312 entries and 79 organisations", async t => {
    const fleet = new QuotaFleet({ entryCount: 312, controlCount: 5 }, 1);
    await fleet.run(6000);
    const organisations = Array.from({ length: 79 }, (_, index) => {
        const rate = Math.max(1, Math.round(190 / (index + 1) ** 1.2));
        return makeOrganisation(rate, rate, `organisation-${index}`);
    });
    fleet.configure(organisations);
    await fleet.run(6000);
    organisations.forEach(({ name: organisation, ratePerSecond }, index) =>
        fleet.demands.set(organisation, { perSecond: ratePerSecond / 1.6, weigh: entry => uneven(entry + index * 7) })
    );
    await fleet.run(10_000);
    const [{ name: hot, ratePerSecond }] = organisations;
    for (const perSecond of [ratePerSecond / 1.6, 7.5 * ratePerSecond / 1.6]) {
        fleet.demands.set(hot, { perSecond, weigh: uneven });
        const vms = [...fleet.entries, ...fleet.controls];
        vms.forEach(vm => vm.bytes = 0);
        await fleet.run(20_000);
        const bytesPerSecond = Math.max(...vms.map(({ bytes }) => bytes)) / 20;
        t.true(bytesPerSecond < 25_000, `${bytesPerSecond} bytes a second`);
    }
    for (const { name: organisation } of organisations) {
        t.true(fleet.findExcess(organisation) <= 0, `${organisation}: ${fleet.findExcess(organisation)}`);
    }
    const others = organisations.slice(1).map(({ name: organisation }) => fleet.measureRefused(organisation));
    t.true(others.reduce((sum, refused) => sum + refused, 0) / others.length < 1 / 200, "others are not affected");
});

test("guards against messages and limits where no organisation has a rate", async t => {
    const fleet = new QuotaFleet({ entryCount: 3, controlCount: 3 }, 1);
    fleet.configure([{ name, keys: [] }]);
    await fleet.run(3000);
    const [{ coordinator }] = fleet.controls;
    t.deepEqual([coordinator.buildReport(), coordinator.describe(0)], [undefined, {}]);
    const [{ quotas }] = fleet.entries;
    t.true(quotas.take(name).isAdmitted);
    t.deepEqual([quotas.version, quotas.takeReport()], [undefined, {}]);
    t.is(emptyRouteTable.organisations, undefined);
});

test("guards against a unit that is lost when its request did not run", async t => {
    const fleet = await startFleet(17, 3, 0);
    await fleet.run(1000);
    const [{ quotas }] = fleet.entries;
    for (let request = 0; request < 200; request++) {
        t.true(quotas.take(name).isAdmitted, `request ${request}`);
        quotas.giveBack(name);
        await fleet.run(20);
    }
});
