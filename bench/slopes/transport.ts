import { setTimeout as sleep } from "node:timers/promises";
import { ChannelClient, ChannelServer } from "../../src/transport/channel.js";
import { benchSecret } from "../benchCatalogue.js";
import type { SlopeRow } from "./requests.js";

const messageCounts = [5000, 10_000, 20_000, 40_000, 80_000];
const pollMs = 2;
/** Messages per turn of the event loop, as for heartbeats to 15 peers. */
const burstSize = 15;
const heartbeat = {
    stamp: { sentAtMs: 1_234_567.5, echoMs: 1_234_500.5, echoIncarnation: 1_764_800_000_000, heldMs: 55.5 },
    region: "region-1",
    availabilityZone: "zone-1",
    incarnation: 1_764_800_000_000,
    revision: 100,
    isDraining: false,
    isServing: true,
    address: "10.1.0.1:7400",
    peerAddress: "10.1.0.1:7401",
};

/** Measures the CPU time of heartbeats over a channel, in user and kernel mode and for both ends together. */
export async function measureTransportSlopes(): Promise<SlopeRow[]> {
    let receivedCount = 0;
    const server = new ChannelServer({ selfId: "entry-1", secret: benchSecret }, () => void receivedCount++);
    const port = await server.listen("127.0.0.1", 0);
    const client = new ChannelClient(`127.0.0.1:${port}`, { selfId: "entry-2", secret: benchSecret });
    await waitUntil(() => client.isConnected());
    const send = async (count: number) => {
        const targetCount = receivedCount + count;
        for (let sent = 0; sent < count; sent++) {
            client.notify("peer.heartbeat", heartbeat);
            if (sent % burstSize === 0) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
        await waitUntil(() => receivedCount >= targetCount);
    };
    await send(messageCounts[0]);
    const rows: SlopeRow[] = [];
    for (const size of messageCounts) {
        const before = process.cpuUsage();
        await send(size);
        const { user, system } = process.cpuUsage(before);
        rows.push({ name: "channel: processor time of a message, both ends", size, cost: user + system, unit: "us" });
    }
    client.close();
    await server.close();
    return rows;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await sleep(pollMs);
    }
}
