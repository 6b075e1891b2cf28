import test from "ava";
import { ManualClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { drawRetryAfterMs, RefusalCause } from "./refusals.js";
import { TestEntry, TestUpstream } from "./testing.js";
import { UpstreamStateTable } from "./upstreamStateTable.js";

const longBackOffMs = 100_000;
const route = makeRoute({ targetLatencyMs: 100_000, timeoutMs: 100_000, maxAttempts: 3 });

test("guards against requests to an incarnation that has announced that it leaves, and against its exclusion for ever", t => {
    const clock = new ManualClock(1000);
    const table = new UpstreamStateTable();
    table.set(makeRegistration({ bornAtMs: 5 }), clock.monotonicMs());
    const [upstreamState] = table.list();
    table.markLeaving(upstreamState);
    const countEligible = () => table.listEligible("orders", new Set(), clock.monotonicMs()).length;
    t.is(countEligible(), 0);
    t.false(table.isCurrent(upstreamState, clock.monotonicMs()));
    table.set(makeRegistration({ bornAtMs: 5, sequence: 9 }), clock.monotonicMs());
    t.is(countEligible(), 0, "a later heartbeat");
    table.delete("i-1");
    table.set(makeRegistration({ bornAtMs: 5 }), clock.monotonicMs());
    t.is(countEligible(), 0, "registered again after it had expired");
    table.set(makeRegistration({ bornAtMs: 6 }), clock.monotonicMs());
    t.is(countEligible(), 1, "the next incarnation");
});

test("guards against losing the start of a back-off, and against one that never ends", t => {
    const table = new UpstreamStateTable();
    ["i-1", "i-2"].forEach(id => table.set(makeRegistration({ id, address: id }), 0));
    const [first, second] = table.list();
    first.backOffUntilMs = 3000;
    t.deepEqual(table.listEligible("orders", new Set(), 1000), [second]);
    t.is(table.findBackOffDelayMs("orders", 1000), undefined);
    second.backOffUntilMs = 2500;
    t.deepEqual(table.listEligible("orders", new Set(), 1000), []);
    t.is(table.findBackOffDelayMs("orders", 1000), 1500);
    t.deepEqual(table.listEligible("orders", new Set(), 2500), [second]);
    t.is(table.findBackOffDelayMs("moulds", 1000), undefined, "a service without upstreams");
    table.markLeaving(second);
    t.is(table.findBackOffDelayMs("orders", 1000), 2000, "leaving upstreams do not count");
});

test("guards against callers that return before a back-off ends, or too late for their deadline", t => {
    const random = new SeededRandom(1);
    const draw = (backOffDelayMs: number) =>
        drawRetryAfterMs(
            {
                cause: RefusalCause.backingOff,
                untilTargetMs: 900,
                baselineMs: 1,
                untilDeadlineMs: 3000,
                backOffDelayMs,
            },
            random,
        );
    const delays = Array.from({ length: 20 }, () => draw(970));
    t.true(delays.every(delayMs => delayMs >= 970 && delayMs <= 1000), delays.join());
    t.true(draw(60_000) <= 1000);
});

test("guards against using an upstream whose response announced that it leaves", async t => {
    const entry = new TestEntry();
    const upstreams = [new TestUpstream("i-1"), new TestUpstream("i-2")];
    await entry.start(makeTable(1, [route]));
    await entry.addUpstream(upstreams[0]);
    t.teardown(() => [entry, ...upstreams].forEach(part => part.close()));
    upstreams[0].answer = (_request, response) => response.writeHead(200, { Leaving: "1" }).end("last");
    t.is((await entry.send("/stock/1", "r-1")).text, "last");
    t.is(entry.leavingReportCount, 1);
    t.deepEqual(entry.upstreamStatements.listUnreported(), [{ id: "i-1", bornAtMs: 1000 }]);
    await entry.addUpstream(upstreams[1]);
    const probesBefore = upstreams[0].probeCount;
    for (let count = 0; count < 5; count++) {
        t.is((await entry.send("/stock/1", `r-2-${count}`)).text, "done");
    }
    t.deepEqual(upstreams[0].receivedIds, ["r-1"]);
    t.is(upstreams[0].probeCount, probesBefore);
});

test("guards against missing the announcement in the answer to a load probe", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    upstream.probeFields = { Leaving: "1" };
    await entry.start(makeTable(1, [makeRoute()]));
    await entry.addUpstream(upstream);
    t.teardown(() => [entry, upstream].forEach(part => part.close()));
    t.is((await entry.send("/stock/1", "r-1")).status, 503);
    t.deepEqual(upstream.receivedIds, []);
});

test("guards against requests and probes during a back-off, and against waiting when all upstreams back off", async t => {
    const entry = new TestEntry();
    const upstreams = [new TestUpstream("i-1"), new TestUpstream("i-2")];
    await entry.start(makeTable(1, [route]));
    for (const upstream of upstreams) {
        await entry.addUpstream(upstream);
        upstream.answer = (_request, response) =>
            response.writeHead(503, { "Not-Run": "1", "Back-Off-Ms": String(longBackOffMs) }).end();
    }
    t.teardown(() => [entry, ...upstreams].forEach(part => part.close()));
    t.is((await entry.send("/stock/1", "r-1")).status, 503);
    t.deepEqual(upstreams.flatMap(upstream => upstream.receivedIds), ["r-1", "r-1"]);
    const probesBefore = upstreams.map(upstream => upstream.probeCount);
    t.is((await entry.send("/stock/1", "r-2")).status, 503);
    t.deepEqual(upstreams.map(upstream => upstream.probeCount), probesBefore);
    t.deepEqual(upstreams.flatMap(upstream => upstream.receivedIds), ["r-1", "r-1"]);
    const reasons = entry.lines.filter(line => line.text === "answered without an upstream")
        .map(line => line.fields["reason"]);
    t.deepEqual(reasons, ["backing-off", "backing-off"]);
});

test("guards against a back-off for a 503 that may have run", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    await entry.start(makeTable(1, [route]));
    await entry.addUpstream(upstream);
    t.teardown(() => [entry, upstream].forEach(part => part.close()));
    upstream.answer = (_request, response) => response.writeHead(503, { "Back-Off-Ms": String(longBackOffMs) }).end();
    t.is((await entry.send("/stock/1", "r-1")).status, 503);
    upstream.answer = (_request, response) => response.end("done");
    t.is((await entry.send("/stock/1", "r-2")).text, "done");
});
