import test, { type ExecutionContext } from "ava";
import type { ServerResponse } from "node:http";
import { SeededRandom } from "../core/random.js";
import { RequestKind, type Route } from "../directory/model.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { RequestTimes } from "./requestTimes.js";
import { computeShutdownPhases, ShutdownSchedule } from "./shutdownPhases.js";
import { TestEntry, TestUpstream, waitFor } from "./testing.js";

const closingMs = 5000;
const longTimeoutMs = 60_000;
const shortTimeoutMs = 1000;

async function makeFixture(t: ExecutionContext, route: Partial<Route>) {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    await entry.start(makeTable(1, [makeRoute({ targetLatencyMs: 100_000, timeoutMs: longTimeoutMs, ...route })]));
    await entry.addUpstream(upstream);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    const stop = () => entry.requestHandler.beginShutdown(entry.clock.monotonicMs() + closingMs);
    return { entry, upstream, stop };
}

const kinds: readonly { readonly name: string; readonly route: Partial<Route>; readonly method: string; }[] = [
    { name: "a request that may be repeated", route: { isIdempotent: true }, method: "GET" },
    { name: "a request that runs once", route: { isIdempotent: false }, method: "POST" },
    { name: "an upload", route: { isIdempotent: false, kind: RequestKind.upload }, method: "POST" },
];

for (const { name, route, method } of kinds) {
    test(`guards against ${name} that a stopping entry passes on and then cuts off`, async t => {
        const { entry, upstream, stop } = await makeFixture(t, route);
        t.is((await entry.send("/stock/1", "a", method)).status, 200);
        stop();
        t.is((await entry.send("/stock/1", "b", method)).status, 503);
        t.deepEqual(upstream.receivedIds, ["a"], "a refusal that says that it has not run is true");
    });

    test(`guards against ${name} that a stopping entry refuses although it has time`, async t => {
        const { entry, stop } = await makeFixture(t, { ...route, timeoutMs: shortTimeoutMs });
        stop();
        t.is((await entry.send("/stock/1", "a", method)).status, 200);
    });
}

test("guards against a caller's deadline that a stopping entry does not count", async t => {
    const { entry, stop } = await makeFixture(t, {});
    stop();
    t.is((await entry.send("/stock/1", "a", "GET", { "Deadline-Ms": String(shortTimeoutMs) })).status, 200);
});

test("guards against a request that waits in a queue while the entry stops, and is then cut off", async t => {
    const { entry, upstream, stop } = await makeFixture(t, {});
    upstream.load = "3,3,1";
    const held: ServerResponse[] = [];
    upstream.answer = (_request, response) => held.push(response);
    const waiting = entry.send("/stock/1", "a");
    await waitFor(() => upstream.probeCount > 2);
    t.is(held.length, 0, "it waits");
    stop();
    t.true(entry.lines.some(({ fields }) => fields.reason === "draining"), "it is refused at once");
    t.is((await waiting).status, 503);
    t.deepEqual(upstream.receivedIds, []);
});

test("guards against a request that an upstream is working on and that a stopping entry gives up", async t => {
    const { entry, upstream, stop } = await makeFixture(t, {});
    const held: ServerResponse[] = [];
    upstream.answer = (_request, response) => held.push(response);
    const running = entry.send("/stock/1", "a");
    await waitFor(() => held.length > 0);
    stop();
    held.forEach(response => response.end("done"));
    t.deepEqual(await running, { status: 200, text: "done" });
});

test("guards against a retry that a stopping entry sends and then cuts off", async t => {
    const { entry, upstream, stop } = await makeFixture(t, { isIdempotent: true });
    upstream.answer = request => {
        stop();
        request.socket.destroy();
    };
    const other = new TestUpstream("i-2");
    t.teardown(() => other.close());
    other.answer = upstream.answer;
    await entry.addUpstream(other);
    t.is((await entry.send("/stock/1", "a")).status, 502);
    t.is(upstream.receivedIds.length + other.receivedIds.length, 1);
});

test("guards against accepted requests that end after the close, at any grace period, lifetime and timeout", t => {
    const random = new SeededRandom(7);
    let acceptedCount = 0;
    for (let count = 0; count < 20_000; count++) {
        const graceMs = 500 + random.nextInt(30_000);
        const phases = computeShutdownPhases({ graceMs, addressLifetimeMs: random.nextInt(20_000) });
        const schedule = new ShutdownSchedule();
        schedule.begin(phases.closingMs);
        const receivedAtMs = random.nextInt(Math.ceil(phases.acceptingMs) + 1);
        const route = makeRoute({ timeoutMs: random.nextInt(20_000) });
        const times = new RequestTimes(route, receivedAtMs, 0, receivedAtMs + random.nextInt(20_000));
        if (schedule.canAnswerBy(times.latestAnswerAtMs)) {
            acceptedCount++;
            t.true(times.latestAnswerAtMs < phases.closingMs);
        }
    }
    t.true(acceptedCount > 1000, `${acceptedCount} were accepted`);
});

test("guards against an entry that refuses requests before it stops", t => {
    t.true(new ShutdownSchedule().canAnswerBy(Infinity));
});
