import test from "ava";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "./testing.js";

for (const isOverloadControlled of [false, true]) {
    const name = isOverloadControlled ? "with a learned limit" : "without the setting";
    test(`guards against a non-idempotent request that is sent again after a reset: ${name}`, async t => {
        const entry = new TestEntry({ isOverloadControlled });
        const upstreams = [new TestUpstream("i-1"), new TestUpstream("i-2")];
        const times = { targetLatencyMs: 100_000, timeoutMs: 100_000 };
        await entry.start(makeTable(1, [makeRoute({ isIdempotent: false, maxAttempts: 3, ...times })]));
        for (const upstream of upstreams) {
            upstream.load = "1,2,1";
            upstream.answer = request => request.socket.resetAndDestroy();
            await entry.addUpstream(upstream);
        }
        t.teardown(() => {
            entry.close();
            upstreams.forEach(upstream => upstream.close());
        });
        t.is((await entry.send("/stock/1", "r-1", "POST")).status, 502);
        t.is(upstreams[0].receivedIds.length + upstreams[1].receivedIds.length, 1);
        const limits = entry.upstreamTable.list().flatMap(({ concurrencyLimit }) => concurrencyLimit ?? []);
        t.deepEqual(limits.map(({ maxOutstanding }) => maxOutstanding), isOverloadControlled ? [1] : []);
    });
}
