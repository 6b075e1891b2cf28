import test from "ava";
import { FakeCluster } from "../../test/fakeEntries.js";

test("guards against a keyed request that runs twice or a GET that is lost: smoke run of five entries", t => {
    const cluster = new FakeCluster({ seed: 1, entryCount: 5, upstreamCount: 3 });
    cluster.request("e0", { id: "r1", idempotencyKey: "k1" });
    cluster.request("e1", { id: "r2", idempotencyKey: "k2" });
    cluster.request("e1", { id: "r3", method: "GET" });
    cluster.run(50);
    cluster.request("e2", { id: "r4", idempotencyKey: "k1" });
    cluster.request("e2", { id: "r5", idempotencyKey: "k1", bodyHash: "other" });
    cluster.run(50);
    t.deepEqual([...cluster.answers].map(([id, it]) => [id, it.reason, it.body]).sort(), [
        ["r1", "forwarded", "k1"],
        ["r2", "forwarded", "k2"],
        ["r3", "forwarded", "r3"],
        ["r4", "replay", "k1"],
        ["r5", "key-reused", ""],
    ]);
    t.is(cluster.executions.length, 3);
});
