import test from "ava";
import net from "node:net";
import { SeededRandom } from "../core/random.js";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream } from "../gateway/testing.js";

const seed = 20_261_204;
const valueCount = 10_000;
const concurrency = 16;
const key = "k3y-Zm9vYmFyLXF1dXg_7d1a";

/** Returns header lines of which none carries exactly the valid key alone. */
function makeHeaderLines(random: SeededRandom): string {
    const bytes = (count: number, lowest: number) =>
        Array.from({ length: count }, () => String.fromCharCode(lowest + random.nextInt(256 - lowest))).join("");
    const position = random.nextInt(key.length);
    const valid = `Key: ${key}`;
    const makers: readonly (() => string)[] = [
        () => `${valid}\r\n${valid}`,
        () => `${valid}\r\nkey: ${bytes(random.nextInt(20), 33)}`,
        () => `KEY:\r\n${valid}`,
        () => `Key: ${key}, ${key}`,
        () => `Key: ${key},`,
        () => `Key:\r\n ${key}`,
        () => `Key: ${key.slice(0, position)}\r\n\t${key.slice(position)}`,
        () => `${valid}\r\n `,
        () => `Key : ${key}`,
        () => `Key: ${key.slice(0, position)}`,
        () => `Key: ${key}${bytes(1 + random.nextInt(3), 33)}`,
        () => `Key: ${key.slice(0, position)}${bytes(1, 1)}${key.slice(position)}`,
        () => `Key: ${key.slice(0, position)}\0${key.slice(position)}`,
        () => `Key: Bearer ${key}`,
        () => `Key: "${key}"`,
        () => `Key: ${key.toUpperCase()}${key.toLowerCase()}`,
        () => `Key: ${bytes(random.nextInt(200), 0)}`,
        () => `Key: ${bytes(random.nextInt(200), 33)}`,
        () => `Key: ${key.repeat(1 + random.nextInt(600))}x`,
        () => `Key: ${bytes(10_000 + random.nextInt(70_000), 97)}`,
        () => "Key:",
        () => "",
    ];
    return makers[random.nextInt(makers.length)]();
}

/** Sends a request and resolves with the response; empty if the connection closed without one. */
function exchange(port: number, headerLines: string): Promise<string> {
    return new Promise(resolve => {
        let text = "";
        const socket = net.connect({ port, host: "127.0.0.1" });
        socket.setEncoding("latin1").on("data", (chunk: string) => text += chunk);
        socket.on("error", () => undefined).on("close", () => resolve(text));
        const lines = ["GET /stock/1 HTTP/1.1", "Host: shop.example", "Request-Id: r", "Connection: close"];
        const head = [...lines, ...headerLines === "" ? [] : [headerLines], "", ""].join("\r\n");
        socket.end(Buffer.from(head, "latin1"));
    });
}

test("guards against header values that run a request without a valid key", async t => {
    t.timeout(240_000);
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    const table = makeTable(1, [makeRoute({ targetLatencyMs: 100_000, timeoutMs: 100_000 })]);
    await entry.start({ ...table, organisations: [{ name: "acme", keys: [key] }] });
    await entry.addUpstream(upstream);
    const random = new SeededRandom(seed);
    const counts = new Map<string, number>();
    let sent = 0;
    const sendAll = async () => {
        while (sent < valueCount) {
            sent++;
            const lines = makeHeaderLines(random);
            const response = await exchange(entry.port, lines);
            const status = response.slice("HTTP/1.1 ".length, "HTTP/1.1 400".length);
            counts.set(status, (counts.get(status) ?? 0) + 1);
            if (status !== "400" && status !== "401") {
                t.log(JSON.stringify(lines.slice(0, 80)), lines.length, response.slice(0, 80));
            }
        }
    };
    await Promise.all(Array.from({ length: concurrency }, sendAll));
    const rejected = (counts.get("400") ?? 0) + (counts.get("401") ?? 0);
    t.is(rejected, valueCount, JSON.stringify([...counts]));
    t.log(JSON.stringify([...counts]));
    t.deepEqual(upstream.receivedIds, []);
    t.is((await entry.send("/stock/1", "valid", "GET", { Key: key })).status, 200, "the entry still serves");
    const written = JSON.stringify(entry.lines) + await entry.metrics.registry.metrics();
    t.false(written.includes(key), "no log line and no metric contains the key");
});
