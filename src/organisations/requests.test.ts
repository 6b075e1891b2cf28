import test, { type ExecutionContext } from "ava";
import type http from "node:http";
import { type Organisation, RequestKind, type Route, type RouteTable } from "../directory/model.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream, waitFor } from "../gateway/testing.js";
import { QuotaGate } from "./quotaGate.js";

/** Long enough for the entry to repeat load probes whose responses are delayed on a busy machine. */
const longTimeouts = { targetLatencyMs: 100_000, timeoutMs: 100_000 };
const routes: readonly Route[] = [
    makeRoute(longTimeouts),
    makeRoute({ ...longTimeouts, name: "open", pathPrefix: "/open/", isPublic: true }),
    makeRoute({ ...longTimeouts, name: "far", pathPrefix: "/far/", homes: ["east"] }),
    makeRoute({
        ...longTimeouts,
        name: "put",
        pathPrefix: "/put/",
        isIdempotent: false,
        kind: RequestKind.upload,
        maxAttempts: 2,
    }),
];
const acme: Organisation = { name: "acme", keys: ["key-a1", "key-a2"] };
const eastern: Organisation = { name: "eastern", keys: ["key-e"], homes: ["east"] };

function makeTableWith(organisations: readonly Organisation[] | undefined, version = 1): RouteTable {
    const table = makeTable(version, routes);
    return organisations === undefined ? table : { ...table, organisations };
}

class CountingGate extends QuotaGate {
    taken = 0;
    returned = 0;
    remaining = Infinity;

    take() {
        const isAdmitted = this.remaining-- > 0;
        this.taken += isAdmitted ? 1 : 0;
        return { isAdmitted, retryAfterMs: isAdmitted ? 0 : 2500 };
    }

    giveBack(): void {
        this.returned++;
    }
}

interface Setup {
    readonly entry: TestEntry;
    readonly gate: CountingGate;
    readonly upstream: TestUpstream;
    /** Headers of the requests that upstreams received. */
    readonly received: http.IncomingHttpHeaders[];
}

async function start(
    t: ExecutionContext,
    organisations: readonly Organisation[] | undefined,
    upstreamCount = 1,
): Promise<Setup> {
    const gate = new CountingGate();
    const entry = new TestEntry({ quotaGate: gate });
    const received: http.IncomingHttpHeaders[] = [];
    await entry.start(makeTableWith(organisations));
    const upstreams = Array.from({ length: upstreamCount }, (_value, index) => new TestUpstream(`i-${index + 1}`));
    for (const upstream of upstreams) {
        upstream.answer = (request, response) => {
            received.push(request.headers);
            request.resume().on("end", () => response.end("done"));
        };
        await entry.addUpstream(upstream);
    }
    t.teardown(() => {
        entry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    return { entry, gate, upstream: upstreams[0], received };
}

test("guards against requests that run without a valid key, and against keys that reach instances", async t => {
    const setup = await start(t, [acme]);
    const { entry, received } = setup;
    t.is((await entry.send("/stock/1", "r-1")).status, 401);
    t.is((await entry.send("/stock/1", "r-2", "GET", { Key: "key-b" })).status, 401);
    t.is((await entry.send("/stock/1", "r-3", "GET", { Key: ["key-a1", "key-a1"] })).status, 400);
    t.is((await entry.send("/nowhere/", "r-4")).status, 404, "the route is checked before the key");
    t.deepEqual(received, []);
    t.is((await entry.send("/stock/1", "r-5", "GET", { Key: "key-a2", Organisation: "other" })).status, 200);
    t.is((await entry.send("/open/1", "r-6", "GET", { Key: "key-b", Organisation: "other" })).status, 200);
    t.deepEqual(received.map(headers => headers.organisation), ["acme", undefined]);
    t.deepEqual(received.map(headers => headers.key), [undefined, undefined]);
});

test("guards against a changed behaviour of configurations without organisations", async t => {
    for (const organisations of [undefined, []]) {
        const setup = await start(t, organisations);
        t.is((await setup.entry.send("/stock/1", "r-1", "GET", { Organisation: "other" })).status, 200);
        t.is(setup.received[0].organisation, "other");
        t.deepEqual([setup.gate.taken, setup.gate.returned], [0, 0]);
    }
});

test("guards against a removed key that remains valid on an open connection", async t => {
    const setup = await start(t, [acme]);
    const caller = await setup.entry.connect();
    caller.writeHead("/stock/1", "r-1", "Key: key-a1", "Content-Length: 0");
    await waitFor(() => caller.text.includes("HTTP/1.1 200"));
    setup.entry.requestHandler.setRoutes(makeTableWith([{ ...acme, keys: ["key-a2"] }], 2));
    caller.writeHead("/stock/1", "r-2", "Key: key-a1", "Content-Length: 0");
    await waitFor(() => caller.text.includes("HTTP/1.1 401"));
    caller.writeHead("/stock/1", "r-3", "Key: key-a2", "Content-Length: 0");
    await waitFor(() => caller.text.split("HTTP/1.1 200").length === 3);
    t.deepEqual(setup.upstream.receivedIds, ["r-1", "r-3"]);
    caller.socket.destroy();
});

test("guards against 401 from an entry that cannot confirm its configuration", async t => {
    const setup = await start(t, [acme]);
    setup.entry.isConfirmed = false;
    t.is((await setup.entry.send("/stock/1", "r-1", "GET", { Key: "key-b" })).status, 503);
    t.is((await setup.entry.send("/stock/1", "r-2")).status, 503);
    t.is((await setup.entry.send("/stock/1", "r-3", "GET", { Key: "key-a1" })).status, 200, "it continues to serve");
});

test("guards against reading the body of an upload without a valid key", async t => {
    const setup = await start(t, [acme]);
    const caller = await setup.entry.connect();
    caller.writeHead("/put/1", "r-1", "Key: key-b", "Content-Length: 1000000", "Expect: 100-continue");
    await waitFor(() => caller.text.includes("HTTP/1.1 401"));
    t.false(caller.text.includes("100 Continue"));
    t.deepEqual(setup.received, []);
    caller.socket.destroy();
});

test("guards against uploads and retries that lose the organisation's name", async t => {
    const setup = await start(t, [acme], 2);
    let refusals = 0;
    const { upstream, received, entry } = setup;
    upstream.answer = (request, response) => {
        received.push(request.headers);
        refusals++;
        response.writeHead(503, { "Not-Run": "1" }).end();
    };
    for (let number = 0; refusals === 0 && number < 100; number++) {
        t.is((await entry.send("/stock/1", `s-${number}`, "GET", { Key: "key-a1" })).status, 200);
    }
    t.is(refusals, 1, "a request was sent again");
    t.is((await entry.send("/put/1", "u-1", "POST", { Key: "key-a1", Organisation: "other" })).status, 200);
    t.true(received.every(headers => headers.organisation === "acme" && headers.key === undefined));
});

test("guards against requests that are not taken from the quota, or whose unused units are lost", async t => {
    const setup = await start(t, [acme]);
    const { entry, gate, upstream } = setup;
    t.is((await entry.send("/stock/1", "r-1", "GET", { Key: "key-a1" })).status, 200);
    t.deepEqual([gate.taken, gate.returned], [1, 0]);
    upstream.answer = (_request, response) => response.writeHead(503, { "Not-Run": "1" }).end();
    t.is((await entry.send("/stock/1", "r-2", "GET", { Key: "key-a1" })).status, 503);
    t.deepEqual([gate.taken, gate.returned], [2, 1]);
    gate.remaining = 0;
    t.is((await entry.send("/stock/1", "r-3", "GET", { Key: "key-a1" })).status, 429);
    t.is((await entry.send("/stock/1", "r-4", "GET", { Key: "key-b" })).status, 401, "the key is checked first");
    t.deepEqual([gate.taken, gate.returned], [2, 1]);
    t.deepEqual(upstream.receivedIds, ["r-1", "r-2"]);
    const refusal = entry.lines.find(line => line.fields.reason === "over-quota");
    t.is(refusal?.fields.organisation, "acme");
});

test("guards against requests that run outside the home regions of their route or organisation", async t => {
    const setup = await start(t, [acme, eastern]);
    t.is((await setup.entry.send("/far/1", "r-1", "GET", { Key: "key-a1" })).status, 503);
    t.is((await setup.entry.send("/stock/1", "r-2", "GET", { Key: "key-e" })).status, 503);
    t.is((await setup.entry.send("/far/1", "r-3", "GET", { Key: "key-b" })).status, 401);
    t.deepEqual(setup.received, []);
});

test("guards against runs of a retried request that the quota does not count", async t => {
    const setup = await start(t, [acme], 2);
    const { gate, received, entry, upstream } = setup;
    upstream.answer = (request, response) => {
        received.push(request.headers);
        response.writeHead(500).end();
    };
    let count = 0;
    while (!upstream.receivedIds.includes(`r-${count}`) && count < 100) {
        count++;
        t.is((await entry.send("/stock/1", `r-${count}`, "GET", { Key: "key-a1" })).status, 200);
    }
    t.is(received.length, count + 1, "one request ran at two upstreams");
    t.deepEqual([gate.taken, gate.returned], [count + 1, 0]);
});

test("guards against a retry above the quota after an attempt that may have run", async t => {
    const setup = await start(t, [acme], 2);
    const { gate, received, entry, upstream } = setup;
    upstream.answer = (request, response) => {
        received.push(request.headers);
        response.writeHead(500).end();
    };
    for (let count = 0; upstream.receivedIds.length === 0 && count < 100; count++) {
        gate.remaining = 1;
        await entry.send("/stock/1", `r-${count}`, "GET", { Key: "key-a1" });
    }
    t.is(received.length, gate.taken, "each run was taken from the quota");
    t.is(gate.returned, 0);
});

test("guards against placing requests by the priority of their route instead of their organisation's", async t => {
    const setup = await start(t, [{ ...acme, priority: 7 }, { name: "plain", keys: ["key-p"] }]);
    const priorities: number[] = [];
    const { placer } = setup.entry.dependencies;
    const place = placer.place.bind(placer);
    placer.place = request => {
        priorities.push(request.priority);
        return place(request);
    };
    for (const key of ["key-a1", "key-p"]) {
        t.is((await setup.entry.send("/stock/1", `r-${key}`, "GET", { Key: key })).status, 200);
    }
    t.is((await setup.entry.send("/open/1", "r-open", "GET", { Key: "key-a1" })).status, 200);
    t.deepEqual(priorities, [7, 1, 1]);
});
