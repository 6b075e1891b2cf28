import path from "node:path";
import { fileURLToPath } from "node:url";
import { Instance, hasTrouble, makeConfig, makeRule, runCase, sleep, waitFor } from "../lib/harness.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
const contactWindowMs = 3000;
/** Time until a crashed instance is back. */
const downMs = 2500;
const resendMs = 3500;
const playMs = 60_000;
const maxRetries = 3;
const crashingPath = "/stock/crash";

await runCase(folder, async (system, record) => {
    for (const index of [1, 2, 3]) {
        system.start(system.control(index));
    }
    const entries = [1, 2].map(index => system.start(system.entry(index)));
    const arrivals = [];
    const crashesMs = [];
    let nextId = 1;
    const running = new Set();
    const startInstance = async (index, port) => {
        const instance = new Instance(system, `i-${nextId++}`, "orders", index);
        instance.port = port;
        instance.workMs = 0;
        instance.respond = async (request, response) => {
            if (request.url !== crashingPath || !hasTrouble) {
                instance.answer(request, response, 200, "in stock");
                return;
            }
            const id = request.headers["x-figwharf-attempt-id"];
            arrivals.push({ id, atMs: performance.now(), instance: instance.id });
            await sleep(20);
            crashesMs.push(performance.now());
            record.line(`${instance.id} crashes (crash ${crashesMs.length}) on ${id}`);
            running.delete(instance);
            instance.close();
            setTimeout(() => void startInstance(index, instance.port), downMs);
        };
        await instance.start();
        running.add(instance);
    };
    for (let index = 1; index <= 8; index++) {
        await startInstance(index);
    }
    const config = makeConfig(1, [makeRule("stock-lookup", "/stock/", "orders")], ["orders"]);
    if (await system.changeConfig([1, 2, 3], "config.replace", config, 0, 15_000) !== 200) {
        throw new Error("the configuration was not accepted");
    }
    for (const entry of entries) {
        await waitFor("the entry serves", async () => (await system.request(entry, "/stock/1")).status === 200);
    }
    await sleep(4000);

    const endMs = performance.now() + playMs;
    for (let round = 0; performance.now() < endMs; round++) {
        const entry = entries[round % entries.length];
        const { id, status } = await system.request(entry, crashingPath);
        record.line(`the same request again at ${entry.name}: ${id} ${status}`);
        await sleep(resendMs);
    }
    const thirdCrashMs = crashesMs.at(2) ?? Infinity;
    const seenIds = new Set();
    const retries = arrivals.filter(arrival => {
        const isRetry = seenIds.has(arrival.id);
        seenIds.add(arrival.id);
        return isRetry && arrival.atMs > thirdCrashMs + contactWindowMs;
    });
    record.line(`${crashesMs.length} crashes; ${retries.length} retries reached instances later than contactWindow after the third`);
    return retries.length > maxRetries;
});
