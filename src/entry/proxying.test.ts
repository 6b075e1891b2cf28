import test from "ava";
import http from "node:http";
import type { Socket } from "node:net";
import { exchangeRaw, startTestSystem, waitUntil } from "../../test/entryHarness.js";

interface ResponseCase {
    readonly name: string;
    readonly handler: http.RequestListener;
    /** Pattern that the bytes received by the caller of a POST must match. */
    readonly expected: RegExp;
    readonly isReset: boolean;
}

const fullBody = "x".repeat(1000);

function respondRaw(text: string): http.RequestListener {
    return request => request.socket.end(text);
}

const responseCases: readonly ResponseCase[] = [
    {
        name: "a complete response with a length",
        handler: (_request, response) => response.end(fullBody),
        expected: /^HTTP\/1.1 200 OK[^]*x{1000}$/,
        isReset: false,
    },
    {
        name: "a complete chunked response with trailers",
        handler: (_request, response) => {
            response.writeHead(200, { Trailer: "Checksum" });
            response.write(fullBody);
            response.addTrailers({ Checksum: "abc" });
            response.end();
        },
        expected: /^HTTP\/1.1 200 OK[^]*x{1000}\r\n0\r\nchecksum: abc\r\n\r\n$/i,
        isReset: false,
    },
    {
        name: "a response without content",
        handler: (_request, response) => response.writeHead(204).end(),
        expected: /^HTTP\/1.1 204 No Content\r\n[^]*\r\n\r\n$/,
        isReset: false,
    },
    {
        name: "fewer bytes than Content-Length",
        handler: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc"),
        expected: /^(HTTP\/1.1 200 OK[^]*abc)?$/,
        isReset: true,
    },
    {
        name: "a chunked response without its last chunk",
        handler: respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
        expected: /^(HTTP\/1.1 200 OK[^]*abc\r\n)?$/,
        isReset: true,
    },
    {
        name: "Content-Length together with Transfer-Encoding",
        handler: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        expected: /^HTTP\/1.1 502 Bad Gateway[^]*figwharf-verdict: may-have-run/i,
        isReset: false,
    },
    {
        name: "bytes that are not HTTP",
        handler: respondRaw("nonsense\r\n\r\n"),
        expected: /^HTTP\/1.1 502 Bad Gateway[^]*figwharf-verdict: may-have-run/i,
        isReset: false,
    },
    {
        name: "a connection that closes before the head",
        handler: request => request.socket.destroy(),
        expected: /^HTTP\/1.1 502 Bad Gateway[^]*figwharf-verdict: may-have-run/i,
        isReset: false,
    },
    {
        name: "a refusal by the upstream before the request ran",
        handler: (_request, response) => response.writeHead(503, { "Figwharf-Verdict": "not-run" }).end(),
        expected: /^HTTP\/1.1 503 Service Unavailable[^]*figwharf-verdict: not-run/i,
        isReset: false,
    },
    {
        name: "a 503 without a verdict",
        handler: (_request, response) => response.writeHead(503, { Upstream: "yes" }).end(),
        expected: /^HTTP\/1.1 503 Service Unavailable[^]*upstream: yes/i,
        isReset: false,
    },
];

const post = "POST /services/orders/x HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";

for (const { name, handler, expected, isReset } of responseCases) {
    test(`guards against a truncated response that looks complete: ${name}`, async t => {
        const system = await startTestSystem(handler);
        const exchange = await exchangeRaw(system.entry.address, post);
        await system.close();
        t.regex(exchange.text, expected);
        t.is(exchange.isReset, isReset);
    });
}

const truncatedHeads: readonly (readonly [name: string, head: string])[] = [
    ["with a length", "Content-Length: 100\r\n"],
    ["without a length", ""],
    ["without a length, on a connection that closes", "Connection: close\r\n"],
];

for (const [name, fields] of truncatedHeads) {
    test(`guards against a truncated response that looks complete: a reset within the content ${name}`, async t => {
        let upstreamSocket: Socket | undefined;
        const system = await startTestSystem(request => {
            upstreamSocket = request.socket;
            upstreamSocket.write(`HTTP/1.1 200 OK\r\n${fields}\r\nabc`);
        });
        // A reset discards unread bytes, so it is sent once the caller has received the first bytes.
        const exchange = await exchangeRaw(system.entry.address, post, () => upstreamSocket?.resetAndDestroy());
        await system.close();
        t.regex(exchange.text, /^HTTP\/1.1 200 OK/);
        t.true(exchange.isReset);
    });
}

interface BodyCase {
    readonly name: string;
    readonly sizeBytes: number;
    readonly isChunked: boolean;
}

const bodyCases: readonly BodyCase[] = [
    { name: "empty", sizeBytes: 0, isChunked: false },
    { name: "empty and chunked", sizeBytes: 0, isChunked: true },
    { name: "small", sizeBytes: 10, isChunked: false },
    { name: "small and chunked", sizeBytes: 10, isChunked: true },
    { name: "larger than the buffer", sizeBytes: 600_000, isChunked: false },
    { name: "larger than the buffer and chunked", sizeBytes: 600_000, isChunked: true },
    { name: "larger than the socket buffers", sizeBytes: 8_000_000, isChunked: true },
];

for (const { name, sizeBytes, isChunked } of bodyCases) {
    test(`guards against lost or changed bodies in both directions: ${name}`, async t => {
        const system = await startTestSystem((request, response) => request.pipe(response), {
            service: { limits: { ...largeLimits } },
        });
        const content = Buffer.alloc(sizeBytes, "0123456789abcdef");
        const headers: Record<string, string> = isChunked
            ? { "Transfer-Encoding": "chunked" }
            : { "Content-Length": String(sizeBytes) };
        const received = await send(system.entry.address, "POST", headers, content);
        await system.close();
        t.is(received.status, 200);
        t.true(received.body.equals(content));
    });
}

const largeLimits = {
    maxInFlight: 100,
    requestsPerSecond: 1000,
    maxQueuedPerEntry: 100,
    maxPerCallerPerEntry: 100,
    maxBodyBytes: 32_000_000,
    defaultDeadlineMs: 5000,
};

test("guards against work for disconnected callers: the upstream's request is cancelled", async t => {
    let isCancelled = false;
    let hasArrived = false;
    const system = await startTestSystem((_request, response) => {
        hasArrived = true;
        response.on("close", () => isCancelled = !response.writableFinished);
    });
    const request = http.request(`http://${system.entry.address}/services/orders/x`, { method: "POST" });
    request.on("error", () => undefined);
    request.end();
    await waitUntil(() => hasArrived);
    request.destroy();
    await waitUntil(() => isCancelled);
    await waitUntil(() => system.entry.inFlight() === 0);
    await system.close();
    t.true(isCancelled);
});

test("guards against lost deadlines: the remaining time is sent to the upstream, and expiry is answered", async t => {
    let forwardedDeadlineMs = Number.NaN;
    const system = await startTestSystem(request => {
        forwardedDeadlineMs = Number(request.headers["figwharf-deadline-ms"]);
    });
    const headers = { "Figwharf-Deadline-Ms": "1000" };
    const { status, verdict } = await send(system.entry.address, "POST", headers, Buffer.from("hi"));
    await system.close();
    t.true(forwardedDeadlineMs > 0 && forwardedDeadlineMs <= 1000);
    t.is(status, 504);
    t.is(verdict, "may-have-run");
});

interface RefusalCase {
    readonly name: string;
    readonly headers: Record<string, string>;
    readonly bodyBytes: number;
    readonly path?: string;
    readonly status: number;
}

const refusalCases: readonly RefusalCase[] = [
    { name: "a body above the limit", headers: {}, bodyBytes: 2_000_000, status: 413 },
    { name: "a deadline that is not a number", headers: { "Figwharf-Deadline-Ms": "soon" }, bodyBytes: 1, status: 400 },
    { name: "a deadline that has passed", headers: { "Figwharf-Deadline-Ms": "0" }, bodyBytes: 1, status: 503 },
    { name: "an unknown service", headers: {}, bodyBytes: 1, path: "/services/none/x", status: 404 },
    { name: "a path without a service", headers: {}, bodyBytes: 1, path: "/other", status: 404 },
];

for (const { name, headers, bodyBytes, path, status } of refusalCases) {
    test(`guards against forwarding a refused request: ${name}`, async t => {
        let served = 0;
        const system = await startTestSystem((_request, response) => {
            served++;
            response.end();
        });
        const body = Buffer.alloc(bodyBytes);
        const received = await send(system.entry.address, "POST", headers, body, path);
        await system.close();
        t.is(received.status, status);
        t.is(received.verdict, "not-run");
        t.is(served, 0);
    });
}

interface Received {
    readonly status: number;
    readonly verdict: string | undefined;
    readonly body: Buffer;
}

function send(
    address: string,
    method: string,
    headers: Record<string, string>,
    body: Buffer,
    path = "/services/orders/x",
): Promise<Received> {
    return new Promise((resolve, reject) => {
        const request = http.request(`http://${address}${path}`, { method, headers, agent: false }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", reject);
            response.on("end", () => {
                const verdict = response.headers["figwharf-verdict"];
                const status = response.statusCode ?? 0;
                resolve({ status, verdict: verdict?.toString(), body: Buffer.concat(chunks) });
            });
        });
        request.on("error", reject);
        request.end(body);
    });
}
