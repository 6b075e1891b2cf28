import test from "ava";
import net from "node:net";
import { exchangeRaw, startTestSystem, waitUntil } from "../../test/entryHarness.js";

const post = (bodyBytes: number) =>
    `POST /services/orders/x HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: ${bodyBytes}\r\n\r\n`;

test("guards against memory held by slow callers: reserved before a body is read, released on timeout", async t => {
    let served = 0;
    const system = await startTestSystem((_request, response) => {
        served++;
        response.end("served");
    }, { limits: { bufferedBytes: 3000, bodyTimeoutMs: 1500 } });
    const { address } = system.entry;
    const slow = [1, 2, 3].map(() => exchangeRaw(address, post(1000)));
    await waitUntil(() => system.entry.inFlight() === 3);
    const refused = await exchangeRaw(address, post(1000) + "x".repeat(1000));
    const ended = await Promise.all(slow);
    const accepted = await exchangeRaw(address, post(1000) + "x".repeat(1000));
    await system.close();
    t.regex(refused.text, /^HTTP\/1.1 503 [^]*figwharf-verdict: not-run[^]*problem:memory/i);
    ended.forEach(({ text }) => t.regex(text, /^HTTP\/1.1 408 [^]*figwharf-verdict: not-run/i));
    t.regex(accepted.text, /^HTTP\/1.1 200 /);
    t.is(served, 1);
});

test("guards against heads that never end: the request is refused and its connection closed after the timeout", async t => {
    const system = await startTestSystem((_request, response) => response.end(), { limits: { headTimeoutMs: 300 } });
    const { text } = await exchangeRaw(system.entry.address, "POST /services/orders/x HTTP/1.1\r\nHost: entry\r\n");
    await system.close();
    t.regex(text, /^HTTP\/1.1 408 [^]*figwharf-verdict: not-run/i);
});

test("guards against callers that do not read: back pressure stops the upstream, the caller is disconnected", async t => {
    let writtenBytes = 0;
    let isClosed = false;
    const chunk = Buffer.alloc(64 * 1024);
    const system = await startTestSystem((_request, response) => {
        const write = () => {
            while (!isClosed && response.write(chunk)) {
                writtenBytes += chunk.length;
            }
        };
        response.on("drain", write).on("close", () => isClosed = true);
        write();
    }, { limits: { stallTimeoutMs: 1000 } });
    const [host, port] = system.entry.address.split(":");
    const socket = net.connect(Number(port), host, () => socket.write(post(0)));
    socket.on("error", () => undefined);
    socket.pause();
    await waitUntil(() => isClosed);
    socket.destroy();
    await system.close();
    // Only the kernel's socket buffers fill; an entry without back pressure would read far more in this time.
    t.true(writtenBytes < 64 * 1024 * 1024, `${writtenBytes} bytes`);
});
