import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { EntryEffect, PeerMessage } from "../entry/messages.js";
import type { PeerView, UpstreamView } from "../membership/view.js";
import type { LoadReport, RequestMetadata } from "../requests/model.js";
import { type AttemptOutcome, type DelayedDecision, type RouteDecision, Router } from "../requests/router.js";
import { refuse } from "./localRouting.js";
import { listActiveEntryIds } from "./ownership.js";
import { ServiceSlots } from "./serviceSlots.js";
import type { SlotMethod } from "./slotMessages.js";

const activeEntryIdsCacheMs = 20;

/** Options of `ServiceRouter`. */
export interface ServiceRouterOptions {
    readonly selfId: EntryId;
    readonly peers: PeerView;
    readonly upstreams: UpstreamView;
    readonly catalogue: () => Catalogue;
    readonly random: RandomSource;
}

/** Routes the attempts of all services, each with its configured policy. */
export class ServiceRouter extends Router {
    private readonly services = new Map<ServiceName, ServiceSlots>();
    private readonly serviceByAttempt = new Map<AttemptId, ServiceName>();
    private effects: EntryEffect[] = [];
    private decisions: DelayedDecision[] = [];
    private activeEntryIds: readonly EntryId[] = [];
    private activeEntryIdsAtMs = Number.NEGATIVE_INFINITY;
    private startedAtMs: number | undefined;

    constructor(private readonly options: ServiceRouterOptions) {
        super();
    }

    route(attemptId: AttemptId, request: RequestMetadata, avoid: readonly UpstreamId[], nowMs: number): RouteDecision {
        if (this.options.catalogue().services[request.service] === undefined) {
            return refuse("unknown-service", `service ${request.service} is not in the catalogue`);
        }
        if (nowMs >= request.deadlineAtMs) {
            return refuse("deadline", "the deadline has passed", 0);
        }
        const decision = this.slotsOf(request.service, nowMs).route(attemptId, request, avoid, nowMs);
        if (decision.kind !== "refuse") {
            this.serviceByAttempt.set(attemptId, request.service);
        }
        return decision;
    }

    abandon(attemptId: AttemptId, nowMs: number): void {
        const service = this.serviceByAttempt.get(attemptId);
        if (service !== undefined) {
            this.slotsOf(service, nowMs).abandon(attemptId, nowMs);
            this.serviceByAttempt.delete(attemptId);
            this.decisions = this.decisions.filter(delayed => delayed.attemptId !== attemptId);
        }
    }

    finish(outcome: AttemptOutcome, nowMs: number): void {
        if (this.serviceByAttempt.delete(outcome.attemptId)) {
            this.slotsOf(outcome.service, nowMs).finish(outcome, nowMs);
        }
    }

    takeRetry(service: ServiceName, nowMs: number): boolean {
        return this.slotsOf(service, nowMs).local.retries.take();
    }

    hedgeDelayMs(request: RequestMetadata, nowMs: number): number | undefined {
        return this.slotsOf(request.service, nowMs).local.hedgeDelayMs(request, nowMs);
    }

    handlePeerMessage(from: EntryId, message: PeerMessage, nowMs: number): void {
        const params = message.params as { readonly service: ServiceName; };
        if (this.options.catalogue().services[params.service] !== undefined) {
            this.slotsOf(params.service, nowMs).handle(from, message.method as SlotMethod, params, nowMs);
        }
    }

    finishProbe(
        service: ServiceName,
        upstreamId: UpstreamId,
        _latencyMs: number,
        load: LoadReport | undefined,
        nowMs: number,
    ): void {
        this.slotsOf(service, nowMs).finishProbe(upstreamId, load, nowMs);
    }

    tick(nowMs: number): void {
        this.startedAtMs ??= nowMs;
        const { services } = this.options.catalogue();
        Object.keys(services).forEach(name => this.slotsOf(name, nowMs).tick(nowMs));
        for (const [name, slots] of this.services) {
            if (services[name] === undefined && slots.local.heldSlots().length === 0) {
                this.services.delete(name);
            }
        }
    }

    takeDecisions(): readonly DelayedDecision[] {
        const taken = this.decisions;
        this.decisions = [];
        return taken;
    }

    takeEffects(): readonly EntryEffect[] {
        const taken = this.effects;
        this.effects = [];
        return taken;
    }

    /** Returns this entry's spending on probes of a service in upstream milliseconds per second, over the last 10 s. */
    measuringSpentMsPerSecond(service: ServiceName, nowMs: number): number {
        return this.services.get(service)?.measuringSpentMsPerSecond(nowMs) ?? 0;
    }

    /** Returns the entry that owns the service, according to this entry's view of its peers. */
    ownerOf(service: ServiceName, nowMs: number): EntryId | undefined {
        return this.slotsOf(service, nowMs).ownerId(nowMs);
    }

    private slotsOf(service: ServiceName, nowMs: number): ServiceSlots {
        let slots = this.services.get(service);
        if (slots === undefined) {
            this.startedAtMs ??= nowMs;
            slots = this.createSlots(service, nowMs);
            this.services.set(service, slots);
        }
        return slots;
    }

    private createSlots(service: ServiceName, nowMs: number): ServiceSlots {
        const { selfId, peers, upstreams, catalogue, random } = this.options;
        return new ServiceSlots(
            service,
            {
                selfId,
                availabilityZone: peers.availabilityZone,
                random,
                catalogue,
                activeEntryIds: atMs => this.getActiveEntryIds(atMs),
                listEligible: (name, atMs) => upstreams.eligibleUpstreams(name, atMs),
                livePeerIds: atMs => peers.livePeers(atMs).map(peer => peer.id),
                findUpstream: (name, id) => upstreams.findUpstream(name, id),
                emit: effect => this.effects.push(effect),
                emitDecision: (attemptId, decision) => this.emitDecision(attemptId, decision),
            },
            this.startedAtMs ?? nowMs,
            nowMs,
        );
    }

    private emitDecision(attemptId: AttemptId, decision: RouteDecision): void {
        if (decision.kind === "refuse") {
            this.serviceByAttempt.delete(attemptId);
        }
        this.decisions.push({ attemptId, decision });
    }

    private getActiveEntryIds(nowMs: number): readonly EntryId[] {
        if (nowMs - this.activeEntryIdsAtMs >= activeEntryIdsCacheMs) {
            this.activeEntryIds = listActiveEntryIds(this.options.peers, this.options.catalogue(), nowMs);
            this.activeEntryIdsAtMs = nowMs;
        }
        return this.activeEntryIds;
    }
}
