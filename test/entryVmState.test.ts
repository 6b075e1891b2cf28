import test from "ava";
import { benchCatalogue, benchRegion, benchService } from "../bench/benchCatalogue.js";
import type { EntryVm } from "../src/catalogue/model.js";
import { fetchEntries, startTestSystem, waitUntil } from "./entryHarness.js";

test("guards against sending callers to an entry VM that the catalogue declares as draining", async t => {
    const { entry, control, close } = await startTestSystem((_request, response) => response.end("done"));
    const { address, peerAddress } = entry;
    const declare = (revision: number, state: EntryVm["state"]) => {
        const vm = { id: "entry-1", region: benchRegion, availabilityZone: "az-1", address, peerAddress, state };
        control.setCatalogue(benchCatalogue(revision, [benchService("orders")], [vm]));
    };
    declare(2, "draining");
    await waitUntil(async () => (await fetchEntries(address)).length === 0);
    t.deepEqual(await fetchEntries(address), []);
    t.is(
        (await fetch(`http://${address}/services/orders/x`)).status,
        200,
        "callers that still use its address are served",
    );
    declare(3, "active");
    await waitUntil(async () => (await fetchEntries(address)).length === 1);
    t.deepEqual(await fetchEntries(address), [address]);
    await close();
});
