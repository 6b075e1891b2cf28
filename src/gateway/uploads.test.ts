import test, { type ExecutionContext } from "ava";
import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestKind, type Route } from "../directory/model.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { defaultEntryLimits } from "../entry/options.js";
import { CallerServer } from "./callerServer.js";
import { RawCaller, TestEntry, TestUpstream, waitFor } from "./testing.js";
import { UploadBody } from "./uploadBody.js";

const maxBodyBytes = 1024 * 1024;
const pollMs = 5;
const bodyPart = "x".repeat(1000);

const uploadRoute: Partial<Route> = {
    isIdempotent: false,
    kind: RequestKind.upload,
    targetLatencyMs: 100_000,
    timeoutMs: 100_000,
};

interface Fixture {
    readonly entry: TestEntry;
    readonly upstream: TestUpstream;
    readonly caller: RawCaller;
}

async function makeFixture(t: ExecutionContext, route: Partial<Route> = {}, hasUpstream = true): Promise<Fixture> {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    const table = makeTable(1, [makeRoute({ ...uploadRoute, ...route })]);
    await entry.start({ ...table, limits: { ...table.limits, maxBodyBytes } });
    if (hasUpstream) {
        await entry.addUpstream(upstream);
    }
    const caller = await entry.connect();
    t.teardown(() => {
        caller.socket.destroy();
        entry.close();
        upstream.close();
    });
    return { entry, upstream, caller };
}

/** Waits until a count has stayed the same over many polls. */
async function waitForStableCount(count: () => number): Promise<void> {
    for (let previousCount = -1, polls = 0; polls < 40; polls++) {
        polls = count() === previousCount ? polls : 0;
        previousCount = count();
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}

/** Responds with the size of the body once it is complete. */
function respondWithSize(request: IncomingMessage, response: ServerResponse): void {
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => sizeBytes += chunk.length);
    request.on("end", () => response.end(`got ${sizeBytes}`));
}

test("guards against an upload that reaches the upstream only when it is complete", async t => {
    const { upstream, caller } = await makeFixture(t);
    let receivedBytes = 0;
    upstream.answer = (request, response) => {
        request.on("data", (chunk: Buffer) => receivedBytes += chunk.length);
        respondWithSize(request, response);
    };
    caller.writeHead("/stock/1", "r-1", "Content-Length: 3000");
    caller.socket.write(bodyPart);
    await waitFor(() => receivedBytes === 1000);
    caller.socket.write(bodyPart);
    await waitFor(() => receivedBytes === 2000);
    caller.socket.write(bodyPart);
    await waitFor(() => caller.text.includes("got 3000"));
    t.deepEqual(upstream.receivedIds, ["r-1"]);
    t.false(caller.text.toLowerCase().includes("connection: close"));
});

test("guards against chunked uploads that arrive altered", async t => {
    const { upstream, caller } = await makeFixture(t);
    upstream.answer = respondWithSize;
    caller.writeHead("/stock/1", "r-1", "Transfer-Encoding: chunked");
    caller.socket.write(`3e8\r\n${bodyPart}\r\n`);
    caller.socket.write(`3e8\r\n${bodyPart}\r\n0\r\n\r\n`);
    await waitFor(() => caller.text.includes("got 2000"));
    t.pass();
});

test("guards against a refusal that is lost while the caller still sends its upload", async t => {
    const { caller } = await makeFixture(t, {}, false);
    const halfBody = Buffer.alloc(maxBodyBytes / 2);
    caller.writeHead("/stock/1", "r-1", `Content-Length: ${maxBodyBytes}`);
    caller.socket.write(halfBody);
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 503"));
    t.regex(caller.text, /connection: close/i);
    // Closing a connection with unread bytes resets it, and the caller can lose the response.
    for (let sentBytes = 0; sentBytes < halfBody.length; sentBytes += bodyPart.length) {
        caller.socket.write(halfBody.subarray(sentBytes, sentBytes + bodyPart.length));
        await new Promise(resolve => setImmediate(resolve));
    }
    caller.socket.end();
    await waitFor(() => caller.isClosed);
    t.is(caller.errorCode, undefined, "the connection is closed without a reset");
});

test("guards against 100 Continue for a request that is refused", async t => {
    const { caller } = await makeFixture(t, {}, false);
    caller.writeHead("/stock/1", "r-1", "Content-Length: 1000", "Expect: 100-continue");
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 503"));
});

test("guards against an accepted request that never gets 100 Continue", async t => {
    const { upstream, caller } = await makeFixture(t);
    upstream.answer = respondWithSize;
    caller.writeHead("/stock/1", "r-1", "Content-Length: 1000", "Expect: 100-continue");
    await waitFor(() => caller.text.startsWith("HTTP/1.1 100 Continue\r\n\r\n"));
    caller.socket.write(bodyPart);
    await waitFor(() => caller.text.includes("got 1000"));
    t.is(upstream.receivedIds.length, 1);
});

test("guards against uploads above the operators' limit: stated length", async t => {
    const { upstream, caller } = await makeFixture(t);
    caller.writeHead("/stock/1", "r-1", `Content-Length: ${maxBodyBytes + 1}`);
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 413"));
    t.deepEqual(upstream.receivedIds, []);
});

test("guards against uploads above the operators' limit: chunked", async t => {
    const { upstream, caller } = await makeFixture(t);
    let isAborted = false;
    upstream.answer = request => request.on("close", () => isAborted = !request.complete).resume();
    caller.writeHead("/stock/1", "r-1", "Transfer-Encoding: chunked");
    for (let sent = 0; sent <= maxBodyBytes; sent += bodyPart.length) {
        caller.socket.write(`3e8\r\n${bodyPart}\r\n`);
    }
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 413"));
    await waitFor(() => isAborted);
    t.deepEqual(upstream.receivedIds, ["r-1"]);
});

test("guards against an early response that is lost or followed by bytes of the upload", async t => {
    const { entry, upstream, caller } = await makeFixture(t);
    upstream.answer = (_request, response) => response.end("early");
    caller.writeHead("/stock/1", "r-1", "Content-Length: 200000");
    caller.socket.write(bodyPart);
    await waitFor(() => caller.text.includes("early"));
    caller.socket.write(bodyPart.repeat(199));
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 200"));
    upstream.answer = respondWithSize;
    t.deepEqual(await entry.send("/stock/2", "r-2", "POST"), { status: 200, text: "got 0" });
    t.deepEqual(upstream.receivedIds, ["r-1", "r-2"]);
});

test("guards against an upload that is retried after its upstream failed during the body", async t => {
    const { entry, upstream, caller } = await makeFixture(t, { maxAttempts: 3 });
    const other = new TestUpstream("i-2");
    await entry.addUpstream(other);
    t.teardown(() => other.close());
    const resetOnData = (request: IncomingMessage) => request.once("data", () => request.socket.resetAndDestroy());
    upstream.answer = resetOnData;
    other.answer = resetOnData;
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(bodyPart);
    await waitFor(() => caller.text.includes("\r\n\r\n"));
    t.true(caller.text.startsWith("HTTP/1.1 502"));
    t.is(upstream.receivedIds.length + other.receivedIds.length, 1);
});

test("guards against an upstream's refusal that the caller cannot recognize", async t => {
    const { upstream, caller } = await makeFixture(t);
    upstream.answer = (_request, response) => {
        response.writeHead(503, { "Not-Run": "full" });
        response.end();
    };
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(bodyPart);
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 503"));
    t.regex(caller.text, /retry-after: /i);
});

test("guards against an upstream that waits for the rest of an upload whose caller has disconnected", async t => {
    const { entry, upstream, caller } = await makeFixture(t);
    let isAborted = false;
    upstream.answer = request => request.on("close", () => isAborted = !request.complete).resume();
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(bodyPart);
    await waitFor(() => upstream.receivedIds.length === 1);
    caller.socket.destroy();
    await waitFor(() => isAborted);
    t.false(entry.lines.some(line => line.text === "ejected an upstream"));
});

test("guards against an upload that stalls past its route's timeout", async t => {
    const { upstream, caller } = await makeFixture(t, { timeoutMs: 300 });
    let isAborted = false;
    upstream.answer = request => request.on("close", () => isAborted = !request.complete).resume();
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(bodyPart);
    await waitFor(() => caller.text.includes("\r\n\r\n"));
    // On a busy machine the timeout can pass before the upload is placed.
    const hasRun = upstream.receivedIds.length > 0;
    t.true(caller.text.startsWith(`HTTP/1.1 ${hasRun ? "504" : "503"}`));
    await waitFor(() => isAborted || !hasRun);
});

test("guards against an entry whose memory grows with the size of slow uploads", async t => {
    const uploadCount = 200;
    const body = Buffer.alloc(maxBodyBytes / 2);
    // Node reads up to 64 KB at a time and buffers 16 KB per stream; one more chunk is held for the upstream.
    const boundBytes = 2 * 64 * 1024 + 16 * 1024;
    const accepted: IncomingMessage[] = [];
    const server = new CallerServer(defaultEntryLimits, incoming => {
        const { content } = new UploadBody(incoming, maxBodyBytes, () => undefined);
        void (content as unknown as AsyncIterable<Buffer>)[Symbol.asyncIterator]().next();
        accepted.push(incoming);
    });
    await server.listen({ host: "127.0.0.1", port: 0 });
    const callers = await Promise.all(Array.from({ length: uploadCount }, () => RawCaller.connect(server.port)));
    t.teardown(() => {
        callers.forEach(caller => caller.socket.destroy());
        server.closeAllConnections();
    });
    callers.forEach((caller, index) => {
        caller.writeHead("/stock/1", `r-${index}`, `Content-Length: ${body.length}`);
        caller.socket.write(body);
    });
    await waitFor(() => accepted.length === uploadCount);
    const countBytes = () => accepted.reduce((sum, { socket }) => sum + socket.bytesRead, 0);
    await waitForStableCount(countBytes);
    t.true(countBytes() <= uploadCount * boundBytes, `${countBytes()} bytes were read`);
});
