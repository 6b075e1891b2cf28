import test from "ava";
import { FakeRouters } from "../../test/fakeRouters.js";
import { PolicyName } from "../catalogue/model.js";
import { ownerOf } from "./ownership.js";

const settleMs = 30;

for (const policy of Object.values(PolicyName)) {
    test(`guards against a policy that ignores the instances to avoid: ${policy}`, t => {
        const fake = new FakeRouters({ entries: 3, upstreams: 3, slots: 20, service: { policy } });
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

test("guards against over-commitment: all entries together get the slots and no more, then the queue is served", t => {
    const fake = new FakeRouters({ entries: 4, upstreams: 3, slots: 2 });
    fake.run(settleMs);
    const attempts = Array.from({ length: 10 }, (_unused, index) => `r${index}`);
    attempts.forEach((id, index) => fake.route(fake.ids[index % 4], id));
    fake.run(settleMs);
    const granted = fake.granted(attempts);
    t.is(granted.length, 6);
    const perUpstream = fake.rows.map(row => granted.filter(id => fake.upstreamOf(id) === row.announcement.id).length);
    t.deepEqual(perUpstream, [2, 2, 2]);
    granted.forEach(id => fake.finish(fake.ids[attempts.indexOf(id) % 4], id));
    fake.run(settleMs);
    t.is(fake.granted(attempts).length, 10);
});

test("guards against a request that waits for a silent owner: the entry chooses by itself within 60 ms", t => {
    const fake = new FakeRouters({ entries: 3, upstreams: 3, slots: 2 });
    fake.run(settleMs);
    const owner = fake.ownerId();
    const entry = fake.ids.find(id => id !== owner)!;
    fake.cutOff.add(owner);
    t.is(fake.route(entry, "first").kind, "wait");
    fake.run(60);
    t.not(fake.upstreamOf("first"), undefined);
    t.is(fake.route(entry, "second").kind, "upstream");
    fake.cutOff.clear();
    fake.run(60);
    t.is(fake.route(entry, "third").kind, "wait");
    fake.run(5);
    t.is(fake.route(entry, "fourth").kind, "wait");
});

test("guards against over-commitment by a new owner: it waits for the entry that has the old grants", t => {
    const fake = new FakeRouters({ entries: 4, upstreams: 3, slots: 2 });
    fake.run(settleMs);
    const owner = fake.ownerId();
    const remaining = fake.ids.filter(id => id !== owner);
    const nextOwner = ownerOf("orders", remaining)!;
    const [holder, other] = remaining.filter(id => id !== nextOwner);
    const others = [nextOwner, other];
    const first = Array.from({ length: 6 }, (_unused, index) => `old${index}`);
    first.forEach(id => fake.route(holder, id));
    fake.run(settleMs);
    t.is(fake.granted(first).length, 6);
    fake.kill(owner);
    fake.seen.get(holder)!.add(owner);
    const second = ["new0", "new1", "new2"];
    second.forEach((id, index) => fake.route(others[index % 2], id));
    fake.run(40);
    t.is(fake.granted(second).length, 0);
    fake.seen.get(holder)!.delete(owner);
    fake.run(settleMs);
    t.is(fake.granted(second).length, 0);
    first.forEach(id => fake.finish(holder, id));
    fake.run(settleMs);
    t.is(fake.granted(second).length, 3);
});

test("guards against a slot that is never freed: the attempt is abandoned after its slot was granted", t => {
    const fake = new FakeRouters({ entries: 3, upstreams: 1, slots: 1 });
    fake.run(settleMs);
    for (const entry of fake.ids) {
        fake.route(entry, `given-up-${entry}`);
        fake.run(10);
        fake.abandon(entry, `given-up-${entry}`);
        fake.run(10);
    }
    fake.route("e0", "next");
    fake.run(10);
    t.is(fake.upstreamOf("next"), "u0");
});

test("guards against slots lost for good: grants of an entry that died and lost releases become free", t => {
    const fake = new FakeRouters({ entries: 3, upstreams: 1, slots: 2 });
    fake.run(settleMs);
    const owner = fake.ownerId();
    const [dying, living] = fake.ids.filter(id => id !== owner);
    fake.route(dying, "dying");
    fake.route(living, "living");
    fake.run(settleMs);
    fake.kill(dying);
    fake.cutOff.add(living);
    fake.finish(living, "living");
    fake.run(settleMs);
    fake.cutOff.clear();
    fake.run(1000);
    ["a", "b"].forEach(id => fake.route(owner, id));
    fake.run(settleMs);
    t.is(fake.granted(["a", "b"]).length, 2);
});

const limitCases = [
    { name: "in flight", limits: { maxInFlight: 40 }, changed: { maxInFlight: 80 }, expected: [40, 80] },
    { name: "in flight, lowered", limits: { maxInFlight: 40 }, changed: { maxInFlight: 10 }, expected: [40, 40] },
];

for (const { name, limits, changed, expected } of limitCases) {
    test(`guards against a limit that each entry applies alone or late: ${name}`, t => {
        const fake = new FakeRouters({ entries: 4, upstreams: 20, slots: 10, limits });
        fake.run(settleMs);
        const attempts = Array.from({ length: 200 }, (_unused, index) => `r${index}`);
        attempts.forEach((id, index) => fake.route(fake.ids[index % 4], id));
        fake.run(settleMs);
        t.is(fake.granted(attempts).length, expected[0]);
        fake.setService({}, changed);
        fake.run(10);
        t.is(fake.granted(attempts).length, expected[1]);
    });
}

test("guards against a rate that differs from the limit by more than 5% over all entries, also after a change", t => {
    const fake = new FakeRouters({ entries: 4, upstreams: 20, slots: 50, limits: { requestsPerSecond: 1000 } });
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
        return fake.granted(attempts).length;
    };
    const before = countPassed(1000);
    fake.setService({}, { requestsPerSecond: 500 });
    const after = countPassed(1000);
    t.true(Math.abs(before - 1000) <= 50, `${before} passed of 1000`);
    t.true(Math.abs(after - 500) <= 25, `${after} passed of 500`);
});

test("guards against retries that multiply an outage: at most a tenth of the requests", t => {
    const fake = new FakeRouters({ entries: 3, upstreams: 3, slots: 100 });
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

test("guards against a flood that occupies the owner: entries at the limit ask it at most every few milliseconds", t => {
    const fake = new FakeRouters({ entries: 4, upstreams: 20, slots: 50, limits: { requestsPerSecond: 1000 } });
    fake.run(settleMs);
    const owner = fake.ownerId();
    let [asked, refused] = [0, 0];
    fake.run(1000, () => {
        for (const entry of fake.ids.filter(id => id !== owner)) {
            for (let index = 0; index < 10; index++) {
                const decision = fake.route(entry, `${fake.nowMs}-${entry}-${index}`);
                asked += decision.kind === "wait" ? 1 : 0;
                refused += decision.kind === "refuse" ? 1 : 0;
                if (decision.kind === "upstream") {
                    fake.finish(entry, `${fake.nowMs}-${entry}-${index}`);
                }
            }
        }
    });
    // A round trip takes 2 ms, in which 20 requests arrive; then the entry pauses for 5 ms.
    t.true(asked <= 30_000 / 3, `${asked} of 30000 requests asked the owner`);
    t.true(refused >= 20_000, `${refused} refused at their entry`);
});
