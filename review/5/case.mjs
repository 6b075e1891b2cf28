import path from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, makeConfig, makeRule, runCase, sleep, waitFor } from "../lib/harness.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
/** Longer than `catchUp` (4 s), so that the new machine no longer counts as lost. */
const calmMs = 6000;
/** Time from the SIGTERM of the leader to the loss of a disk. */
const gapMs = 400;
const downMs = 1000;
/** Three times `recovery` (15 s). */
const readBackMs = 45_000;

const rules = [makeRule("r-1", "/a/", "orders")];

await runCase(folder, async (system, record) => {
    for (const index of [1, 2, 3]) {
        system.start(system.control(index));
    }
    const first = makeConfig(1, rules, ["orders"]);
    if (await system.changeConfig([1, 2, 3], "config.replace", first, 0, 15_000) !== 200) {
        throw new Error("the first configuration was not accepted");
    }
    await sleep(3000);
    system.start(system.control(4), { bootstrap: false });
    await waitFor("core-4 answers a read", async () => (await system.readConfig([4]))[0] === "00000001");
    await sleep(calmMs);
    const second = makeConfig(2, [...rules, makeRule("r-2", "/b/", "orders")], ["orders"]);
    if (await system.changeConfig([1, 2, 3, 4], "config.replace", second, 1, 15_000) !== 200) {
        throw new Error("the second configuration was not accepted");
    }
    await sleep(1000);

    const leader = [1, 2, 3].find(index =>
        system.machines.get(`core-${index}`).lines.some(line => line.includes("became leader"))
    );
    const [wipedIndex, keptIndex] = [1, 2, 3].filter(index => index !== leader);
    const remaining = [wipedIndex, keptIndex, 4];
    record.line(`planned replacement: core-4 is there, core-${leader}, which leads, leaves for good`);
    const replaced = system.machines.get(`core-${leader}`);
    system.signal(replaced, "SIGTERM");
    await sleep(gapMs);
    if (hasTrouble) {
        const wiped = system.machines.get(`core-${wipedIndex}`);
        await system.kill(wiped);
        system.wipe(wiped);
        await sleep(downMs);
        system.start(system.control(wipedIndex), { bootstrap: false, seeds: remaining });
    }
    await Promise.race([replaced.exited, sleep(6000)]);
    await system.kill(replaced);
    record.line(`core-${remaining.join(", core-")} run; the operator reads back version 00000002`);
    await sleep(3000);
    const endMs = performance.now() + readBackMs;
    while (performance.now() < endMs) {
        const versions = await system.readConfig(remaining);
        record.line(`reads at core-${remaining.join(", core-")}: ${versions}`);
        if (versions.includes("00000002")) {
            return false;
        }
        await sleep(1500);
    }
    await system.changeConfig(remaining, "config.replace", makeConfig(3, rules, ["orders"]), 2, 8000);
    return true;
});
