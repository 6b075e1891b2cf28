import test from "ava";
import { SimulatedRouters } from "../../test/simulatedRouters.js";
import { PolicyName } from "../catalogue/model.js";
import { ownerOf } from "./ownership.js";

const settleMs = 30;

for (const policy of Object.values(PolicyName)) {
    test(`guards against a policy that selects an instance to avoid: ${policy}`, t => {
        const fake = new SimulatedRouters({ entries: 3, upstreams: 3, slots: 20, service: { policy } });
        fake.run(settleMs);
        const attempts = Array.from({ length: 20 }, (_unused, index) => `r${index}`);
        attempts.forEach(id => fake.route("e0", id, ["u0", "u1"]));
        fake.run(settleMs);
        t.deepEqual([...new Set(attempts.map(id => fake.upstreamOf(id)))], ["u2"]);
        fake.route("e0", "last", ["u0", "u1", "u2"]);
        fake.run(settleMs);
        t.not(fake.upstreamOf("last"), undefined);
    });
}

test("guards against overcommitment: all grants together never exceed the slots, and the queue gets freed slots", t => {
    const fake = new SimulatedRouters({ entries: 4, upstreams: 3, slots: 2 });
    fake.run(settleMs);
    const attempts = Array.from({ length: 10 }, (_unused, index) => `r${index}`);
    attempts.forEach((id, index) => fake.route(fake.ids[index % 4], id));
    fake.run(settleMs);
    const granted = fake.filterGranted(attempts);
    t.is(granted.length, 6);
    const perUpstream = fake.rows.map(row => granted.filter(id => fake.upstreamOf(id) === row.announcement.id).length);
    t.deepEqual(perUpstream, [2, 2, 2]);
    granted.forEach(id => fake.finish(fake.ids[attempts.indexOf(id) % 4], id));
    fake.run(settleMs);
    t.is(fake.filterGranted(attempts).length, 10);
});

test("guards against waiting for an unresponsive owner: the entry routes locally within 60 ms", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 3, slots: 2 });
    fake.run(settleMs);
    const owner = fake.ownerId();
    const entry = fake.ids.find(id => id !== owner)!;
    fake.isolatedEntries.add(owner);
    t.is(fake.route(entry, "first").kind, "wait");
    fake.run(60);
    t.not(fake.upstreamOf("first"), undefined);
    t.is(fake.route(entry, "second").kind, "upstream");
    fake.isolatedEntries.clear();
    fake.run(60);
    t.is(fake.route(entry, "third").kind, "wait");
    fake.run(5);
    t.is(fake.route(entry, "fourth").kind, "wait");
});

test("guards against overcommitment by a new owner: it waits until old grants have been reported and released", t => {
    const fake = new SimulatedRouters({ entries: 4, upstreams: 3, slots: 2 });
    fake.run(settleMs);
    const owner = fake.ownerId();
    const remaining = fake.ids.filter(id => id !== owner);
    const nextOwner = ownerOf("orders", remaining)!;
    const [grantedEntry, other] = remaining.filter(id => id !== nextOwner);
    const others = [nextOwner, other];
    const oldAttempts = Array.from({ length: 6 }, (_unused, index) => `old${index}`);
    oldAttempts.forEach(id => fake.route(grantedEntry, id));
    fake.run(settleMs);
    t.is(fake.filterGranted(oldAttempts).length, 6);
    fake.kill(owner);
    fake.livePeersByEntry.get(grantedEntry)!.add(owner);
    const newAttempts = ["new0", "new1", "new2"];
    newAttempts.forEach((id, index) => fake.route(others[index % 2], id));
    fake.run(40);
    t.is(fake.filterGranted(newAttempts).length, 0);
    fake.livePeersByEntry.get(grantedEntry)!.delete(owner);
    fake.run(settleMs);
    t.is(fake.filterGranted(newAttempts).length, 0);
    oldAttempts.forEach(id => fake.finish(grantedEntry, id));
    fake.run(settleMs);
    t.is(fake.filterGranted(newAttempts).length, 3);
});

test("guards against a leaked slot: the attempt is abandoned after its slot was granted", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 1, slots: 1 });
    fake.run(settleMs);
    for (const entry of fake.ids) {
        fake.route(entry, `abandoned-${entry}`);
        fake.run(10);
        fake.abandon(entry, `abandoned-${entry}`);
        fake.run(10);
    }
    fake.route("e0", "next");
    fake.run(10);
    t.is(fake.upstreamOf("next"), "u0");
});

test("guards against leaked slots: grants of a killed entry and grants whose release was lost become free", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 1, slots: 2 });
    fake.run(settleMs);
    const owner = fake.ownerId();
    const [killed, survivor] = fake.ids.filter(id => id !== owner);
    fake.route(killed, "killed");
    fake.route(survivor, "survivor");
    fake.run(settleMs);
    fake.kill(killed);
    fake.isolatedEntries.add(survivor);
    fake.finish(survivor, "survivor");
    fake.run(settleMs);
    fake.isolatedEntries.clear();
    fake.run(1000);
    ["a", "b"].forEach(id => fake.route(owner, id));
    fake.run(settleMs);
    t.is(fake.filterGranted(["a", "b"]).length, 2);
});

const limitCases = [
    { name: "in flight", limits: { maxInFlight: 40 }, changed: { maxInFlight: 80 }, expected: [40, 80] },
    { name: "in flight, lowered", limits: { maxInFlight: 40 }, changed: { maxInFlight: 10 }, expected: [40, 40] },
];

for (const { name, limits, changed, expected } of limitCases) {
    test(`guards against a limit that applies per entry or too late: ${name}`, t => {
        const fake = new SimulatedRouters({ entries: 4, upstreams: 20, slots: 10, limits });
        fake.run(settleMs);
        const attempts = Array.from({ length: 200 }, (_unused, index) => `r${index}`);
        attempts.forEach((id, index) => fake.route(fake.ids[index % 4], id));
        fake.run(settleMs);
        t.is(fake.filterGranted(attempts).length, expected[0]);
        fake.setService({}, changed);
        fake.run(10);
        t.is(fake.filterGranted(attempts).length, expected[1]);
    });
}

test("guards against a rate that differs from the limit by more than 5% over all entries, also after a change", t => {
    const fake = new SimulatedRouters({ entries: 4, upstreams: 20, slots: 50, limits: { requestsPerSecond: 1000 } });
    fake.run(settleMs);
    let sequence = 0;
    const countPassed = (durationMs: number) => {
        const attempts: string[] = [];
        fake.run(durationMs, () => {
            for (const entry of fake.ids) {
                attempts.push(`r${sequence++}`);
                fake.route(entry, attempts.at(-1)!);
            }
            attempts.slice(-200, -150).forEach((id, index) => fake.finish(fake.ids[index % 4], id));
        });
        return fake.filterGranted(attempts).length;
    };
    const before = countPassed(1000);
    fake.setService({}, { requestsPerSecond: 500 });
    const after = countPassed(1000);
    t.true(Math.abs(before - 1000) <= 50, `${before} passed of 1000`);
    t.true(Math.abs(after - 500) <= 25, `${after} passed of 500`);
});

test("guards against retries that amplify an outage: at most 10% of the requests", t => {
    const fake = new SimulatedRouters({ entries: 3, upstreams: 3, slots: 100 });
    fake.run(settleMs);
    let retries = 0;
    for (let index = 0; index < 1000; index++) {
        fake.route("e0", `r${index}`);
        fake.run(1);
        fake.finish("e0", `r${index}`, { status: 500 });
        retries += fake.routers.get("e0")!.takeRetry("orders", fake.nowMs) ? 1 : 0;
        retries += fake.routers.get("e0")!.takeRetry("orders", fake.nowMs) ? 1 : 0;
    }
    t.true(retries <= 100 && retries >= 95, `${retries} retries`);
});

test("guards against overload of the owner: entries at the limit send it requests only every few milliseconds", t => {
    const fake = new SimulatedRouters({ entries: 4, upstreams: 20, slots: 50, limits: { requestsPerSecond: 1000 } });
    fake.run(settleMs);
    const owner = fake.ownerId();
    let [sentToOwnerCount, refusedCount] = [0, 0];
    fake.run(1000, () => {
        for (const entry of fake.ids.filter(id => id !== owner)) {
            for (let index = 0; index < 10; index++) {
                const decision = fake.route(entry, `${fake.nowMs}-${entry}-${index}`);
                sentToOwnerCount += decision.kind === "wait" ? 1 : 0;
                refusedCount += decision.kind === "refuse" ? 1 : 0;
                if (decision.kind === "upstream") {
                    fake.finish(entry, `${fake.nowMs}-${entry}-${index}`);
                }
            }
        }
    });
    // A round trip takes 2 ms, in which 20 requests arrive; then the entry pauses for 5 ms.
    t.true(sentToOwnerCount <= 30_000 / 3, `${sentToOwnerCount} of 30000 requests sent to the owner`);
    t.true(refusedCount >= 20_000, `${refusedCount} refused by their entry`);
});
