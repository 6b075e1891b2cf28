import test from "ava";
import { SimulatedRouters } from "../../test/simulatedRouters.js";
import { SeededRandom } from "../core/random.js";
import type { AttemptOutcome } from "../requests/router.js";
import { InstanceHealth } from "./instanceHealth.js";

const meanServiceTimeMs = 5;

/** Sends requests at a constant rate with outcomes from `outcomeOf`, and returns the number of picks per instance. */
function simulateTraffic(
    fake: SimulatedRouters,
    durationMs: number,
    outcomeOf: (upstreamId: string, serviceTimeMs: number) => Partial<AttemptOutcome> & { readonly latencyMs: number; },
): Map<string, number> {
    const random = new SeededRandom(7);
    const picks = new Map<string, number>();
    const waiting: { readonly entry: string; readonly id: string; }[] = [];
    const completions: { readonly atMs: number; readonly end: () => void; }[] = [];
    fake.run(durationMs, () => {
        for (const entry of fake.ids) {
            const id = `${fake.nowMs}-${entry}`;
            fake.route(entry, id);
            waiting.push({ entry, id });
        }
        for (
            const { entry, id } of waiting.filter(waitingAttempt => fake.upstreamOf(waitingAttempt.id) !== undefined)
        ) {
            const upstreamId = fake.upstreamOf(id)!;
            picks.set(upstreamId, (picks.get(upstreamId) ?? 0) + 1);
            const simulatedOutcome = outcomeOf(
                upstreamId,
                meanServiceTimeMs / 2 - meanServiceTimeMs / 2 * Math.log(1 - random.nextUnit()),
            );
            completions.push({
                atMs: fake.nowMs + simulatedOutcome.latencyMs,
                end: () => fake.finish(entry, id, simulatedOutcome),
            });
        }
        waiting.splice(0, waiting.length, ...waiting.filter(waitingAttempt => !fake.decisions.has(waitingAttempt.id)));
        completions.filter(completion => completion.atMs <= fake.nowMs).forEach(completion => completion.end());
        completions.splice(0, completions.length, ...completions.filter(completion => completion.atMs > fake.nowMs));
    });
    return picks;
}

const createRouters = () => new SimulatedRouters({ entries: 3, upstreams: 8, slots: 4 });
const healthyOutcome = (_upstreamId: string, serviceTimeMs: number) => ({ latencyMs: serviceTimeMs });

test("guards against a slow instance that keeps its share of traffic or is not readmitted after recovery", t => {
    const fake = createRouters();
    simulateTraffic(fake, 1000, healthyOutcome);
    const picksWhileSlow = simulateTraffic(
        fake,
        200,
        (id, serviceTimeMs) => ({ latencyMs: id === "u3" ? serviceTimeMs * 10 : serviceTimeMs }),
    );
    t.true((picksWhileSlow.get("u3") ?? 0) <= 12, `${picksWhileSlow.get("u3")} of 600 requests`);
    const picksAfterRecovery = simulateTraffic(fake, 400, healthyOutcome);
    t.true((picksAfterRecovery.get("u3") ?? 0) >= 60, `${picksAfterRecovery.get("u3")} of 1200 requests`);
});

test("guards against a failing instance that attracts traffic because its error responses are fast", t => {
    const fake = createRouters();
    fake.isProbeSuccessful = id => id !== "u3";
    simulateTraffic(fake, 1000, healthyOutcome);
    const outcomeOf = (id: string, serviceTimeMs: number) =>
        id === "u3" ? { latencyMs: 0.1, status: 500 } : { latencyMs: serviceTimeMs };
    const picks = simulateTraffic(fake, 5000, outcomeOf);
    t.true((picks.get("u3") ?? 0) <= 30, `${picks.get("u3")} of 15000 requests`);
});

test("guards against ejecting all instances: a service whose instances all fail still gets requests", t => {
    const fake = createRouters();
    simulateTraffic(fake, 500, healthyOutcome);
    const picks = simulateTraffic(fake, 2000, () => ({ latencyMs: 1, status: 500 }));
    t.deepEqual([...fake.decisions.values()].filter(decision => decision.kind === "refuse"), []);
    t.true([...picks.values()].filter(count => count > 300).length >= 4);
});

test("guards against ejecting more than half of the instances at once", t => {
    const health = new InstanceHealth();
    const allStats = createRouters().rows.map(row => health.getStats(row));
    allStats.forEach((stats, index) => {
        health.start(`good-${index}`, stats, 0);
        health.finish(`good-${index}`, "ok", 5, 5000, 5);
    });
    for (let nowMs = 100; nowMs < 200; nowMs++) {
        allStats.forEach(stats => {
            health.start(`${nowMs}-${stats.id}`, stats, nowMs);
            health.finish(`${nowMs}-${stats.id}`, "failed", 1, 5000, nowMs);
        });
    }
    t.is(allStats.filter(stats => stats.ejectedUntilMs > 0).length, 4);
});

test("guards against full traffic to an instance that sheds load, and against counting sheds as failures", t => {
    const fake = createRouters();
    simulateTraffic(fake, 500, healthyOutcome);
    const outcomeOf = (id: string, serviceTimeMs: number) =>
        id === "u3" ? { latencyMs: 0.1, status: 503, verdict: "not-run" as const } : { latencyMs: serviceTimeMs };
    const picksWhileShedding = simulateTraffic(fake, 1000, outcomeOf);
    t.true((picksWhileShedding.get("u3") ?? 0) <= 15, `${picksWhileShedding.get("u3")} of 3000 requests`);
    t.deepEqual(fake.probes, []);
    const picksAfterRecovery = simulateTraffic(fake, 2000, healthyOutcome);
    t.true((picksAfterRecovery.get("u3") ?? 0) >= 200, `${picksAfterRecovery.get("u3")} of 6000 requests`);
});

test("guards against full traffic to a new instance, and against lost capacity when all instances are new", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 4, slots: 10, service: { rampMs: 4000 } });
    const countGrants = (upstreamId: string) => {
        const ids = Array.from({ length: 60 }, (_unused, index) => `${fake.nowMs}-${index}`);
        ids.forEach((id, index) => fake.route(fake.ids[index % 3], id));
        fake.run(20);
        const count = ids.filter(id => fake.upstreamOf(id) === upstreamId).length;
        ids.forEach((id, index) => fake.abandon(fake.ids[index % 3], id));
        fake.run(20);
        return count;
    };
    fake.rows.forEach((row, index) => fake.rows[index] = { ...row, readySinceMs: fake.nowMs });
    t.is(countGrants("u0"), 10);
    fake.run(4000);
    fake.rows[0] = { ...fake.rows[0], readySinceMs: fake.nowMs };
    t.is(countGrants("u0"), 1);
    fake.run(2000);
    t.is(countGrants("u0"), 5);
    fake.run(2000);
    t.is(countGrants("u0"), 10);
});

test("guards against grants in other availability zones while the entry's own zone has free slots", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 6, slots: 2 });
    fake.run(30);
    const zoneOf = (id: string) =>
        fake.rows.find(row => row.announcement.id === fake.upstreamOf(id))?.announcement.availabilityZone;
    const ids = ["1", "2", "3", "4", "5"];
    ids.forEach(id => fake.route("e1", id));
    fake.run(10);
    t.deepEqual(ids.map(zoneOf).sort().slice(-4), ["b", "b", "b", "b"]);
    t.not(zoneOf("5"), undefined);
});

test("guards against hedges after a fixed delay or of requests with a non-idempotent method", t => {
    const fake = new SimulatedRouters({
        entries: 1,
        upstreams: 4,
        slots: 50,
        service: { hedging: { enabled: true, afterQuantile: 0.9 } },
    });
    const router = fake.routers.get("e0")!;
    const request = (method: string) => ({ service: "orders", method }) as never;
    t.is(router.hedgeDelayMs(request("GET"), fake.nowMs), undefined);
    for (let index = 1; index <= 100; index++) {
        fake.route("e0", `r${index}`);
        fake.finish("e0", `r${index}`, { latencyMs: index });
    }
    fake.run(60);
    t.is(router.hedgeDelayMs(request("GET"), fake.nowMs), 91);
    t.is(router.hedgeDelayMs(request("POST"), fake.nowMs), undefined);
});
