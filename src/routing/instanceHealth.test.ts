import test from "ava";
import { FakeRouters } from "../../test/fakeRouters.js";
import { SeededRandom } from "../core/random.js";
import type { AttemptOutcome } from "../requests/router.js";
import { InstanceHealth } from "./instanceHealth.js";

const meanMs = 5;

/** Sends requests at a steady rate, ends them by a model of the instances, and counts the picks per instance. */
function drive(
    fake: FakeRouters,
    durationMs: number,
    answerOf: (upstreamId: string, workMs: number) => Partial<AttemptOutcome> & { readonly latencyMs: number; },
): Map<string, number> {
    const random = new SeededRandom(7);
    const picks = new Map<string, number>();
    const waiting: { readonly entry: string; readonly id: string; }[] = [];
    const ending: { readonly atMs: number; readonly end: () => void; }[] = [];
    fake.run(durationMs, () => {
        for (const entry of fake.ids) {
            const id = `${fake.nowMs}-${entry}`;
            fake.route(entry, id);
            waiting.push({ entry, id });
        }
        for (const { entry, id } of waiting.filter(one => fake.upstreamOf(one.id) !== undefined)) {
            const upstreamId = fake.upstreamOf(id)!;
            picks.set(upstreamId, (picks.get(upstreamId) ?? 0) + 1);
            const answer = answerOf(upstreamId, meanMs / 2 - meanMs / 2 * Math.log(1 - random.nextUnit()));
            ending.push({ atMs: fake.nowMs + answer.latencyMs, end: () => fake.finish(entry, id, answer) });
        }
        waiting.splice(0, waiting.length, ...waiting.filter(one => !fake.decisions.has(one.id)));
        ending.filter(one => one.atMs <= fake.nowMs).forEach(one => one.end());
        ending.splice(0, ending.length, ...ending.filter(one => one.atMs > fake.nowMs));
    });
    return picks;
}

const newFake = () => new FakeRouters({ entries: 3, upstreams: 8, slots: 4 });
const normal = (_upstreamId: string, workMs: number) => ({ latencyMs: workMs });

test("guards against a slow instance that keeps its share, and against one that is not tried again", t => {
    const fake = newFake();
    drive(fake, 1000, normal);
    const slowed = drive(fake, 200, (id, workMs) => ({ latencyMs: id === "u3" ? workMs * 10 : workMs }));
    t.true((slowed.get("u3") ?? 0) <= 12, `${slowed.get("u3")} of 600 requests`);
    const recovered = drive(fake, 400, normal);
    t.true((recovered.get("u3") ?? 0) >= 60, `${recovered.get("u3")} of 1200 requests`);
});

test("guards against a failing instance that attracts load because it answers fast", t => {
    const fake = newFake();
    fake.isProbeGood = id => id !== "u3";
    drive(fake, 1000, normal);
    const answerOf = (id: string, workMs: number) =>
        id === "u3" ? { latencyMs: 0.1, status: 500 } : { latencyMs: workMs };
    const picks = drive(fake, 5000, answerOf);
    t.true((picks.get("u3") ?? 0) <= 30, `${picks.get("u3")} of 15000 requests`);
});

test("guards against an ejection that empties the service: a service that fails everywhere is still used", t => {
    const fake = newFake();
    drive(fake, 500, normal);
    const picks = drive(fake, 2000, () => ({ latencyMs: 1, status: 500 }));
    t.deepEqual([...fake.decisions.values()].filter(decision => decision.kind === "refuse"), []);
    t.true([...picks.values()].filter(count => count > 300).length >= 4);
});

test("guards against more than half of the instances ejected at once", t => {
    const health = new InstanceHealth();
    const rows = newFake().rows.map(row => health.getInstance(row));
    rows.forEach((row, index) => {
        health.start(`good-${index}`, row, 0);
        health.finish(`good-${index}`, "ok", 5, 5000, 5);
    });
    for (let nowMs = 100; nowMs < 200; nowMs++) {
        rows.forEach(row => {
            health.start(`${nowMs}-${row.id}`, row, nowMs);
            health.finish(`${nowMs}-${row.id}`, "failed", 1, 5000, nowMs);
        });
    }
    t.is(rows.filter(row => row.ejectedUntilMs > 0).length, 4);
});

test("guards against an upstream that sheds and gets its full share, and against counting this as a failure", t => {
    const fake = newFake();
    drive(fake, 500, normal);
    const answerOf = (id: string, workMs: number) =>
        id === "u3" ? { latencyMs: 0.1, status: 503, verdict: "not-run" as const } : { latencyMs: workMs };
    const shedding = drive(fake, 1000, answerOf);
    t.true((shedding.get("u3") ?? 0) <= 15, `${shedding.get("u3")} of 3000 requests`);
    t.deepEqual(fake.probes, []);
    const recovered = drive(fake, 2000, normal);
    t.true((recovered.get("u3") ?? 0) >= 200, `${recovered.get("u3")} of 6000 requests`);
});

test("guards against a cold instance that gets its full share at once, and a cold service that loses capacity", t => {
    const fake = new FakeRouters({ entries: 3, upstreams: 4, slots: 10, service: { rampMs: 4000 } });
    const peakOf = (upstreamId: string) => {
        const ids = Array.from({ length: 60 }, (_unused, index) => `${fake.nowMs}-${index}`);
        ids.forEach((id, index) => fake.route(fake.ids[index % 3], id));
        fake.run(20);
        const count = ids.filter(id => fake.upstreamOf(id) === upstreamId).length;
        ids.forEach((id, index) => fake.abandon(fake.ids[index % 3], id));
        fake.run(20);
        return count;
    };
    fake.rows.forEach((row, index) => fake.rows[index] = { ...row, readySinceMs: fake.nowMs });
    t.is(peakOf("u0"), 10);
    fake.run(4000);
    fake.rows[0] = { ...fake.rows[0], readySinceMs: fake.nowMs };
    t.is(peakOf("u0"), 1);
    fake.run(2000);
    t.is(peakOf("u0"), 5);
    fake.run(2000);
    t.is(peakOf("u0"), 10);
});

test("guards against crossing availability zones while the own one has free slots", t => {
    const fake = new FakeRouters({ entries: 3, upstreams: 6, slots: 2 });
    fake.run(30);
    const zoneOf = (id: string) =>
        fake.rows.find(row => row.announcement.id === fake.upstreamOf(id))?.announcement.availabilityZone;
    const ids = ["1", "2", "3", "4", "5"];
    ids.forEach(id => fake.route("e1", id));
    fake.run(10);
    t.deepEqual(ids.map(zoneOf).sort().slice(-4), ["b", "b", "b", "b"]);
    t.not(zoneOf("5"), undefined);
});

test("guards against hedges that come at a fixed time or for other methods than the idempotent ones", t => {
    const fake = new FakeRouters({
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
