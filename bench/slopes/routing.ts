import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type Catalogue, emptyCatalogue, PolicyName } from "../../src/catalogue/model.js";
import { SeededRandom } from "../../src/core/random.js";
import type { UpstreamRow } from "../../src/membership/view.js";
import type { RequestMetadata } from "../../src/requests/model.js";
import { ServiceRouter } from "../../src/routing/serviceRouter.js";
import { SlotMethod } from "../../src/routing/slotMessages.js";
import { benchService } from "../benchCatalogue.js";
import type { SlopeRow } from "./requests.js";

const instanceCounts = [15, 30, 60, 120, 240];
const messageCounts = [5000, 10_000, 20_000, 40_000];
const rowCounts = [1000, 2000, 4000, 8000];
const decisionsPerCount = 5000;
const warmUpDecisions = 2000;
const slots = 3;
const messageInstances = 15;
const inFlight = 20;
const peerId = "entry-2";

/** Measures CPU time of routing decisions and grants, and memory of upstream rows; takes a few seconds. */
export function measureRoutingSlopes(): SlopeRow[] {
    return [
        ...instanceCounts.map(size => measureDecision(PolicyName.leastOutstanding, size)),
        ...instanceCounts.map(size => measureDecision(PolicyName.slotGrants, size)),
        ...messageCounts.map(measureGrants),
        ...rowCounts.map(measureRows),
    ];
}

/** Measures the mean time of a decision and the end of its attempt by number of instances, with attempts in flight. */
function measureDecision(policy: PolicyName, size: number): SlopeRow {
    const router = makeRouter(policy, size, false);
    const decide = (from: number, count: number) => {
        for (let index = from; index < from + count; index++) {
            router.route(`a${index}`, requestOf(index), [], index / 10);
            endAttempt(router, index - inFlight, index / 10);
            router.takeEffects();
            router.takeDecisions();
        }
    };
    decide(0, warmUpDecisions);
    const costUs = measureElapsedUs(() => decide(warmUpDecisions, decisionsPerCount)) / decisionsPerCount;
    return { name: `route decision, ${policy}, by instances`, size, cost: costUs, unit: "us" };
}

/** Measures the time to grant and release slots at the owner by number of grants, without transport. */
function measureGrants(size: number): SlopeRow {
    const router = makeRouter(PolicyName.slotGrants, messageInstances, true);
    router.handlePeerMessage(peerId, heldMessage, 0);
    const grant = (from: number, count: number) => {
        for (let index = from; index < from + count; index++) {
            const attemptId = `g${index}`;
            const acquire = {
                service: "orders",
                attemptId,
                class: "interactive",
                remainingMs: 1000,
                avoid: [],
                availabilityZone: "az-1",
                isRetry: false,
            };
            const release = { service: "orders", attemptId: `g${index - inFlight}`, kind: "ok", latencyMs: 2 };
            router.handlePeerMessage(peerId, { method: SlotMethod.acquire, params: acquire }, index / 10);
            router.handlePeerMessage(peerId, { method: SlotMethod.release, params: release }, index / 10);
            router.takeEffects();
        }
    };
    grant(0, warmUpDecisions);
    const cost = measureElapsedUs(() => grant(warmUpDecisions, size));
    return { name: "grant and release at the owner, without transport", size, cost, unit: "us" };
}

/** Measures the memory of the routing rows of upstreams at the owner. */
function measureRows(size: number): SlopeRow {
    const router = makeRouter(PolicyName.slotGrants, size, false);
    const before = readUsedBytes();
    router.route("first", requestOf(0), [], 0);
    const cost = readUsedBytes() - before;
    router.takeEffects();
    return { name: "routing row of an upstream", size, cost, unit: "bytes" };
}

function makeRouter(policy: PolicyName, instances: number, hasPeer: boolean): ServiceRouter {
    const rows = Array.from({ length: instances }, (_unused, index) => makeRow(index));
    const byId = new Map(rows.map(row => [row.announcement.id, row]));
    const catalogue: Catalogue = {
        ...emptyCatalogue,
        revision: 1,
        services: { orders: benchService("orders", { policy }) },
    };
    const peer = {
        id: peerId,
        availabilityZone: "az-1",
        incarnation: 1,
        revision: 1,
        isDraining: true,
        lastHeartbeatAtMs: 0,
    };
    return new ServiceRouter({
        selfId: "entry-1",
        peers: {
            selfId: "entry-1",
            availabilityZone: "az-1",
            // A draining peer is never the owner, so this entry is.
            livePeers: () => hasPeer ? [peer] : [],
            findPeer: () => peer,
        },
        upstreams: { eligibleUpstreams: () => rows, findUpstream: (_service, id) => byId.get(id) },
        catalogue: () => catalogue,
        random: new SeededRandom(1),
    });
}

const heldMessage = {
    method: SlotMethod.held,
    params: { service: "orders", slots: [], isOwnerAccepted: true, probeMs: 0 },
};

function makeRow(index: number): UpstreamRow {
    const announcement = {
        id: `orders-${index}`,
        service: "orders",
        address: `127.0.0.1:${10_000 + index}`,
        availabilityZone: `az-${index % 3 + 1}`,
        slots,
        state: "ready",
        incarnation: 1,
        sequence: 1,
        leaseMs: 2500,
    } as const;
    return { announcement, evidenceAtMs: 0, readySinceMs: 0 };
}

function requestOf(index: number): RequestMetadata {
    return {
        id: `r${index}`,
        service: "orders",
        method: "GET",
        path: "/",
        callerId: "",
        idempotencyKey: undefined,
        bodyHash: undefined,
        isBodyReplayable: true,
        deadlineAtMs: Number.MAX_SAFE_INTEGER,
    };
}

function endAttempt(router: ServiceRouter, index: number, nowMs: number): void {
    router.finish({
        attemptId: `a${index}`,
        service: "orders",
        upstreamId: "",
        latencyMs: 2,
        failure: undefined,
        status: 200,
        load: undefined,
    }, nowMs);
}

function measureElapsedUs(run: () => void): number {
    const startedAt = process.hrtime.bigint();
    run();
    return Number(process.hrtime.bigint() - startedAt) / 1000;
}

function readUsedBytes(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    collect();
    return process.memoryUsage().heapUsed;
}
