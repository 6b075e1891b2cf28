import { type Catalogue, emptyCatalogue, type Service } from "../src/catalogue/model.js";
import type { EntryId } from "../src/core/ids.js";
import { SeededRandom } from "../src/core/random.js";
import type { EntryEffect, PeerMessage } from "../src/entry/messages.js";
import type { PeerRow, UpstreamRow } from "../src/membership/view.js";
import type { RequestMetadata } from "../src/requests/model.js";
import type { AttemptOutcome, RouteDecision } from "../src/requests/router.js";
import { ServiceRouter } from "../src/routing/serviceRouter.js";

const zones = ["a", "b", "c"];
const tickMs = 5;
const messageDelayMs = 1;

/** Numbers of entries, upstreams and slots per upstream, and changes to the service `orders`. */
export interface SimulatedRoutersOptions {
    readonly entries: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly service?: Partial<Service>;
    readonly limits?: Partial<Service["limits"]>;
}

interface InFlightMessage {
    readonly dueAtMs: number;
    readonly from: EntryId;
    readonly to: EntryId;
    readonly message: PeerMessage;
}

/** Service routers of several entries, with a simulated clock and a message delay of 1 ms. */
export class SimulatedRouters {
    nowMs = 10_000;
    readonly ids: readonly EntryId[];
    readonly rows: UpstreamRow[];
    readonly routers = new Map<EntryId, ServiceRouter>();
    readonly decisions = new Map<string, RouteDecision>();
    readonly probes: { readonly atMs: number; readonly entry: EntryId; readonly upstreamId: string; }[] = [];
    readonly countEffects: EntryEffect[] = [];
    /** Other entries that each entry considers live. */
    readonly livePeersByEntry = new Map<EntryId, Set<EntryId>>();
    /** Entries whose messages are lost in both directions. */
    readonly isolatedEntries = new Set<EntryId>();
    /** Whether an instance answers its probes; each probe ends immediately. */
    isProbeSuccessful: (upstreamId: string) => boolean = () => true;
    catalogue: Catalogue;
    private inFlightMessages: InFlightMessage[] = [];
    private startCount = 0;

    constructor(private readonly options: SimulatedRoutersOptions) {
        this.ids = Array.from({ length: options.entries }, (_unused, index) => `e${index}`);
        this.rows = Array.from({ length: options.upstreams }, (_unused, index) => this.makeRow(index));
        this.catalogue = this.makeCatalogue(1, options.service, options.limits);
        this.ids.forEach(id => this.livePeersByEntry.set(id, new Set(this.ids.filter(other => other !== id))));
        this.ids.forEach(id => this.restart(id));
    }

    setService(service: Partial<Service>, limits: Partial<Service["limits"]> = {}): void {
        this.catalogue = this.makeCatalogue(this.catalogue.revision + 1, service, limits);
    }

    /** Replaces the router of an entry with a new one that has no state. */
    restart(id: EntryId): void {
        const router = new ServiceRouter({
            selfId: id,
            peers: {
                selfId: id,
                availabilityZone: zones[this.ids.indexOf(id) % zones.length],
                livePeers: () => [...this.livePeersByEntry.get(id)!].map(other => peerRow(other)),
                findPeer: other => peerRow(other),
            },
            upstreams: {
                eligibleUpstreams: () => this.rows,
                findUpstream: (_service, upstreamId) => this.rows.find(row => row.announcement.id === upstreamId),
            },
            catalogue: () => this.catalogue,
            random: new SeededRandom(++this.startCount),
        });
        this.routers.set(id, router);
    }

    /** Stops an entry: no other entry considers it live, and messages to it are lost. */
    kill(id: EntryId): void {
        this.routers.delete(id);
        this.livePeersByEntry.forEach(others => others.delete(id));
    }

    ownerId(seenBy: EntryId = this.ids[0]): EntryId {
        return this.routers.get(seenBy)!.ownerOf("orders", this.nowMs)!;
    }

    /** Requests an upstream; the decision appears in `decisions`, possibly later. */
    route(entry: EntryId, attemptId: string, avoid: readonly string[] = [], remainingMs = 5000): RouteDecision {
        const request = {
            id: attemptId,
            service: "orders",
            method: "GET",
            deadlineAtMs: this.nowMs + remainingMs,
        } as RequestMetadata;
        const decision = this.routers.get(entry)!.route(attemptId, request, avoid, this.nowMs);
        if (decision.kind !== "wait") {
            this.decisions.set(attemptId, decision);
        }
        this.flush(entry);
        return decision;
    }

    finish(entry: EntryId, attemptId: string, outcome: Partial<AttemptOutcome> = {}): void {
        this.routers.get(entry)?.finish({
            attemptId,
            service: "orders",
            upstreamId: this.upstreamOf(attemptId) ?? "",
            latencyMs: 5,
            failure: undefined,
            status: 200,
            load: undefined,
            ...outcome,
        }, this.nowMs);
        this.flush(entry);
    }

    /** Cancels a waiting attempt. */
    abandon(entry: EntryId, attemptId: string): void {
        this.routers.get(entry)?.abandon(attemptId, this.nowMs);
        this.flush(entry);
    }

    upstreamOf(attemptId: string): string | undefined {
        const decision = this.decisions.get(attemptId);
        return decision?.kind === "upstream" ? decision.upstreamId : undefined;
    }

    /** Returns the given attempts that were assigned an upstream. */
    filterGranted(attemptIds: readonly string[]): string[] {
        return attemptIds.filter(id => this.upstreamOf(id) !== undefined);
    }

    /** Advances the clock; `step` runs every millisecond. */
    run(durationMs: number, step: () => void = () => undefined): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs++;
            this.deliver();
            if (this.nowMs % tickMs === 0) {
                for (const [id, router] of [...this.routers]) {
                    router.tick(this.nowMs);
                    this.flush(id);
                }
            }
            step();
        }
    }

    private deliver(): void {
        const due = this.inFlightMessages.filter(pendingMessage => pendingMessage.dueAtMs <= this.nowMs);
        this.inFlightMessages = this.inFlightMessages.filter(pendingMessage => pendingMessage.dueAtMs > this.nowMs);
        for (const { from, to, message } of due) {
            if (!this.isolatedEntries.has(from) && !this.isolatedEntries.has(to)) {
                this.routers.get(to)?.handlePeerMessage(from, message, this.nowMs);
                this.flush(to);
            }
        }
    }

    private flush(entry: EntryId): void {
        const router = this.routers.get(entry);
        router?.takeDecisions().forEach(({ attemptId, decision }) => this.decisions.set(attemptId, decision));
        for (const effect of router?.takeEffects() ?? []) {
            if (effect.kind === "send-peer") {
                const { to, message } = effect;
                this.inFlightMessages.push({ dueAtMs: this.nowMs + messageDelayMs, from: entry, to, message });
            }
            else if (effect.kind === "probe") {
                const { upstreamId } = effect;
                this.probes.push({ atMs: this.nowMs, entry, upstreamId });
                const load = { inFlight: 0, state: "ready", incarnation: 1 } as const;
                const answer = this.isProbeSuccessful(upstreamId) ? load : undefined;
                router!.finishProbe("orders", upstreamId, 6, answer, this.nowMs);
            }
            else if (effect.kind === "count") {
                this.countEffects.push(effect);
            }
        }
    }

    private makeRow(index: number): UpstreamRow {
        const announcement = {
            id: `u${index}`,
            service: "orders",
            address: `127.0.0.1:${9000 + index}`,
            availabilityZone: zones[index % zones.length],
            slots: this.options.slots,
            state: "ready",
            incarnation: 1,
            sequence: 1,
            leaseMs: 2500,
        } as const;
        return { announcement, evidenceAtMs: 0, readySinceMs: 0 };
    }

    private makeCatalogue(
        revision: number,
        service: Partial<Service> = {},
        limits: Partial<Service["limits"]> = {},
    ): Catalogue {
        const orders: Service = {
            name: "orders",
            owner: "test",
            class: "interactive",
            policy: "slot-grants",
            measuringBudgetMsPerSecond: 20,
            probeCostMs: 6,
            retryRatio: 0.1,
            hedging: { enabled: false, afterQuantile: 0.95 },
            idempotentMethods: ["GET"],
            rampMs: 0,
            ...service,
            limits: {
                maxInFlight: 10_000,
                requestsPerSecond: 1_000_000,
                maxQueuedPerEntry: 1000,
                maxPerCallerPerEntry: 1000,
                maxBodyBytes: 1000,
                defaultDeadlineMs: 5000,
                ...limits,
            },
        };
        const vm = (id: EntryId, index: number) => ({
            id,
            region: "test",
            availabilityZone: zones[index % zones.length],
            address: id,
            peerAddress: id,
            state: "active" as const,
        });
        const entryVms = Object.fromEntries(this.ids.map((id, index) => [id, vm(id, index)]));
        return { ...emptyCatalogue, revision, services: { orders }, entryVms };
    }
}

function peerRow(id: EntryId): PeerRow {
    return { id, availabilityZone: "a", incarnation: 1, revision: 1, isDraining: false, lastHeartbeatAtMs: 0 };
}
