import test from "ava";
import { makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "./testing.js";

test("guards against a question to each upstream for each request, and against upstreams that stay unused", async t => {
    const entry = new TestEntry();
    const upstreams = Array.from({ length: 8 }, (_value, index) => new TestUpstream(`i-${index}`));
    await entry.start(makeTable(1));
    await Promise.all(upstreams.map(upstream => entry.add(upstream)));
    const requestCount = 24;
    for (let number = 0; number < requestCount; number++) {
        t.is((await entry.send("/stock/1", `r-${number}`)).status, 200);
    }
    t.true(upstreams.every(upstream => upstream.ran.length > 0), "each upstream got a request");
    const questions = upstreams.reduce((sum, upstream) => sum + upstream.questionCount, 0);
    t.true(questions <= 4 * requestCount, `${questions} questions for ${requestCount} requests`);
    entry.close();
    upstreams.forEach(upstream => upstream.close());
});

test("guards against a request that waits while an upstream that was not asked first has room", async t => {
    const entry = new TestEntry();
    const upstreams = Array.from({ length: 8 }, (_value, index) => new TestUpstream(`i-${index}`));
    upstreams.slice(0, 7).forEach(upstream => upstream.load = "3,3,1");
    await entry.start(makeTable(1));
    await Promise.all(upstreams.map(upstream => entry.add(upstream)));
    for (let number = 0; number < 5; number++) {
        t.is((await entry.send("/stock/1", `r-${number}`)).status, 200);
    }
    t.is(upstreams[7].ran.length, 5);
    entry.close();
    upstreams.forEach(upstream => upstream.close());
});

test("guards against a refusal that the log does not explain", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    upstream.load = "3,3,5";
    await entry.start(makeTable(1));
    await entry.add(upstream);
    t.is((await entry.send("/stock/1", "r-1")).status, 503);
    const line = entry.lines.find(({ text }) => text === "answered without an upstream");
    const [seen] = line?.fields.seen as Record<string, unknown>[];
    t.like(seen, { upstream: "i-1", busy: 3, slots: 3, slowdown: 5, isEjected: false, isDraining: false });
    t.is(typeof seen.ageMs, "number");
    entry.close();
    upstream.close();
});
