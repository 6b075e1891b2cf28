import test from "ava";
import net from "node:net";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { listenOnLoopback, TestEntry, waitFor } from "./testing.js";

const route = makeRoute({ isIdempotent: false, targetLatencyMs: 100_000, timeoutMs: 3000, maxAttempts: 1 });

interface OddHead {
    readonly what: string;
    readonly head: string;
    readonly body?: string;
    readonly method?: string;
    readonly callerVersion?: string;
    /** Start of what the caller receives; undefined if the connection may also be closed without a response. */
    readonly expected: RegExp | undefined;
    readonly isTrailerForwarded?: boolean;
}

const oddHeads: readonly OddHead[] = [
    {
        what: "Trailer beside a length",
        head: "200 OK\r\nTrailer: X-Sum\r\nContent-Length: 4",
        body: "done",
        expected: /^HTTP\/1\.1 200/,
    },
    {
        what: "Trailer in a response to HEAD",
        head: "200 OK\r\nTrailer: X-Sum",
        method: "HEAD",
        expected: /^HTTP\/1\.1 200/,
    },
    { what: "Trailer in a 204", head: "204 No Content\r\nTrailer: X-Sum", expected: /^HTTP\/1\.1 204/ },
    { what: "Trailer in a 304", head: "304 Not Modified\r\nTrailer: X-Sum", expected: /^HTTP\/1\.1 304/ },
    {
        what: "Trailer for a caller that does not support chunks",
        head: "200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked",
        body: "4\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n",
        callerVersion: "1.0",
        expected: /^HTTP\/1\.1 200/,
    },
    {
        what: "Trailer with chunks",
        head: "200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked",
        body: "4\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n",
        expected: /^HTTP\/1\.1 200[^]*\r\nX-Sum: 1\r\n/,
        isTrailerForwarded: true,
    },
    { what: "a status below 100", head: "099 Odd\r\nContent-Length: 0", expected: /^HTTP\/1\.1 502/ },
    { what: "a status above 599", head: "999 Odd\r\nContent-Length: 0", expected: /^HTTP\/1\.1 (999|502)/ },
    {
        what: "a control character in the reason",
        head: "200 \x01\x02\r\nContent-Length: 0",
        expected: /^HTTP\/1\.1 (200|502)/,
    },
    {
        what: "a value beyond ASCII",
        head: "200 OK\r\nX-Odd: \xe9\xff\r\nContent-Length: 0",
        expected: /^HTTP\/1\.1 200/,
    },
    {
        what: "a control character in a value",
        head: "200 OK\r\nX-Odd: \x01\r\nContent-Length: 0",
        expected: /^HTTP\/1\.1 502/,
    },
    { what: "a field without a name", head: "200 OK\r\n: odd\r\nContent-Length: 0", expected: /^HTTP\/1\.1 502/ },
    {
        what: "a field named like a member of every object",
        head: "200 OK\r\n__proto__: odd\r\nContent-Length: 0",
        expected: /^HTTP\/1\.1 200/,
    },
    {
        what: "an upgrade that nobody asked for",
        head: "101 Switching\r\nConnection: upgrade\r\nUpgrade: odd",
        expected: undefined,
    },
];

/** An upstream that answers probes, and requests with a given head; the body follows after a delay. */
class OddUpstream {
    private readonly server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            const requestId = /^request-id: (.*)\r$/im.exec(chunk.toString("latin1"))?.[1];
            if (requestId === undefined) {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nUpstream-Id: i-1\r\nLoad: 0,3,1\r\n\r\n");
                return;
            }
            const { head, body = "" } = this.oddHead;
            socket.write(`HTTP/1.1 ${head}\r\nRequest-Id: ${requestId}\r\n\r\n`, "latin1");
            setTimeout(() => socket.write(body), this.bodyDelayMs);
        });
    });

    constructor(private readonly oddHead: OddHead, private readonly bodyDelayMs: number) {}

    start(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    stop(): void {
        this.server.close();
    }
}

for (const oddHead of oddHeads) {
    for (const bodyDelayMs of [0, 250]) {
        const arrival = bodyDelayMs === 0 ? "complete at once" : "forwarded before its body has arrived";
        test(`guards against a response head that ends the entry: ${oddHead.what}, ${arrival}`, async t => {
            const entry = new TestEntry();
            const upstream = new OddUpstream(oddHead, bodyDelayMs);
            await entry.start(makeTable(1, [route]));
            entry.upstreamTable.set(makeRegistration({ address: await upstream.start() }), entry.clock.monotonicMs());
            t.teardown(() => {
                entry.close();
                upstream.stop();
            });
            const { method = "POST", callerVersion = "1.1", expected, isTrailerForwarded = false } = oddHead;
            // On a busy machine the load probe can time out, and the request is refused.
            let text = "";
            do {
                const caller = await entry.connect();
                caller.socket.write(
                    `${method} /stock/1 HTTP/${callerVersion}\r\nHost: shop.example\r\nRequest-Id: r-1\r\n` +
                        "Content-Length: 0\r\nConnection: close\r\n\r\n",
                );
                await waitFor(() => caller.hasEnded || caller.isClosed);
                ({ text } = caller);
            }
            while (text.startsWith("HTTP/1.1 503"));
            if (expected !== undefined) {
                t.regex(text, expected);
            }
            t.is(/^Trailer:/im.test(text), isTrailerForwarded);
            const unknown = await entry.send("/nowhere/", "r-2");
            t.is(unknown.status, 404, "the entry serves other requests");
        });
    }
}
