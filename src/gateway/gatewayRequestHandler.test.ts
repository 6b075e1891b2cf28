import test from "ava";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "./testing.js";

/** Long enough for the entry to repeat load probes whose responses are delayed on a busy machine. */
const longTimeoutRoute = makeRoute({ targetLatencyMs: 100_000, timeoutMs: 100_000 });

test("guards against requests that a starting entry refuses before it has received the routes", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    await entry.start();
    await entry.addUpstream(upstream);
    entry.onDirectoryWait = () => entry.requestHandler.setRoutes(makeTable(1, [longTimeoutRoute]));
    t.deepEqual(await entry.send("/stock/1", "r-1"), { status: 200, text: "done" });
    t.deepEqual(upstream.receivedIds, ["r-1"]);
    entry.close();
    upstream.close();
});

test("guards against requests that are never answered while the directory is unknown", async t => {
    const entry = new TestEntry();
    await entry.start();
    const { status } = await entry.send("/stock/1", "r-1");
    t.is(status, 503);
    t.is(entry.lines[0].fields.reason, "no-route");
    entry.close();
});
