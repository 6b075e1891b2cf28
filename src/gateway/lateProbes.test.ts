import test from "ava";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "./testing.js";

const route = makeRoute({ targetLatencyMs: 1000, timeoutMs: 5000 });
/** Above the time that a round waits for its probes, below the time that a request waits for a placement. */
const probeDelayMs = 120;

async function startEntry(upstreams: readonly TestUpstream[]): Promise<TestEntry> {
    const entry = new TestEntry();
    await entry.start(makeTable(1, [route]));
    await Promise.all(upstreams.map(upstream => entry.addUpstream(upstream)));
    return entry;
}

test("guards against a system that serves nothing while instances answer probes late", async t => {
    const upstreams = ["i-1", "i-2", "i-3", "i-4"].map(id => new TestUpstream(id));
    upstreams.forEach(upstream => upstream.probeDelayMs = probeDelayMs);
    const entry = await startEntry(upstreams);
    t.teardown(() => {
        entry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    for (let count = 0; count < 5; count++) {
        t.is((await entry.send(`/stock/${count}`, `r-${count}`)).status, 200);
    }
    const connections = upstreams.reduce((sum, upstream) => sum + upstream.connectionCount, 0);
    const probes = upstreams.reduce((sum, upstream) => sum + upstream.probeCount, 0);
    t.true(
        connections < probes,
        `${connections} connections for ${probes} probes: late answers do not cost connections`,
    );
});

/** Program of a thread that answers probes and requests, also while the thread of the test is held up. */
const upstreamProgram = `
    const { parentPort } = require("node:worker_threads");
    const server = require("node:http").createServer((request, response) => {
        response.setHeader("Load", "0,3,1");
        const requestId = request.headers["request-id"];
        response.setHeader(requestId === undefined ? "Upstream-Id" : "Request-Id", requestId ?? "i-1");
        response.end("done");
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

test("guards against an entry that was held up and takes answers that wait to be read for missing ones", async t => {
    const worker = new Worker(upstreamProgram, { eval: true });
    const [port] = await once(worker, "message") as [number];
    const entry = await startEntry([]);
    entry.upstreamTable.set(makeRegistration({ address: `127.0.0.1:${port}` }), entry.clock.monotonicMs());
    t.teardown(async () => {
        entry.close();
        await worker.terminate();
    });
    await entry.send("/stock/0", "r-0");
    for (let count = 1; count <= 15; count++) {
        const sent = entry.send(`/stock/${count}`, `r-${count}`);
        for (let turn = 0; turn < count; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const heldUntilMs = performance.now() + 80;
        while (performance.now() < heldUntilMs) {
            // Holds up the event loop, so that timers of probes are due before their answers are read.
        }
        t.is((await sent).status, 200);
    }
    const { values } = await entry.metrics.loadProbes.get();
    t.is(values.find(({ labels }) => labels.end === "silent"), undefined);
});

test("guards against an upstream that answers late and stays ejected", async t => {
    const upstream = new TestUpstream("i-1");
    upstream.probeDelayMs = probeDelayMs;
    const entry = await startEntry([upstream]);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    for (let count = 0; count < 4; count++) {
        t.is((await entry.send(`/stock/${count}`, `r-${count}`)).status, 200);
    }
    t.is(entry.upstreamTable.countEjected(entry.clock.monotonicMs()), 0);
});
