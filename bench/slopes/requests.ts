import { Packr } from "msgpackr";
import { type Catalogue, emptyCatalogue, type EntryList } from "../../src/catalogue/model.js";
import { SeededRandom } from "../../src/core/random.js";
import type { EntryEffect } from "../../src/entry/messages.js";
import { HeldPolicy } from "../../src/requests/claim.js";
import type { ClaimRequest } from "../../src/requests/claimMessages.js";
import { ClaimProtocol, defaultClaimSettings } from "../../src/requests/claimProtocol.js";
import { ClaimTable } from "../../src/requests/claimTable.js";
import { Outbox } from "../../src/requests/outbox.js";
import { chooseReplicas } from "../../src/requests/replicaSet.js";
import { readUsedBytes } from "./measure.js";

/** Total cost of `size` rows, messages or entries; the slope over the sizes is the cost of one. */
export interface SlopeRow {
    readonly name: string;
    readonly size: number;
    readonly cost: number;
    readonly unit: "bytes" | "us" | "messages";
}

const rowCounts = [2000, 4000, 8000, 16_000, 32_000];
const claimCounts = [500, 1000, 2000, 4000, 8000];
const entryCounts = [5, 16, 64, 256];
const choicesPerMeasurement = 5000;
const retainedBodyBytes = 200;
const firstEntryIds = ["entry-01", "entry-02", "entry-03", "entry-04", "entry-05"];

/** Measures memory, CPU time and messages of claims; takes a few seconds. */
export function measureClaimSlopes(): SlopeRow[] {
    return [
        ...rowCounts.map(size => measureMemory("claim row, pending", size, false)),
        ...rowCounts.map(size => measureMemory(`claim row, outcome of ${retainedBodyBytes} bytes`, size, true)),
        ...claimCounts.flatMap(measureClaims),
        ...entryCounts.map(measureReplicaChoice),
    ];
}

function measureMemory(name: string, size: number, isRecorded: boolean): SlopeRow {
    const packr = new Packr();
    const table = new ClaimTable({
        retentionMs: 600_000,
        maxStoredClaims: size,
        maxRetainedBytes: Number.MAX_SAFE_INTEGER,
    });
    const before = readUsedBytes();
    for (let index = 0; index < size; index++) {
        // Rows retain values that were decoded from a frame, as in production.
        const request = packr.unpack(packr.pack(makeRequest(index))) as ClaimRequest;
        table.request(request, false, 0);
        if (isRecorded) {
            const response = {
                status: 200,
                headers: [["content-type", "application/json"]] as const,
                body: makeBody(),
            };
            const record = packr.unpack(packr.pack({ ...request, outcome: { kind: "response", response } }));
            table.record(record, 0);
        }
    }
    const cost = readUsedBytes() - before;
    return { name, size: table.size, cost, unit: "bytes" };
}

function makeBody(): Uint8Array {
    return Buffer.alloc(retainedBodyBytes);
}

function makeRequest(index: number): ClaimRequest {
    return {
        key: `key:orders:8f14e45f-ceea-467f-a830-${String(index).padStart(12, "0")}`,
        claimId: `entry-01:1764800000000:${index}`,
        holder: "entry-01",
        requestHash: Buffer.alloc(32, index % 251).toString("base64"),
        lifetimeMs: 610_000,
        replicaSets: [firstEntryIds],
    };
}

/** Measures claims with recorded outcomes on five entries: their total CPU time, and messages including answers. */
function measureClaims(size: number): SlopeRow[] {
    const cluster = new ClaimCluster();
    cluster.claim("warm-up", 200);
    const messagesBefore = cluster.messageCount;
    const startedAt = process.hrtime.bigint();
    cluster.claim("measured", size);
    const cost = Number(process.hrtime.bigint() - startedAt) / 1000;
    return [
        { name: "keyed request, all five entries, without transport", size, cost, unit: "us" },
        { name: "messages of a keyed request", size, cost: cluster.messageCount - messagesBefore, unit: "messages" },
    ];
}

class ClaimCluster {
    messageCount = 0;
    private readonly entries = new Map<string, { protocol: ClaimProtocol; outbox: Outbox; }>();

    constructor() {
        const catalogue: Catalogue = { ...emptyCatalogue, revision: 1, entryLists: [makeList(firstEntryIds)] };
        for (const [index, selfId] of firstEntryIds.entries()) {
            const outbox = new Outbox();
            const protocol = new ClaimProtocol({
                selfId,
                incarnation: 1,
                catalogue: () => catalogue,
                peers: { selfId, availabilityZone: "a", livePeers: () => [], findPeer: () => undefined },
                random: new SeededRandom(index),
                settings: defaultClaimSettings,
                firstControlRevision: () => 0,
                outbox,
            });
            this.entries.set(selfId, { protocol, outbox });
        }
        this.entries.forEach(({ protocol }) => protocol.tick(0));
        this.deliver();
    }

    claim(prefix: string, count: number): void {
        const response = { status: 200, headers: [], body: makeBody() };
        for (let index = 0; index < count; index++) {
            const { protocol } = this.entryOf(firstEntryIds[index % firstEntryIds.length]);
            const ownerId = `${prefix}-${index}`;
            const { key, requestHash, lifetimeMs } = makeRequest(index);
            const order = { ownerId, key: prefix + key, requestHash, lifetimeMs, deadlineAtMs: 10_000 };
            protocol.coordinator.start({ ...order, heldPolicy: HeldPolicy.awaitOutcome }, 1);
            this.deliver();
            protocol.coordinator.finish(ownerId, { kind: "response", response }, 1);
            this.deliver();
            protocol.coordinator.takeDecided();
        }
    }

    private deliver(): void {
        for (let hasMessages = true; hasMessages;) {
            hasMessages = false;
            for (const [from, { outbox }] of this.entries) {
                for (const effect of outbox.take()) {
                    hasMessages = true;
                    this.forwardMessage(from, effect);
                }
            }
        }
    }

    private forwardMessage(from: string, effect: EntryEffect): void {
        if (effect.kind === "send-peer") {
            this.messageCount++;
            this.entryOf(effect.to).protocol.handle(from, effect.message, 1);
        }
    }

    private entryOf(id: string): { protocol: ClaimProtocol; outbox: Outbox; } {
        return this.entries.get(id) as { protocol: ClaimProtocol; outbox: Outbox; };
    }
}

function makeList(entryIds: readonly string[]): EntryList {
    return { revision: 1, entryIds, availabilityZones: entryIds.map((_, index) => `zone-${index % 3}`) };
}

function measureReplicaChoice(entryCount: number): SlopeRow {
    const list = makeList(Array.from({ length: entryCount }, (_, index) => `entry-${index}`));
    chooseReplicas(list, "warm-up");
    const startedAt = process.hrtime.bigint();
    for (let index = 0; index < choicesPerMeasurement; index++) {
        chooseReplicas(list, `key-${index}`);
    }
    const cost = Number(process.hrtime.bigint() - startedAt) / 1000 / choicesPerMeasurement;
    return { name: "choice of a replica set among entries", size: entryCount, cost, unit: "us" };
}
