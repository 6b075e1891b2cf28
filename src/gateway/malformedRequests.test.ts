import test from "ava";
import fc from "fast-check";
import { RequestKind } from "../directory/model.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "./testing.js";

const messageCount = 10_000;
const batchSize = 50;

const headerLines = fc.constantFrom(
    "Host: shop.example",
    "Host: a\0b",
    "Request-Id: r-x",
    "Deadline-Ms: 50",
    "Deadline-Ms: -1e9",
    "Deadline-Ms: soon",
    "Content-Length: 5",
    "Content-Length: 99999999999999999999",
    "Content-Length: -1",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Expect: 100-continue",
    "Expect: the-unexpected",
    "Connection: close",
    "Connection: upgrade",
    "Upgrade: h2c",
    " folded",
    "No-Colon",
    ": empty",
    `Long: ${"a".repeat(20_000)}`,
);
const requestLines = fc.constantFrom(
    "GET /stock/1 HTTP/1.1",
    "POST /stock/1 HTTP/1.1",
    "POST /report/1 HTTP/1.1",
    "POST /report/1 HTTP/1.0",
    "CONNECT shop.example:80 HTTP/1.1",
    "OPTIONS * HTTP/1.1",
    "GET http://other.example/stock/1 HTTP/1.1",
    "GET //stock/%zz?%=&&#x HTTP/1.1",
    "GET /stock/1 HTTP/9.9",
    "PRI * HTTP/2.0",
    "\x16\x03\x01\x02\x00",
    "",
);
const bodies = fc.constantFrom(
    "",
    "hello",
    "5\r\nhello\r\n0\r\n\r\n",
    "zz\r\n",
    "5;ext=\"\r\nhello",
    "ffffffffffffffff\r\n",
);
const message = fc.tuple(requestLines, fc.array(headerLines, { maxLength: 6 }), bodies)
    .map(([start, fields, body]) => `${[start, ...fields].join("\r\n")}\r\n\r\n${body}`);

test("guards against malformed requests that crash an entry", async t => {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    const longTimeouts = { targetLatencyMs: 100_000, timeoutMs: 100_000 };
    const uploads = makeRoute({ ...longTimeouts, name: "report", pathPrefix: "/report/", kind: RequestKind.upload });
    await entry.start(makeTable(1, [makeRoute(longTimeouts), uploads]));
    await entry.addUpstream(upstream);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    const messages = fc.sample(message, { seed: 22, numRuns: messageCount });
    while (messages.length > 0) {
        await Promise.all(
            messages.splice(0, batchSize).map(async text => {
                const { socket } = await entry.connect();
                socket.end(text, "latin1");
                // A reset counts as a close too.
                await new Promise(resolve => socket.once("close", resolve));
            }),
        );
    }
    t.deepEqual(await entry.send("/stock/1", "r-1"), { status: 200, text: "done" });
});
