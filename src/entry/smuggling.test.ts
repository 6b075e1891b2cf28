import test from "ava";
import { exchangeRaw, startTestSystem } from "../../test/entryHarness.js";

interface SmugglingCase {
    readonly name: string;
    readonly bytes: string;
    readonly status: number;
}

const path = "/services/orders/x";
const host = "Host: entry\r\n";
const smuggled = `GET ${path}?smuggled HTTP/1.1\r\n${host}Connection: close\r\n\r\n`;

const cases: readonly SmugglingCase[] = [
    {
        name: "Content-Length with Transfer-Encoding",
        bytes:
            `POST ${path} HTTP/1.1\r\n${host}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "Transfer-Encoding before Content-Length",
        bytes:
            `POST ${path} HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "two different lengths",
        bytes: `POST ${path} HTTP/1.1\r\n${host}Content-Length: 0\r\nContent-Length: 9\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "a list of lengths",
        bytes: `POST ${path} HTTP/1.1\r\n${host}Content-Length: 0, 0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "a signed length",
        bytes: `POST ${path} HTTP/1.1\r\n${host}Content-Length: +0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "an unknown transfer coding",
        bytes: `POST ${path} HTTP/1.1\r\n${host}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "a transfer coding that does not end with chunked",
        bytes: `POST ${path} HTTP/1.1\r\n${host}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "two transfer codings in two fields",
        bytes:
            `POST ${path} HTTP/1.1\r\n${host}Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "bare LF at the end of the head",
        bytes: `POST ${path} HTTP/1.1\n${host.replace("\r", "")}Content-Length: 0\n\n${smuggled}`,
        status: 400,
    },
    {
        name: "bare LF in one field line",
        bytes: `POST ${path} HTTP/1.1\r\n${host}A: b\nContent-Length: 0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "bare CR in a field value",
        bytes: `POST ${path} HTTP/1.1\r\n${host}A: b\rContent-Length: 9\r\nContent-Length: 0\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "space before the colon",
        bytes: `POST ${path} HTTP/1.1\r\n${host}Content-Length : 9\r\n\r\n${smuggled}`,
        status: 400,
    },
    {
        name: "folded field",
        bytes: `POST ${path} HTTP/1.1\r\n${host}A: b\r\n Transfer-Encoding: chunked\r\n\r\n${smuggled}`,
        status: 400,
    },
    { name: "NUL in a field value", bytes: `GET ${path} HTTP/1.1\r\n${host}A: b\0c\r\n\r\n`, status: 400 },
    { name: "no Host", bytes: `GET ${path} HTTP/1.1\r\n\r\n`, status: 400 },
    { name: "two Host fields", bytes: `GET ${path} HTTP/1.1\r\n${host}Host: orders\r\n\r\n`, status: 400 },
    {
        name: "a target that is not a path",
        bytes: `GET http://orders/x HTTP/1.1\r\n${host}Connection: close\r\n\r\n`,
        status: 400,
    },
    {
        name: "an oversized head",
        bytes: `GET ${path} HTTP/1.1\r\n${host}A: ${"b".repeat(20_000)}\r\n\r\n`,
        status: 431,
    },
];

for (const { name, bytes, status } of cases) {
    test(`guards against request smuggling: ${name}`, async t => {
        const served: string[] = [];
        const system = await startTestSystem((request, response) => {
            served.push(request.url ?? "");
            response.end("served");
        });
        const { text } = await exchangeRaw(system.entry.address, bytes);
        await system.close();
        t.regex(text, new RegExp(`^HTTP/1.1 ${status} `));
        t.regex(text, /figwharf-verdict: not-run/i);
        t.deepEqual(served, []);
    });
}

test("guards against a chunk size that is not a number: the upstream never receives a complete request", async t => {
    const completedUrls: string[] = [];
    const system = await startTestSystem((request, response) => {
        request.on("end", () => completedUrls.push(request.url ?? ""));
        request.resume();
        response.on("error", () => undefined);
    });
    const head = `POST ${path} HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n`;
    const { text } = await exchangeRaw(system.entry.address, `${head}5\r\nhello\r\n0x5\r\nhello\r\n0\r\n\r\n`);
    await system.close();
    t.is(text, "");
    t.deepEqual(completedUrls, []);
});
