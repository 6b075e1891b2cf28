import test from "ava";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "./testing.js";

/** The entry asks on for long when a busy machine delays the answers about loads. */
const patientRoute = makeRoute({ targetLatencyMs: 100_000, timeoutMs: 100_000 });

test("guards against requests that an entry refuses because it has not heard of the routes yet", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    await entry.start();
    await entry.add(upstream);
    entry.onWait = () => entry.intake.setRoutes(makeTable(1, [patientRoute]));
    t.deepEqual(await entry.send("/stock/1", "r-1"), { status: 200, text: "done" });
    t.deepEqual(upstream.ran, ["r-1"]);
    entry.close();
    upstream.close();
});

test("guards against requests without an answer while the directory stays unknown", async t => {
    const entry = new TestEntry();
    await entry.start();
    const { status } = await entry.send("/stock/1", "r-1");
    t.is(status, 503);
    t.is(entry.lines[0].fields.reason, "no-route");
    entry.close();
});
