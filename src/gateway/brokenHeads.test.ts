import test from "ava";
import net from "node:net";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { listenOnLoopback, TestEntry, waitFor } from "./testing.js";

const route = makeRoute({ isIdempotent: false, targetLatencyMs: 100_000, timeoutMs: 3000, maxAttempts: 1 });
const identified = "Request-Id: r-1\r\n";

/** Closes the connection of an upstream in the middle of a response. */
type Close = (socket: net.Socket) => void;

const closings: readonly { readonly how: string; readonly close: Close; }[] = [
    { how: "closes", close: socket => void socket.end() },
    { how: "resets the connection", close: socket => void socket.resetAndDestroy() },
];

/** An upstream that answers probes, and requests with a part of a response before it closes the connection. */
class BreakingUpstream {
    receivedCount = 0;
    private readonly server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            if (!/^request-id: /im.test(chunk.toString("latin1"))) {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nUpstream-Id: i-1\r\nLoad: 0,3,1\r\n\r\n");
                return;
            }
            this.receivedCount++;
            // The entry reads what was written before the connection ends.
            socket.write(this.part, "latin1", () => setTimeout(() => this.close(socket), 20));
        });
    });

    constructor(private readonly part: string, private readonly close: Close) {}

    start(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    stop(): void {
        this.server.close();
    }
}

const parts: readonly { readonly where: string; readonly part: string; readonly method?: string; }[] = [
    { where: "before the status line", part: "" },
    { where: "in the status line", part: "HTTP/1.1 20" },
    { where: "after the status line", part: "HTTP/1.1 200 OK\r\n" },
    { where: "in the name of a field", part: `HTTP/1.1 200 OK\r\n${identified}Conte` },
    { where: "in the value of a field", part: `HTTP/1.1 200 OK\r\n${identified}Content-Length: 1` },
    { where: "before the blank line", part: `HTTP/1.1 200 OK\r\n${identified}Content-Length: 0\r\n` },
    { where: "before the blank line, without a length", part: `HTTP/1.1 200 OK\r\n${identified}Connection: close\r\n` },
    { where: "in the blank line", part: `HTTP/1.1 200 OK\r\n${identified}Content-Length: 0\r\n\r` },
    { where: "in a head to HEAD", part: `HTTP/1.1 200 OK\r\n${identified}Content-Le`, method: "HEAD" },
    { where: "in a head with 204", part: `HTTP/1.1 204 No Content\r\n${identified}X-Fi` },
    { where: "in a head with 304", part: `HTTP/1.1 304 Not Modified\r\n${identified}ETag: "a` },
    { where: "after an interim response", part: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { where: "after an interim response that closes", part: "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n" },
    {
        where: "after an interim response, in the head",
        part: `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n${identified}Co`,
    },
    { where: "after 100 Continue", part: "HTTP/1.1 100 Continue\r\n\r\n" },
    { where: "in a body with a length", part: `HTTP/1.1 200 OK\r\n${identified}Content-Length: 9\r\n\r\nhell` },
    { where: "in a chunk", part: `HTTP/1.1 200 OK\r\n${identified}Transfer-Encoding: chunked\r\n\r\n9\r\nhell` },
    {
        where: "before the last chunk",
        part: `HTTP/1.1 200 OK\r\n${identified}Transfer-Encoding: chunked\r\n\r\n4\r\nhell\r\n`,
    },
];

for (const { how, close } of closings) {
    for (const { where, part, method = "POST" } of parts) {
        test.serial(`guards against a part of a response that looks whole: the upstream ${how} ${where}`, async t => {
            const entry = new TestEntry();
            const upstream = new BreakingUpstream(part, close);
            await entry.start(makeTable(1, [route]));
            entry.upstreamTable.set(makeRegistration({ address: await upstream.start() }), entry.clock.monotonicMs());
            t.teardown(() => {
                entry.close();
                upstream.stop();
            });
            const text = await sendUntilReceived(entry, upstream, method);
            const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
            const isWhole = text.endsWith("\r\n0\r\n\r\n") || /content-length: 0\r\n/i.test(text) || method === "HEAD";
            t.true(status === 502 || status === 504 || (status < 300 && !isWhole), text);
        });
    }
}

const closedBodies = [
    { how: "resets the connection", close: closings[1].close, isWhole: false },
    { how: "closes", close: closings[0].close, isWhole: true },
];

for (const { how, close, isWhole } of closedBodies) {
    test.serial(`guards against a body without a length whose end is not told from a reset: the upstream ${how}`, async t => {
        const entry = new TestEntry();
        const upstream = new BreakingUpstream(`HTTP/1.1 200 OK\r\n${identified}Connection: close\r\n\r\nhell`, close);
        await entry.start(makeTable(1, [route]));
        entry.upstreamTable.set(makeRegistration({ address: await upstream.start() }), entry.clock.monotonicMs());
        t.teardown(() => {
            entry.close();
            upstream.stop();
        });
        const text = await sendUntilReceived(entry, upstream, "POST");
        t.is(text.startsWith("HTTP/1.1 200") && text.endsWith("\r\n0\r\n\r\n"), isWhole, text);
    });
}

/** Sends a request until an upstream receives it, as load probes can time out on a busy machine; returns the response. */
async function sendUntilReceived(entry: TestEntry, upstream: BreakingUpstream, method: string): Promise<string> {
    let text = "";
    while (upstream.receivedCount === 0) {
        const caller = await entry.connect();
        caller.socket.write(
            `${method} /stock/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 100000\r\n` +
                "Connection: close\r\nContent-Length: 0\r\n\r\n",
        );
        await waitFor(() => caller.hasEnded || caller.isClosed);
        text = caller.text;
        caller.socket.destroy();
    }
    return text;
}
