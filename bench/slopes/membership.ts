import { SeededRandom } from "../../src/core/random.js";
import { EntryCore } from "../../src/entry/core.js";
import type { EntryEffect, EntryEvent } from "../../src/entry/messages.js";
import type { Announcement } from "../../src/membership/view.js";
import { encodeFrame } from "../../src/transport/framing.js";
import { benchCatalogue, benchService } from "../benchCatalogue.js";
import { decodeFrame, measureBytes, measureMicros } from "./measure.js";
import type { SlopeRow } from "./requests.js";

const upstreamCounts = [50, 500, 1000, 2250];
const peerCounts = [4, 16, 32, 64];
const serviceCounts = [4, 150, 300, 600, 1200];
const runMs = 1000;
const tickMs = 5;
const memoryCopies = 5;

/** Measures the cost of upstreams, peers and idle time at an entry; takes a few seconds. */
export function measureMembershipSlopes(): SlopeRow[] {
    return [
        ...upstreamCounts.map(size => bytes("memory of upstream rows at an entry", size, upstreamMemory(size))),
        ...upstreamCounts.map(size => bytes("upstreams.update: bytes, per upstream", size, updateBytes(size))),
        ...upstreamCounts.map(size =>
            micros("upstreams.update: processor time, per upstream", size, updateMicros(size))
        ),
        ...peerCounts.map(size => bytes("peer.heartbeat: bytes sent in 1 s, per peer", size, heartbeatBytes(size))),
        ...peerCounts.map(size => micros("1 s of ticks and heartbeats, per peer", size, idleMicros(4, size, 0))),
        ...serviceCounts.map(size => micros("1 s of ticks, per service", size, idleMicros(size, 2, 0))),
        ...upstreamCounts.map(size => micros("1 s of ticks, per upstream", size, idleMicros(4, 2, size))),
    ];
}

function bytes(name: string, size: number, cost: number): SlopeRow {
    return { name, size, cost, unit: "bytes" };
}

function micros(name: string, size: number, cost: number): SlopeRow {
    return { name, size, cost, unit: "us" };
}

function makeAnnouncement(index: number): Announcement {
    return {
        id: `service-${index % 4}-instance-${index}`,
        service: `service-${index % 4}`,
        address: `10.2.${index >> 8}.${index & 255}:9000`,
        availabilityZone: `zone-${index % 4}`,
        slots: 3,
        state: "ready",
        incarnation: 1_764_800_000_000,
        sequence: 1,
        leaseMs: 30_000,
    };
}

/** An entry core with a confirmed catalogue, peers and upstreams, driven by simulated time. */
class CoreDriver {
    nowMs = 0;
    readonly core: EntryCore;

    constructor(serviceCount: number, peerCount: number, upstreamCount: number) {
        this.core = new EntryCore({
            id: "entry-0",
            region: "region-1",
            availabilityZone: "zone-0",
            incarnation: 1_764_800_000_000,
            address: "10.1.0.0:7400",
            peerAddress: "10.1.0.0:7401",
            random: new SeededRandom(1),
        });
        const services = Array.from({ length: serviceCount }, (_unused, index) => benchService(`service-${index}`));
        const entryVms = Array.from({ length: peerCount + 1 }, (_unused, index) => ({
            id: `entry-${index}`,
            region: "region-1",
            availabilityZone: `zone-${index % 4}`,
            address: `10.1.0.${index}:7400`,
            peerAddress: `10.1.0.${index}:7401`,
            state: "active" as const,
        }));
        const catalogue = benchCatalogue(1, services, entryVms);
        this.handle({ kind: "control-answer", isQuorumConfirmed: true, revision: 1, catalogue, sentAtMs: 0 });
        for (let index = 0; index < upstreamCount; index++) {
            this.handle({ kind: "announcement", announcement: makeAnnouncement(index) });
        }
    }

    handle(event: EntryEvent): readonly EntryEffect[] {
        return this.core.handle(event, this.nowMs);
    }

    /** Ticks like the daemon and encodes the messages to peers; returns their total bytes. */
    run(durationMs: number): number {
        let sentBytes = 0;
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += tickMs) {
            for (const effect of this.handle({ kind: "tick" })) {
                if (effect.kind === "send-peer") {
                    const { method, params } = effect.message;
                    sentBytes += encodeFrame({ jsonrpc: "2.0", method, params }).length;
                }
            }
        }
        return sentBytes;
    }
}

function upstreamMemory(upstreamCount: number): number {
    const frames = Array.from({ length: upstreamCount }, (_unused, index) => encodeFrame(makeAnnouncement(index)));
    const announceAll = () => {
        const driver = new CoreDriver(4, 2, 0);
        for (const frame of frames) {
            const [announcement] = decodeFrame(frame) as Announcement[];
            driver.handle({ kind: "announcement", announcement });
        }
        return driver;
    };
    const copies = Array.from({ length: memoryCopies });
    return measureBytes(() => copies.map(announceAll)) / memoryCopies;
}

/** Makes the update that an entry sends to a peer when all upstreams have renewed their announcements. */
function makeUpdateFrame(upstreamCount: number): Buffer {
    const driver = new CoreDriver(4, 1, upstreamCount);
    const rows = driver.core.upstreams.digestAll(driver.nowMs);
    const stamp = driver.core.peers.createStamp("entry-1", driver.nowMs);
    return encodeFrame({ jsonrpc: "2.0", method: "upstreams.update", params: { stamp, rows } });
}

function updateBytes(upstreamCount: number): number {
    return makeUpdateFrame(upstreamCount).length;
}

function updateMicros(upstreamCount: number): number {
    const frame = makeUpdateFrame(upstreamCount);
    const driver = new CoreDriver(4, 1, upstreamCount);
    return measureMicros(() => {
        const [message] = decodeFrame(frame) as { readonly method: string; readonly params: unknown; }[];
        driver.handle({ kind: "peer-message", from: "entry-1", message });
    });
}

function heartbeatBytes(peerCount: number): number {
    return new CoreDriver(4, peerCount, 0).run(runMs);
}

function idleMicros(serviceCount: number, peerCount: number, upstreamCount: number): number {
    const driver = new CoreDriver(serviceCount, peerCount, upstreamCount);
    return measureMicros(() => driver.run(runMs));
}
