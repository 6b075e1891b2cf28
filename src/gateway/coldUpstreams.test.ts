import test from "ava";
import { SeededRandom } from "../core/random.js";
import { ColdFleet } from "./coldFleet.js";
import type { FleetScale } from "./limitFleet.js";

const perSecond = 4.6;
const warmupMs = 3000;
/** Fleets of 17, 117 and 312 entries; a third of all instances is in each zone. */
const scales: readonly FleetScale[] = [
    { entryCount: 17, controlZones: ["a", "b", "c"], instancesPerZone: 6, requestsPerSecond: 5 },
    { entryCount: 117, controlZones: ["a", "b", "c"], instancesPerZone: 45, requestsPerSecond: 4.5 },
    { entryCount: 312, controlZones: ["a", "b", "c"], instancesPerZone: 20, requestsPerSecond: 1.5 },
];
/** Stated aims for the use of cold capacity in a warmup and in its first second, as far as there is demand for it. */
const usedShare = 0.85;
const usedInFirstSecond = 0.75;

for (const scale of scales) {
    for (const [name, coldPerZone] of [["three", 3], ["all", scale.instancesPerZone]] as const) {
        const title = `guards against a cold zone that is idle or gets too much: ${scale.entryCount} entries, ${name}`;
        test(title, async t => {
            const fleet = new ColdFleet(scale, 1, perSecond);
            await fleet.run(3000);
            const cold = fleet.instances.slice(0, coldPerZone);
            const fromMs = fleet.nowMs;
            cold.forEach(instance => fleet.restartCold(instance, warmupMs));
            await fleet.run(4000);
            const demand = scale.entryCount * scale.requestsPerSecond / 3;
            const wanted = Math.min(perSecond * cold.length, demand);
            const used = [0, 1000, 2000].map(startMs =>
                cold.reduce(
                    (sum, item) => sum + fleet.countRequests(item, fromMs + startMs, fromMs + startMs + 1000),
                    0,
                )
            );
            t.log(`used ${used.join(", ")} of ${wanted.toFixed(1)} in each second`);
            t.true(used[0] >= usedInFirstSecond * wanted, `${used[0]} used of ${wanted} in the first second`);
            t.true(used[0] + used[1] + used[2] >= usedShare * 3 * wanted, `${used.join()} used of ${wanted}`);
            const excess = Math.max(...cold.map(instance => fleet.findColdExcess(instance)));
            t.log(`largest number in a second: ${(excess + 1.5 * perSecond + 8).toFixed(0)}`);
            t.true(excess <= 0, `${excess} above`);
            const during = cold.flatMap(({ arrivals }) => arrivals.filter(({ atMs }) => atMs < fromMs + warmupMs));
            t.true(during.every(({ kind }) => kind === "request"), "no probes of cold instances");
        });
    }
}

const changes = [
    "restart instance",
    "restart zone",
    "extend",
    "restart entry",
    "suspend entry",
    "partition",
    "leader",
    "long election",
    "move",
    "clock",
] as const;
/** Time in which entries learn that a running instance has become cold. */
const knownAfterMs = 300;
const demandFactors = [0.2, 1, 5];

/** Seeds by scale; `COLD_SEEDS` sets the number of seeds for the smallest one in a soak that is started by hand. */
const seedCounts = [Number(process.env.COLD_SEEDS ?? 6), 2, 1];

for (const [index, scale] of scales.entries()) {
    for (let seed = 1; seed <= seedCounts[index]; seed++) {
        const title = `guards against excess at cold instances while everything changes: ${scale.entryCount}, ${seed}`;
        test(title, async t => {
            const random = new SeededRandom(seed);
            const fleet = new ColdFleet({ ...scale, instancesPerZone: 3 }, seed, perSecond);
            await fleet.run(2000);
            for (let step = 0; step < 40; step++) {
                await fleet.run(100 + random.nextInt(900));
                // Permits accumulate and are then used at once.
                fleet.demandFactor = demandFactors[random.nextInt(demandFactors.length)];
                const zone = random.nextInt(scale.controlZones.length);
                const instances = fleet.instances.slice(3 * zone, 3 * (zone + 1));
                const entryIndex = random.nextInt(scale.entryCount);
                const entry = fleet.entries[entryIndex];
                switch (changes[random.nextInt(changes.length)]) {
                    case "restart instance":
                        fleet.restartCold(instances[0], warmupMs);
                        break;
                    case "restart zone":
                        instances.forEach(instance => fleet.restartCold(instance, warmupMs));
                        break;
                    case "extend":
                        fleet.extend(instances[1], 1000 + random.nextInt(9000), knownAfterMs);
                        break;
                    case "restart entry":
                        fleet.restartEntry(entryIndex);
                        break;
                    case "suspend entry":
                        entry.suspendedUntilMs = fleet.nowMs + random.nextInt(6000);
                        break;
                    case "partition":
                        fleet.entries.forEach(other => other.isPartitioned = false);
                        entry.isPartitioned = true;
                        break;
                    case "leader":
                        fleet.changeLeader(1500);
                        break;
                    case "long election":
                        fleet.changeLeader(6000);
                        break;
                    case "move":
                        fleet.moveEntry(entryIndex);
                        break;
                    case "clock":
                        fleet.clock.suspend(random.nextInt(20_000) - 10_000);
                        break;
                }
                fleet.instances.forEach(instance => {
                    const excess = fleet.findColdExcess(instance);
                    t.true(excess <= 0, `step ${step}: ${instance.registration.id}: ${excess} above`);
                });
            }
        });
    }
}
