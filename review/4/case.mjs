import path from "node:path";
import { fileURLToPath } from "node:url";
import { Instance, hasTrouble, makeConfig, makeRule, runCase, sleep, waitFor } from "../lib/harness.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
/** Longer than `configApply` (2 s). */
const applyMs = 5000;
const host = "shop.example";

await runCase(folder, async (system, record) => {
    for (const index of [1, 2, 3]) {
        system.start(system.control(index));
    }
    const entries = [1, 2].map(index => system.start(system.entry(index)));
    for (const index of [1, 2, 3]) {
        await new Instance(system, `i-${index}`, "orders", index).start();
    }
    const stock = makeRule("stock-lookup", "/stock/", "orders");
    const grate = makeRule("grate-order", "/grate/", "orders", { routeType: "non_idempotent" });
    // TROUBLE=0: the same rules under one listener.
    const listeners = hasTrouble
        ? [{ host, rules: [stock] }, { host, rules: [grate] }]
        : [{ host, rules: [stock, grate] }];
    const first = makeConfig(1, [], ["orders"], host, { listeners });
    if (await system.changeConfig([1, 2, 3], "config.replace", first, 0, 15_000) !== 200) {
        throw new Error("the first configuration was not accepted");
    }
    const ask = async () => {
        const answers = await Promise.all(entries.flatMap(entry => [
            system.request(entry, "/stock/1"),
            system.request(entry, "/grate/1", { method: "POST", body: "order" }),
        ]));
        const statuses = answers.map(({ status }) => status);
        record.line(`stock and grate at edge-1, stock and grate at edge-2: ${statuses}`);
        return statuses;
    };
    await waitFor("both entries serve both routes", async () => (await ask()).every(status => status === 200));
    await sleep(applyMs);
    await ask();

    const changed = makeRule("grate-order", "/grate/", "orders", { routeType: "non_idempotent", timeout: "4000ms" });
    const update = { configVersion: "00000002", upsert: { listeners: [{ host, rules: [changed] }] } };
    if (await system.changeConfig([1, 2, 3], "config.update", update, 1, 15_000) !== 200) {
        throw new Error("the update was not accepted");
    }
    await sleep(applyMs);
    const counts = { sent: 0, notFound: 0 };
    for (let round = 0; round < 20; round++) {
        const statuses = await ask();
        counts.sent += statuses.length;
        counts.notFound += statuses.filter(status => status === 404).length;
        await sleep(100);
    }
    const { status, text } = await system.rpc(1, "config.fetch");
    record.line(`read back: ${status} ${text}`);
    const isReadBack = status === 200 && ["stock-lookup", "grate-order"].every(name => text.includes(name));
    record.line(`${counts.notFound} of ${counts.sent} requests got 404; both routes read back: ${isReadBack}`);
    return counts.notFound > 0 || !isReadBack;
});
