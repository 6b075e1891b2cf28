import test, { type ExecutionContext } from "ava";
import type { ServerResponse } from "node:http";
import net from "node:net";
import type { Route } from "../directory/model.js";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { listenOnLoopback, type RawCaller, TestEntry, TestUpstream, waitFor } from "./testing.js";

const longTimeoutRoute = makeRoute({ isIdempotent: false, targetLatencyMs: 100_000, timeoutMs: 100_000 });

function formatResponse(status: string, text: string, ...fields: readonly string[]): string {
    return [`HTTP/1.1 ${status}`, `Content-Length: ${text.length}`, ...fields, "", text].join("\r\n");
}

/** An upstream that answers a load probe with a duplicate of its first response on the same connection. */
class RepeatingUpstream {
    readonly receivedIds: string[] = [];
    private readonly server = net.createServer(socket => {
        let firstResponse = "";
        let hasRepeated = false;
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            const head = chunk.toString("latin1");
            const id = /^request-id: (.*)\r$/im.exec(head)?.[1];
            const healthResponse = formatResponse("200 OK", "", "Upstream-Id: i-1", "Load: 0,3,1");
            if (id === undefined) {
                hasRepeated = firstResponse !== "";
                socket.write(hasRepeated ? firstResponse : healthResponse);
                return;
            }
            this.receivedIds.push(id);
            firstResponse ||= formatResponse("200 OK", `answer to ${id}`, `Request-Id: ${id}`);
            // The response to the load probe arrives after the request that followed it.
            const delayedResponse = hasRepeated
                ? formatResponse("503 Service Unavailable", "", "Upstream-Id: i-1")
                : "";
            socket.write(delayedResponse + formatResponse("200 OK", `answer to ${id}`, `Request-Id: ${id}`));
        });
    });

    start(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    close(): void {
        this.server.close();
    }
}

test("guards against a duplicate response that is accepted as the response to a load probe", async t => {
    const entry = new TestEntry();
    const upstream = new RepeatingUpstream();
    await entry.start(makeTable(1, [longTimeoutRoute]));
    entry.upstreamTable.set(makeRegistration({ address: await upstream.start() }), entry.clock.monotonicMs());
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    t.deepEqual(await entry.send("/stock/1", "r-1", "POST"), { status: 200, text: "answer to r-1" });
    t.deepEqual(await entry.send("/stock/2", "r-2", "POST"), { status: 200, text: "answer to r-2" });
    t.deepEqual(upstream.receivedIds, ["r-1", "r-2"]);
});

/** Writes until the connection closes. */
function writeUntilClosed(response: ServerResponse, onClose: () => void): void {
    response.writeHead(200);
    const chunk = Buffer.alloc(1000);
    const timer = setInterval(() => response.write(chunk), 1);
    response.once("close", () => {
        clearInterval(timer);
        onClose();
    });
}

async function makeEndlessFixture(t: ExecutionContext, route: Partial<Route>): Promise<{
    readonly caller: RawCaller;
    readonly isClosed: () => boolean;
}> {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    let isClosed = false;
    upstream.answer = (_request, response) => writeUntilClosed(response, () => isClosed = true);
    await entry.start(makeTable(1, [{ ...longTimeoutRoute, ...route }]));
    await entry.addUpstream(upstream);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    // On a busy machine the load probe can time out, and the request is refused.
    let caller = await entry.connect();
    while (!caller.text.startsWith("HTTP/1.1 200")) {
        caller.socket.destroy();
        caller = await entry.connect();
        caller.writeHead("/stock/1", "r-1", "Content-Length: 0");
        await waitFor(() => caller.text.includes("\r\n\r\n"));
    }
    return { caller, isClosed: () => isClosed };
}

for (const isIdempotent of [true, false]) {
    const kind = isIdempotent ? "idempotent" : "not idempotent";
    test.serial(`guards against an endless response that is read past the route's timeout: ${kind}`, async t => {
        const { caller, isClosed } = await makeEndlessFixture(t, { isIdempotent, timeoutMs: 1500 });
        // The operating system may report the reset of a connection as its end.
        await waitFor(() => (caller.hasEnded || caller.isClosed) && isClosed());
        t.false(caller.text.endsWith("\r\n0\r\n\r\n"), "the truncated response does not look complete");
    });

    test.serial(`guards against an endless response that is still read without a caller: ${kind}`, async t => {
        const { caller, isClosed } = await makeEndlessFixture(t, { isIdempotent, timeoutMs: 1500 });
        caller.socket.destroy();
        await waitFor(isClosed);
        t.pass();
    });
}

const endlessResponses: readonly {
    readonly name: string;
    /** Sent once. */
    readonly start: string;
    /** Sent repeatedly until the connection closes. */
    readonly filler: string;
    /** Statuses that the caller may get; 200 only where the response is complete or was cut off after its head. */
    readonly statuses: readonly number[];
}[] = [
    { name: "a head", start: "HTTP/1.1 200 OK\r\n", filler: "X-Filler: aaaaaaaa\r\n", statuses: [502, 504] },
    { name: "interim responses", start: "", filler: "HTTP/1.1 103 Early Hints\r\n\r\n", statuses: [502, 504] },
    { name: "bytes that are no HTTP response", start: "", filler: "\0\x01zzzz", statuses: [502, 504] },
    {
        name: "a chunk extension",
        start: "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        filler: "aaaaaaaa",
        statuses: [200, 502, 504],
    },
    {
        name: "trailers",
        start: "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        filler: "X-Filler: aaaaaaaa\r\n",
        statuses: [200, 502, 504],
    },
    {
        name: "bytes after a complete body",
        start: "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 5\r\n\r\nhello",
        filler: "zzzzzzzz",
        statuses: [200, 502],
    },
];

/** An upstream that answers load probes correctly and requests with endless bytes. */
class EndlessUpstream {
    openCount = 0;
    receivedCount = 0;
    private readonly server = net.createServer(socket => {
        this.openCount++;
        socket.on("error", () => undefined).on("close", () => this.openCount--);
        socket.on("data", (chunk: Buffer) => {
            if (!chunk.toString("latin1").startsWith("POST")) {
                socket.write(formatResponse("200 OK", "", "Upstream-Id: i-1", "Load: 0,3,1"));
                return;
            }
            this.receivedCount++;
            socket.write(this.start, "latin1");
            const fill = () => {
                while (!socket.destroyed && socket.write(this.filler.repeat(100), "latin1")) {
                    // Until the buffers are full.
                }
            };
            socket.on("drain", fill);
            fill();
        });
    });

    constructor(private readonly start: string, private readonly filler: string) {}

    listen(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    close(): void {
        this.server.close();
    }
}

for (const { name, start, filler, statuses } of endlessResponses) {
    test.serial(`guards against endless bytes from an upstream: ${name}`, async t => {
        const entry = new TestEntry();
        const upstream = new EndlessUpstream(start, filler);
        await entry.start(makeTable(1, [{ ...longTimeoutRoute, timeoutMs: 1500, maxAttempts: 1 }]));
        entry.upstreamTable.set(makeRegistration({ address: await upstream.listen() }), entry.clock.monotonicMs());
        const caller = await entry.connect();
        t.teardown(() => {
            caller.socket.destroy();
            entry.close();
            upstream.close();
        });
        while (upstream.receivedCount === 0) {
            caller.text = "";
            caller.writeHead("/stock/1", "r-1", "Content-Length: 0");
            await waitFor(() => caller.text.includes("\r\n\r\n") || caller.hasEnded || caller.isClosed);
        }
        await waitFor(() => upstream.openCount === 0);
        const status = Number(/^HTTP\/1.1 (\d+)/.exec(caller.text)?.[1] ?? NaN);
        t.true(statuses.includes(status), `status ${status}`);
        const looksComplete = caller.text.endsWith("\r\n0\r\n\r\n") || caller.text.endsWith("\r\n\r\nhello");
        t.false(
            status === 200 && looksComplete && name !== "bytes after a complete body",
            "a partial response does not look complete",
        );
        t.is(upstream.receivedCount, 1);
    });
}
