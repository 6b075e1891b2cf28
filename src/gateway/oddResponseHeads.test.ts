import test from "ava";
import net from "node:net";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { checkInstance } from "../relay/reachabilityCheck.js";
import { listenOnLoopback, TestEntry, TestUpstream, waitFor } from "./testing.js";

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
    /** Whether the attempt ends at the head, and not at the timeout. */
    readonly isMalformed?: boolean;
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
    ...["000", "001", "099", "600", "700", "999"].flatMap((status): OddHead[] => [
        {
            what: `the status ${status}`,
            head: `${status} Odd\r\nContent-Length: 4`,
            body: "odd!",
            expected: /^HTTP\/1\.1 502/,
            isMalformed: true,
        },
        {
            what: `the status ${status} without a length`,
            head: `${status} Odd`,
            body: "odd!",
            expected: /^HTTP\/1\.1 502/,
            isMalformed: true,
        },
        {
            what: `the status ${status} after an interim response`,
            head: `103 Early Hints\r\n\r\nHTTP/1.1 ${status} Odd\r\nContent-Length: 0`,
            expected: /^HTTP\/1\.1 502/,
            isMalformed: true,
        },
        {
            what: `the status ${status} in a response to HEAD`,
            head: `${status} Odd\r\nContent-Length: 4`,
            method: "HEAD",
            expected: /^HTTP\/1\.1 502/,
            isMalformed: true,
        },
    ]),
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
            const { isMalformed = false } = oddHead;
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
            const hasFailed = entry.lines.some(line =>
                line.text === "attempt ended" && line.fields.failure === "malformed"
            );
            t.is(hasFailed || !isMalformed, true, "no caller is held for it");
            const unknown = await entry.send("/nowhere/", "r-2");
            t.is(unknown.status, 404, "the entry serves other requests");
        });
    }
}

test("guards against an odd status that is an answer where another instance has a sound one", async t => {
    for (const status of ["000", "099", "600", "999"]) {
        const entry = new TestEntry();
        const odd = new OddUpstream(
            { what: status, head: `${status} Odd\r\nContent-Length: 0`, expected: undefined },
            0,
        );
        const sound = new TestUpstream("i-2");
        await entry.start(makeTable(1, [{ ...route, isIdempotent: true, maxAttempts: 2 }]));
        entry.upstreamTable.set(makeRegistration({ address: await odd.start() }), entry.clock.monotonicMs());
        await entry.addUpstream(sound);
        for (let count = 0; count < 5; count++) {
            t.is((await entry.send("/stock/1", `r-${count}`)).status, 200, status);
        }
        entry.close();
        odd.stop();
        sound.close();
    }
});

test("guards against an odd status that is believed as an answer to a probe or a check", async t => {
    for (const status of ["000", "099", "600", "999"]) {
        const probes: string[] = [];
        const server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", (chunk: Buffer) => {
                probes.push(chunk.toString("latin1"));
                socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\nLeaving: 1\r\nLoad: 0,3,1\r\n\r\n`);
            });
        });
        const address = await listenOnLoopback(server);
        t.is(await checkInstance(address, "/healthz"), undefined, status);
        const entry = new TestEntry();
        await entry.start(makeTable(1, [route]));
        entry.upstreamTable.set(makeRegistration({ address }), entry.clock.monotonicMs());
        t.is((await entry.send("/stock/1", "r-1")).status, 503, status);
        t.true(probes.length > 1, "it was probed");
        t.is(entry.leavingReportCount, 0, status);
        entry.close();
        server.close();
    }
});
