import test from "ava";
import { SeededRandom } from "../core/random.js";
import { type FleetScale, LimitFleet } from "./limitFleet.js";

/** The users' fleets: 17, 106 and 312 entries. */
const scales: readonly FleetScale[] = [
    { entryCount: 17, controlZones: ["a", "b", "c"], instancesPerZone: 6, requestsPerSecond: 5 },
    { entryCount: 106, controlZones: ["a", "a", "b", "b", "c"], instancesPerZone: 20, requestsPerSecond: 3 },
    { entryCount: 312, controlZones: ["a", "b", "c", "d", "e"], instancesPerZone: 20, requestsPerSecond: 1.5 },
];
const settleMs = 6000;
const observedMs = 40_000;
/** Stated aim for the use of a limit under steady demand. */
const usedShare = 0.8;

function nameLimits(fleet: LimitFleet, limits: readonly number[]): void {
    limits.forEach((limit, index) => fleet.nameLimit(fleet.instances[index], limit));
}

for (const scale of scales) {
    const { entryCount } = scale;
    test(`guards against an instance that gets more than the limit that it names: ${entryCount}`, async t => {
        const fleet = new LimitFleet(scale, 1);
        const limits = [0.4, 1.6, 10];
        await fleet.run(2000);
        nameLimits(fleet, limits);
        await fleet.run(settleMs);
        const sinceMs = fleet.nowMs;
        await fleet.run(observedMs);
        limits.forEach((limit, index) => {
            const instance = fleet.instances[index];
            t.true(fleet.findExcess(instance) <= 0, `limit ${limit}: ${fleet.findExcess(instance)} above`);
            const rate = fleet.measureRate(instance, sinceMs);
            t.true(rate >= usedShare * limit, `limit ${limit}: ${rate} used`);
        });
        t.is(fleet.refusedCount, 0, "the other instances serve the rest");
    });

    test(`guards against a single instance whose limit stays idle or is exceeded: ${entryCount}`, async t => {
        const fleet = new LimitFleet({ ...scale, instancesPerZone: 1, instanceZones: ["a"] }, 1);
        const [instance] = fleet.instances;
        await fleet.run(2000);
        fleet.nameLimit(instance, 0.4);
        await fleet.run(settleMs);
        const sinceMs = fleet.nowMs;
        await fleet.run(observedMs);
        t.true(fleet.findExcess(instance) <= 0, `${fleet.findExcess(instance)} above`);
        t.true(fleet.measureRate(instance, sinceMs) >= usedShare * 0.4, `${fleet.measureRate(instance, sinceMs)} used`);
        t.true(fleet.refusedCount > 0, "the rest is refused");
    });

    test(`guards against a service that starves when all its instances name limits at once: ${entryCount}`, async t => {
        const fleet = new LimitFleet(scale, 1);
        await fleet.run(2000);
        const limits = fleet.instances.slice(0, 50).map((_instance, index) => 1 + index);
        nameLimits(fleet, fleet.instances.map((_instance, index) => limits[index % limits.length]));
        await fleet.run(settleMs);
        const sinceMs = fleet.nowMs;
        const refusedBefore = fleet.refusedCount;
        await fleet.run(10_000);
        fleet.instances.forEach(instance => t.true(fleet.findExcess(instance) <= 0, instance.registration.id));
        const offered = fleet.instances.reduce((sum, { namedLimits }) => sum + (namedLimits.at(-1)?.perSecond ?? 0), 0);
        const used = fleet.instances.reduce((sum, instance) => sum + fleet.measureRate(instance, sinceMs), 0);
        const demand = scale.entryCount * scale.requestsPerSecond;
        t.true(used >= usedShare * Math.min(offered, demand), `${used} used of ${offered}, ${demand} wanted`);
        t.log(`used ${used} of ${offered}, demand ${demand}, refused ${fleet.refusedCount - refusedBefore}`);
    });
}

/** `recovery` of the users' deployments: requests must be served that long after all control VMs are back. */
const recoveryMs = 15_000;

for (const scale of scales) {
    test(`guards against limits that are forgotten when all control VMs restart: ${scale.entryCount}`, async t => {
        const fleet = new LimitFleet(scale, 1);
        await fleet.run(2000);
        // Every instance names one, so that nothing is served, and no limit seen, without a share.
        nameLimits(fleet, fleet.instances.map(() => 5));
        await fleet.run(settleMs);
        const measure = async () => {
            const sinceMs = fleet.nowMs;
            await fleet.run(10_000);
            return fleet.instances.reduce((sum, instance) => sum + fleet.measureRate(instance, sinceMs), 0);
        };
        const rateBefore = await measure();
        fleet.restartControls();
        await fleet.run(recoveryMs);
        const rateAfter = await measure();
        t.true(rateAfter >= usedShare * rateBefore, `${rateAfter} a second after ${rateBefore}`);
        fleet.instances.forEach(instance => t.true(fleet.findExcess(instance) <= 0, instance.registration.id));
    });
}

const changes = [
    "rise",
    "fall",
    "withdraw",
    "restart instance",
    "restart entry",
    "partition",
    "leader",
    "move",
] as const;

/** Seeds by scale; `LIMIT_SEEDS` sets the number of seeds for the smallest one in a soak that is started by hand. */
const seedCounts = [Number(process.env.LIMIT_SEEDS ?? 6), 2, 1];

for (const [index, scale] of scales.entries()) {
    for (let seed = 1; seed <= seedCounts[index]; seed++) {
        const title = `guards against excess while limits, entries and the leader change: ${scale.entryCount}, ${seed}`;
        test(title, async t => {
            const random = new SeededRandom(seed);
            const fleet = new LimitFleet(scale, seed);
            nameLimits(fleet, [0.4, 1.6, 10, 2.5]);
            const limited = fleet.instances.slice(0, 4);
            for (let second = 0; second < 60; second++) {
                await fleet.run(1000);
                const instance = limited[random.nextInt(limited.length)];
                const limit = instance.namedLimits.at(-1)?.perSecond ?? 2;
                const entryIndex = random.nextInt(scale.entryCount);
                limited.filter(({ namedLimits }) => namedLimits.at(-1)?.perSecond === undefined).forEach(unlimited =>
                    fleet.nameLimit(unlimited, 2)
                );
                switch (changes[random.nextInt(2 * changes.length)]) {
                    case "rise":
                        fleet.nameLimit(instance, 3 * limit);
                        break;
                    case "fall":
                        fleet.nameLimit(instance, limit / 3);
                        break;
                    case "withdraw":
                        fleet.nameLimit(instance, undefined);
                        break;
                    case "restart instance":
                        fleet.restartInstance(instance);
                        break;
                    case "restart entry":
                        fleet.restartEntry(entryIndex);
                        break;
                    case "partition":
                        fleet.entries.forEach(entry => entry.isPartitioned = false);
                        fleet.entries[entryIndex].isPartitioned = true;
                        break;
                    case "leader":
                        fleet.changeLeader(1500);
                        break;
                    case "move":
                        fleet.moveEntry(entryIndex);
                        break;
                    default:
                }
                limited.forEach(checked =>
                    t.true(fleet.findExcess(checked) <= 0, `${second} s: ${checked.registration.id}`)
                );
            }
        });
    }
}
