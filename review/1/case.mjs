import path from "node:path";
import { fileURLToPath } from "node:url";
import { Instance, hasTrouble, makeConfig, makeRule, runCase, sleep, waitFor } from "../lib/harness.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
const freezeMs = 4000;
/** Longer than `catchUp` (4 s): a machine that is new or back no longer counts as lost after it. */
const calmMs = 6000;
/** Longer than `gracePeriod` (6 s), `contactWindow` (3 s) and `catchUp` together. */
const afterRemovalMs = 15_000;
const downMs = 1000;
const recoveryMs = 15_000;
/** Time after `recovery` in which requests and reads are counted. */
const observationMs = 15_000;

const rules = [makeRule("r-1", "/a/", "orders")];
const entryIndexes = [1, 2];

await runCase(folder, async (system, record) => {
    for (const index of [1, 2, 3]) {
        system.start(system.control(index));
    }
    for (const index of entryIndexes) {
        system.start(system.entry(index));
    }
    const instances = [1, 2, 3].map(index => new Instance(system, `i-${index}`, "orders", index));
    for (const instance of instances) {
        await instance.start();
    }
    const first = makeConfig(1, rules, ["orders"]);
    if (await system.changeConfig([1, 2, 3], "config.replace", first, 0, 15_000) !== 200) {
        throw new Error("the first configuration was not accepted");
    }
    await waitFor("both entries serve", async () => (await sendRequests(system, record)).served === 2);

    record.line("planned replacement of core-1: core-4 is added, empty, at a new address");
    system.start(system.control(4), { bootstrap: false });
    await waitFor("core-4 answers a read", async () => (await system.readConfig([4]))[0] === "00000001");
    await sleep(calmMs);
    const frozen = system.machines.get("core-2");
    if (hasTrouble) {
        system.signal(frozen, "SIGSTOP");
        await sleep(freezeMs);
        system.signal(frozen, "SIGCONT");
    }
    await sleep(calmMs);
    record.line(`reads at core-1 to core-4: ${await system.readConfig([1, 2, 3, 4])}`);
    const replaced = system.machines.get("core-1");
    system.signal(replaced, "SIGTERM");
    await Promise.race([replaced.exited, sleep(6000)]);
    await system.kill(replaced);
    record.line("core-1 has left for good");
    await sleep(afterRemovalMs);
    const before = { sent: 0, served: 0 };
    for (let round = 0; round < 20; round++) {
        const { sent, served } = await sendRequests(system, record);
        before.sent += sent;
        before.served += served;
        await sleep(100);
    }
    record.line(`before the final fault: ${JSON.stringify(before)}`);
    if (before.served * 4 < before.sent) {
        throw new Error("less than a quarter was served before the final fault");
    }

    const second = makeConfig(2, [...rules, makeRule("r-2", "/b/", "orders")], ["orders"]);
    if (await system.changeConfig([2, 3, 4], "config.replace", second, 1, 15_000) !== 200) {
        throw new Error("the second configuration was not accepted");
    }
    record.line("final fault: all processes are killed, and core-3 loses its disk");
    const killed = [2, 3, 4].map(index => system.machines.get(`core-${index}`));
    const killedEntries = entryIndexes.map(index => system.machines.get(`edge-${index}`));
    await Promise.all([...killed, ...killedEntries].map(machine => system.kill(machine)));
    system.wipe(system.machines.get("core-3"));
    await sleep(downMs);
    for (const index of [2, 3, 4]) {
        system.start(system.control(index), { bootstrap: false, seeds: [2, 3, 4] });
    }
    for (const index of entryIndexes) {
        system.start(system.entry(index), { bootstrap: false, seeds: [2, 3, 4] });
    }

    await sleep(recoveryMs);
    record.line("`recovery` has passed since all machines were back");
    const counts = { sent: 0, served: 0 };
    let isReadBack = false;
    const endMs = performance.now() + observationMs;
    while (performance.now() < endMs) {
        const { sent, served } = await sendRequests(system, record);
        counts.sent += sent;
        counts.served += served;
        const versions = await system.readConfig([2, 3, 4]);
        isReadBack ||= versions.includes("00000002");
        record.line(`reads at core-2, core-3, core-4: ${versions}`);
        await sleep(500);
    }
    record.line(`later than recovery: ${JSON.stringify(counts)}; version 00000002 read back: ${isReadBack}`);
    return counts.served * 4 < counts.sent;
});

/** Sends one request to each entry. */
async function sendRequests(system, record) {
    const answers = await Promise.all(entryIndexes.map(index => system.request(system.entry(index), "/a/x")));
    record.line(`requests: ${answers.map(({ id, status }) => `${id} ${status}`).join(", ")}`);
    return { sent: answers.length, served: answers.filter(({ status }) => status === 200).length };
}
