import test from "ava";
import http from "node:http";
import net from "node:net";
import { benchCatalogue, benchRegion, benchSecret, benchService } from "../bench/benchCatalogue.js";
import { FixedControl } from "../bench/fixedControl.js";
import { findFreePorts } from "../bench/ports.js";
import { type BenchProcess, Processes } from "../bench/processes.js";
import type { EntryVm } from "../src/catalogue/model.js";
import { announce, fetchEntries, listenOnLoopback, waitUntil } from "./entryHarness.js";

const renewIntervalMs = 500;

interface DrainSystem {
    readonly processes: Processes;
    readonly drained: BenchProcess;
    readonly other: BenchProcess;
    /** Completes the requests that the upstream holds open. */
    release(): void;
    heldCount(): number;
    close(): Promise<void>;
}

/** Starts two entry processes, and an upstream that holds requests for `/long` open until `release` is called. */
async function startDrainSystem(): Promise<DrainSystem> {
    const held: http.ServerResponse[] = [];
    const upstream = http.createServer((request, response) => {
        if (request.url === "/long") {
            response.write("begin,");
            held.push(response);
        }
        else {
            response.end("short");
        }
    });
    const upstreamAddress = await listenOnLoopback(upstream);
    const ports = await findFreePorts(4);
    const entryVms = ["entry-1", "entry-2"].map((id, index): EntryVm => ({
        id,
        region: benchRegion,
        availabilityZone: `az-${index + 1}`,
        address: `127.0.0.1:${ports[index * 2]}`,
        peerAddress: `127.0.0.1:${ports[index * 2 + 1]}`,
        state: "active",
    }));
    const control = new FixedControl(benchCatalogue(1, [benchService("orders")], entryVms), benchSecret);
    const controlAddresses = [await control.listen()];
    const processes = new Processes();
    const [drained, other] = await Promise.all(entryVms.map((vm, index) =>
        processes.start("entryProcess.js", vm.id, {
            ...vm,
            port: ports[index * 2],
            peerPort: ports[index * 2 + 1],
            controlAddresses,
            clusterSecret: benchSecret,
            seed: index,
        })
    ));
    let sequence = 0;
    const renew = () => void announce(other.ready.address, upstreamAddress, { sequence: ++sequence });
    renew();
    const timer = setInterval(renew, renewIntervalMs);
    for (const { ready } of [drained, other]) {
        await waitUntil(async () => (await fetchEntries(ready.address)).length === 2);
    }
    await waitUntil(async () => (await fetch(`http://${drained.ready.address}/services/orders/x`)).status === 200);
    return {
        processes,
        drained,
        other,
        release: () => held.forEach(response => response.end("end")),
        heldCount: () => held.length,
        close: async () => {
            clearInterval(timer);
            await processes.stopAll();
            upstream.closeAllConnections();
            upstream.close();
            await control.close();
        },
    };
}

interface ReceivedResponse {
    readonly text: string;
    readonly connection: string | undefined;
}

function get(address: string, path: string, agent: http.Agent | false): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
        http.get(`http://${address}/services/orders${path}`, { agent }, response => {
            let text = "";
            response.on("data", (chunk: Buffer) => text += chunk.toString());
            response.on("error", reject);
            response.on("end", () => resolve({ text, connection: response.headers.connection }));
        }).on("error", reject);
    });
}

function isListening(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = net.connect(Number(port), host, () => socket.destroy());
        socket.on("error", () => resolve(false));
        socket.on("close", hadError => resolve(!hadError));
    });
}

test("guards against requests aborted by a graceful shutdown", async t => {
    const system = await startDrainSystem();
    t.teardown(() => system.close());
    const { address } = system.drained.ready;
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    t.is((await get(address, "/x", agent)).connection, "keep-alive");
    const long = get(address, "/long", false);
    await waitUntil(() => system.heldCount() === 1);

    system.processes.signal(system.drained, "SIGTERM");
    await waitUntil(async () => (await fetchEntries(system.other.ready.address)).length === 1);
    t.deepEqual(
        await fetchEntries(address),
        [system.other.ready.address],
        "a draining entry lists only the other entries",
    );
    t.true(await isListening(address), "callers that still use its address are served");
    const kept = await get(address, "/x", agent);
    t.deepEqual(kept, { text: "short", connection: "close" }, "a keep-alive connection closes after its next response");

    await waitUntil(async () => !await isListening(address));
    t.is(system.drained.child.exitCode, null, "the process waits for the long request");
    system.release();
    t.is((await long).text, "begin,end");
    t.is(await system.processes.waitForExit(system.drained), 0);
    agent.destroy();
});
