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
const part = "x".repeat(1000);

const uploadRoute: Partial<Route> = {
    isIdempotent: false,
    kind: RequestKind.upload,
    targetLatencyMs: 100_000,
    timeoutMs: 100_000,
};

interface Stage {
    readonly entry: TestEntry;
    readonly upstream: TestUpstream;
    readonly caller: RawCaller;
}

async function setStage(t: ExecutionContext, route: Partial<Route> = {}, hasUpstream = true): Promise<Stage> {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    const table = makeTable(1, [makeRoute({ ...uploadRoute, ...route })]);
    await entry.start({ ...table, limits: { ...table.limits, maxBodyBytes } });
    if (hasUpstream) {
        await entry.add(upstream);
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
async function waitForStandstill(count: () => number): Promise<void> {
    for (let last = -1, polls = 0; polls < 40; polls++) {
        polls = count() === last ? polls : 0;
        last = count();
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}

/** Answers as soon as the body is complete, with its size. */
function answerSize(request: IncomingMessage, response: ServerResponse): void {
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => sizeBytes += chunk.length);
    request.on("end", () => response.end(`got ${sizeBytes}`));
}

test("guards against an upload that reaches the upstream only when it is complete", async t => {
    const { upstream, caller } = await setStage(t);
    let seenBytes = 0;
    upstream.answer = (request, response) => {
        request.on("data", (chunk: Buffer) => seenBytes += chunk.length);
        answerSize(request, response);
    };
    caller.writeHead("/stock/1", "r-1", "Content-Length: 3000");
    caller.socket.write(part);
    await waitFor(() => seenBytes === 1000);
    caller.socket.write(part);
    await waitFor(() => seenBytes === 2000);
    caller.socket.write(part);
    await waitFor(() => caller.text.includes("got 3000"));
    t.deepEqual(upstream.ran, ["r-1"]);
    t.false(caller.text.toLowerCase().includes("connection: close"));
});

test("guards against chunked uploads that arrive altered", async t => {
    const { upstream, caller } = await setStage(t);
    upstream.answer = answerSize;
    caller.writeHead("/stock/1", "r-1", "Transfer-Encoding: chunked");
    caller.socket.write(`3e8\r\n${part}\r\n`);
    caller.socket.write(`3e8\r\n${part}\r\n0\r\n\r\n`);
    await waitFor(() => caller.text.includes("got 2000"));
    t.pass();
});

test("guards against a refusal that a caller which still sends its upload does not see", async t => {
    const { caller } = await setStage(t, {}, false);
    const half = Buffer.alloc(maxBodyBytes / 2);
    caller.writeHead("/stock/1", "r-1", `Content-Length: ${maxBodyBytes}`);
    caller.socket.write(half);
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 503"));
    t.regex(caller.text, /connection: close/i);
    // A connection that was closed with bytes unread is reset, and the caller can lose the answer.
    for (let sentBytes = 0; sentBytes < half.length; sentBytes += part.length) {
        caller.socket.write(half.subarray(sentBytes, sentBytes + part.length));
        await new Promise(resolve => setImmediate(resolve));
    }
    caller.socket.end();
    await waitFor(() => caller.isClosed);
    t.is(caller.errorCode, undefined, "the connection is closed without a reset");
});

test("guards against a body that is invited although the request is refused", async t => {
    const { caller } = await setStage(t, {}, false);
    caller.writeHead("/stock/1", "r-1", "Content-Length: 1000", "Expect: 100-continue");
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 503"));
});

test("guards against a body that is never invited", async t => {
    const { upstream, caller } = await setStage(t);
    upstream.answer = answerSize;
    caller.writeHead("/stock/1", "r-1", "Content-Length: 1000", "Expect: 100-continue");
    await waitFor(() => caller.text.startsWith("HTTP/1.1 100 Continue\r\n\r\n"));
    caller.socket.write(part);
    await waitFor(() => caller.text.includes("got 1000"));
    t.is(upstream.ran.length, 1);
});

test("guards against uploads above the operators' limit: stated length", async t => {
    const { upstream, caller } = await setStage(t);
    caller.writeHead("/stock/1", "r-1", `Content-Length: ${maxBodyBytes + 1}`);
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 413"));
    t.deepEqual(upstream.ran, []);
});

test("guards against uploads above the operators' limit: chunked", async t => {
    const { upstream, caller } = await setStage(t);
    let isCut = false;
    upstream.answer = request => request.on("close", () => isCut = !request.complete).resume();
    caller.writeHead("/stock/1", "r-1", "Transfer-Encoding: chunked");
    for (let sent = 0; sent <= maxBodyBytes; sent += part.length) {
        caller.socket.write(`3e8\r\n${part}\r\n`);
    }
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 413"));
    await waitFor(() => isCut);
    t.deepEqual(upstream.ran, ["r-1"]);
});

test("guards against an early answer that is lost or followed by bytes of the upload", async t => {
    const { entry, upstream, caller } = await setStage(t);
    upstream.answer = (_request, response) => response.end("early");
    caller.writeHead("/stock/1", "r-1", "Content-Length: 200000");
    caller.socket.write(part);
    await waitFor(() => caller.text.includes("early"));
    caller.socket.write(part.repeat(199));
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 200"));
    upstream.answer = answerSize;
    t.deepEqual(await entry.send("/stock/2", "r-2", "POST"), { status: 200, text: "got 0" });
    t.deepEqual(upstream.ran, ["r-1", "r-2"]);
});

test("guards against an upload that is sent again after its upstream is lost in the middle", async t => {
    const { entry, upstream, caller } = await setStage(t, { maxAttempts: 3 });
    const other = new TestUpstream("i-2");
    await entry.add(other);
    t.teardown(() => other.close());
    const lose = (request: IncomingMessage) => request.once("data", () => request.socket.resetAndDestroy());
    upstream.answer = lose;
    other.answer = lose;
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(part);
    await waitFor(() => caller.text.includes("\r\n\r\n"));
    t.true(caller.text.startsWith("HTTP/1.1 502"));
    t.is(upstream.ran.length + other.ran.length, 1);
});

test("guards against a refusal of the upstream that is not told as one", async t => {
    const { upstream, caller } = await setStage(t);
    upstream.answer = (_request, response) => {
        response.writeHead(503, { "Not-Run": "full" });
        response.end();
    };
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(part);
    await waitFor(() => caller.hasEnded);
    t.true(caller.text.startsWith("HTTP/1.1 503"));
    t.regex(caller.text, /retry-after: /i);
});

test("guards against an upstream that waits for the rest of an upload whose caller has left", async t => {
    const { entry, upstream, caller } = await setStage(t);
    let isCut = false;
    upstream.answer = request => request.on("close", () => isCut = !request.complete).resume();
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(part);
    await waitFor(() => upstream.ran.length === 1);
    caller.socket.destroy();
    await waitFor(() => isCut);
    t.false(entry.lines.some(line => line.text === "ejected an upstream"));
});

test("guards against an upload that stalls past its route's timeout", async t => {
    const { upstream, caller } = await setStage(t, { timeoutMs: 300 });
    let isCut = false;
    upstream.answer = request => request.on("close", () => isCut = !request.complete).resume();
    caller.writeHead("/stock/1", "r-1", "Content-Length: 2000");
    caller.socket.write(part);
    await waitFor(() => caller.text.includes("\r\n\r\n"));
    // On a busy machine the time can pass before the upload has an upstream.
    const hasRun = upstream.ran.length > 0;
    t.true(caller.text.startsWith(`HTTP/1.1 ${hasRun ? "504" : "503"}`));
    await waitFor(() => isCut || !hasRun);
});

test("guards against an entry whose memory grows with the size of slow uploads", async t => {
    const uploadCount = 200;
    const body = Buffer.alloc(maxBodyBytes / 2);
    // Node reads up to 64 KB at a time and holds 16 KB a stream; one chunk more is with the upstream that does not read.
    const boundBytes = 2 * 64 * 1024 + 16 * 1024;
    const taken: IncomingMessage[] = [];
    const server = new CallerServer(defaultEntryLimits, incoming => {
        const { content } = new UploadBody(incoming, maxBodyBytes, () => undefined);
        void (content as unknown as AsyncIterable<Buffer>)[Symbol.asyncIterator]().next();
        taken.push(incoming);
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
    await waitFor(() => taken.length === uploadCount);
    const countBytes = () => taken.reduce((sum, { socket }) => sum + socket.bytesRead, 0);
    await waitForStandstill(countBytes);
    t.true(countBytes() <= uploadCount * boundBytes, `${countBytes()} bytes were read`);
});
