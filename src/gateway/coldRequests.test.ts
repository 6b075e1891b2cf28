import test, { type ExecutionContext } from "ava";
import { readInstant } from "../core/clock.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { makeColdService } from "./coldFleet.js";
import { TestEntry, TestUpstream } from "./testing.js";

const longWarmupMs = 600_000;

async function startEntry(t: ExecutionContext, upstream: TestUpstream): Promise<TestEntry> {
    const entry = new TestEntry();
    const services = [makeColdService(4.6)];
    await entry.start({ ...makeTable(1, [makeRoute({ maxAttempts: 1 })]), services });
    entry.upstreamLimits.cold.setServices(services);
    await entry.addUpstream(upstream);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    return entry;
}

test("guards against requests and probes to an upstream whose answer to a probe says that it is cold", async t => {
    const upstream = new TestUpstream("i-1");
    upstream.warmupMs = longWarmupMs;
    const entry = await startEntry(t, upstream);
    t.is((await entry.send("/stock/1", "r-1")).status, 503);
    t.is((await entry.send("/stock/2", "r-2")).status, 503);
    t.deepEqual(upstream.receivedIds, []);
    t.is(upstream.probeCount, 1, "the one that told it");
    t.true(entry.lines.some(({ text }) => text === "upstream is cold"));
});

test("guards against counting a request that was answered 421, and against probes by the holder of a share", async t => {
    const upstream = new TestUpstream("i-1");
    const entry = await startEntry(t, upstream);
    const [upstreamState] = entry.upstreamTable.list();
    const row = { id: "i-1", bornAtMs: upstreamState.registration.bornAtMs, warmupMs: longWarmupMs, perSecond: 4.6 };
    const cold = [{ ...row, share: 0.2, start: [1, 1, 0] as const }];
    const sentAt = readInstant(entry.clock);
    entry.upstreamLimits.apply({ version: 1, validMs: longWarmupMs, rows: [], cold }, sentAt);
    upstream.answer = (_request, response) => response.writeHead(421).end();
    await entry.send("/stock/1", "r-1");
    t.deepEqual(upstream.receivedIds, ["r-1"]);
    t.true(upstreamState.cold.permits.count >= 1, "the permit has returned");
    upstream.answer = (_request, response) => response.end("done");
    await entry.send("/stock/2", "r-2");
    t.true(upstreamState.cold.permits.count < 1, "the permit is used");
    t.is(upstream.probeCount, 0);
});
