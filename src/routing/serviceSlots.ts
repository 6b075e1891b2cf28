import type { Service } from "../catalogue/model.js";
import type { AttemptId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import { ServiceMeasuring } from "../measuring/serviceMeasuring.js";
import type { LoadReport, RequestMetadata } from "../requests/model.js";
import type { AttemptOutcome, RouteDecision } from "../requests/router.js";
import { SampleKind } from "./instanceHealth.js";
import { LocalRouting, refuse } from "./localRouting.js";
import { OwnerCache } from "./ownership.js";
import type { ServiceSlotsContext } from "./routingContext.js";
import { SharedReports } from "./sharedReports.js";
import { type PendingAttempt, SlotClient } from "./slotClient.js";
import {
    type AcquireParams,
    type GrantParams,
    type HeldParams,
    type ReleaseParams,
    type ReportParams,
    SlotMethod,
} from "./slotMessages.js";
import { acquireParamsOf, SlotMessageSender } from "./slotMessageSender.js";
import { SlotOwner } from "./slotOwner.js";

const heldIntervalMs = 250;

/** Routes the attempts of one service: with slots granted by its owner, which may be this entry, or locally. */
export class ServiceSlots {
    readonly local: LocalRouting;
    private owner: SlotOwner | undefined;
    private client: SlotClient | undefined;
    private readonly measuring: ServiceMeasuring;
    private readonly reports: SharedReports;
    private readonly sender: SlotMessageSender;
    private readonly ownerCache: OwnerCache;
    private heldSentAtMs = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly name: ServiceName,
        private readonly context: ServiceSlotsContext,
        startedAtMs: number,
        nowMs: number,
    ) {
        this.local = new LocalRouting(name, context, nowMs);
        this.measuring = new ServiceMeasuring(name, context, startedAtMs);
        this.reports = new SharedReports(name, this.local);
        this.sender = new SlotMessageSender(context.emit);
        this.ownerCache = new OwnerCache(name);
    }

    /** Returns the entry that owns the service, according to this entry's view of its peers. */
    ownerId(nowMs: number): EntryId | undefined {
        return this.ownerCache.ownerId(this.context.activeEntryIds(nowMs));
    }

    measuringSpentMsPerSecond(nowMs: number): number {
        return this.measuring.spentMsPerSecond(nowMs);
    }

    route(attemptId: AttemptId, request: RequestMetadata, avoid: readonly UpstreamId[], nowMs: number): RouteDecision {
        const service = this.local.service!;
        const isRetry = avoid.length > 0;
        const decision = this.local.policyOf(service).usesOwner
            ? this.routeByOwner(service, { attemptId, request, avoid, requestedAtMs: nowMs, isQueued: false }, nowMs)
            : this.local.chooseUpstream(service, attemptId, avoid, isRetry, nowMs);
        if (!isRetry && decision.kind !== "refuse") {
            this.local.retries.countRequest(service.retryRatio);
        }
        return decision;
    }

    abandon(attemptId: AttemptId, nowMs: number): void {
        // The slot may already be granted, by a decision that the request has not received yet.
        if (this.client?.remove(attemptId) || this.local.releaseUnused(attemptId, nowMs)) {
            this.sendRelease(attemptId, SampleKind.unused, 0, nowMs);
        }
    }

    finish(outcome: AttemptOutcome, nowMs: number): void {
        const kind = this.local.finishAttempt(outcome, nowMs);
        if (kind !== undefined) {
            this.sendRelease(outcome.attemptId, kind, outcome.latencyMs, nowMs);
        }
    }

    finishProbe(upstreamId: UpstreamId, load: LoadReport | undefined, nowMs: number): void {
        this.measuring.recordProbeResult(upstreamId, load !== undefined, nowMs);
        if (load !== undefined) {
            this.local.recordReport(upstreamId, load.inFlight, nowMs, nowMs);
        }
    }

    handle(from: EntryId, method: SlotMethod, params: unknown, nowMs: number): void {
        this.updateOwner(nowMs);
        switch (method) {
            case SlotMethod.acquire:
                this.deliverGrant(from, this.owner?.acquire(from, params as AcquireParams, nowMs), nowMs);
                break;
            case SlotMethod.grant:
                this.handleGrant(from, params as GrantParams, nowMs);
                break;
            case SlotMethod.release:
                this.owner?.release(from, params as ReleaseParams, nowMs);
                break;
            case SlotMethod.sync:
                this.sendHeld(from, from === this.ownerId(nowMs), nowMs);
                break;
            case SlotMethod.held:
                this.handleHeld(from, params as HeldParams, nowMs);
                break;
            case SlotMethod.report:
                this.reports.receive(params as ReportParams, nowMs);
                break;
        }
    }

    tick(nowMs: number): void {
        const service = this.local.service!;
        this.updateOwner(nowMs);
        this.local.health.checkOverdue(nowMs);
        this.client?.takeTimedOut(nowMs).forEach(attempt => this.fallBack(attempt, nowMs));
        this.owner?.tick(nowMs);
        if (this.client !== undefined && nowMs - this.heldSentAtMs >= heldIntervalMs) {
            this.sendHeld(this.client.ownerId, true, nowMs);
        }
        this.probeAndShareReports(service, nowMs);
        const isKnown = (id: UpstreamId) => this.context.findUpstream(this.name, id) !== undefined;
        this.local.health.prune(isKnown);
        this.owner?.health.prune(isKnown);
    }

    private routeByOwner(service: Service, attempt: PendingAttempt, nowMs: number): RouteDecision {
        this.updateOwner(nowMs);
        const client = this.client;
        if (client?.isLimited(this.context.catalogue().revision, nowMs)) {
            return refuse("limit", `service ${this.name} is at its limit`, 1);
        }
        if (client === undefined || !client.isOwnerAvailable(nowMs)) {
            return this.routeLocally(service, attempt, nowMs);
        }
        client.add(attempt);
        const params = acquireParamsOf(service, attempt, this.context.availabilityZone, nowMs);
        if (this.owner === undefined) {
            this.sender.acquire(client.ownerId, params);
            return { kind: "wait" };
        }
        const grant = this.owner.acquire(this.context.selfId, params, nowMs);
        return this.decisionOf(grant, nowMs) ?? { kind: "wait" };
    }

    /** Returns the decision that an owner's answer gives for an attempt of this entry; undefined if it gives none. */
    private decisionOf(grant: GrantParams, nowMs: number): RouteDecision | undefined {
        const { attemptId, decision } = grant;
        const attempt = this.client?.handleAnswer(attemptId, decision.kind === "queued", nowMs);
        if (attempt === undefined) {
            // The attempt was routed locally or abandoned before the grant arrived.
            if (decision.kind === "upstream") {
                this.sendRelease(attemptId, SampleKind.unused, 0, nowMs);
            }
            return undefined;
        }
        if (decision.kind === "refuse" && decision.reason === "limit") {
            this.client?.recordLimit(this.context.catalogue().revision, nowMs);
        }
        const isUnusable = decision.kind === "upstream" && !this.startGranted(attemptId, decision.upstreamId, nowMs);
        if (isUnusable || decision.kind === "none") {
            return this.routeLocally(this.local.service!, attempt, nowMs);
        }
        return decision as RouteDecision;
    }

    /** Starts an attempt on a granted slot; returns false when the upstream is unknown or draining. */
    private startGranted(attemptId: AttemptId, upstreamId: UpstreamId, nowMs: number): boolean {
        const upstream = this.context.findUpstream(this.name, upstreamId);
        if (upstream === undefined || upstream.announcement.state === "draining") {
            this.sendRelease(attemptId, SampleKind.unused, 0, nowMs);
            return false;
        }
        this.local.startAttempt(attemptId, upstream, nowMs);
        return true;
    }

    private routeLocally(service: Service, attempt: PendingAttempt, nowMs: number): RouteDecision {
        return this.local.chooseUpstream(service, attempt.attemptId, attempt.avoid, attempt.avoid.length > 0, nowMs);
    }

    /** Routes an attempt locally after its slot request timed out. */
    private fallBack(attempt: PendingAttempt, nowMs: number): void {
        const service = this.local.service;
        if (service !== undefined) {
            this.sendRelease(attempt.attemptId, SampleKind.unused, 0, nowMs);
            this.context.emitDecision(attempt.attemptId, this.routeLocally(service, attempt, nowMs));
        }
    }

    private handleGrant(from: EntryId, grant: GrantParams, nowMs: number): void {
        if (from !== this.client?.ownerId) {
            return;
        }
        const decision = this.decisionOf(grant, nowMs);
        if (decision !== undefined) {
            this.context.emitDecision(grant.attemptId, decision);
        }
    }

    private handleHeld(from: EntryId, held: HeldParams, nowMs: number): void {
        this.measuring.addProbeTime(this.local.service!, held.probeMs, nowMs);
        this.owner?.reconcile(from, held, nowMs);
    }

    /** Applies a change of the owner; pending attempts request slots from the new owner. */
    private updateOwner(nowMs: number): void {
        const ownerId = this.ownerId(nowMs);
        if (ownerId === this.client?.ownerId) {
            return;
        }
        const pendingAttempts = this.client?.takeAll() ?? [];
        this.client = ownerId === undefined ? undefined : new SlotClient(ownerId);
        this.owner = ownerId === this.context.selfId ? this.createOwner(nowMs) : undefined;
        const service = this.local.service;
        if (ownerId === undefined || service === undefined) {
            return;
        }
        this.sendHeld(ownerId, true, nowMs);
        for (const attempt of pendingAttempts) {
            const decision = this.routeByOwner(service, { ...attempt, requestedAtMs: nowMs, isQueued: false }, nowMs);
            if (decision.kind !== "wait") {
                this.context.emitDecision(attempt.attemptId, decision);
            }
        }
    }

    private createOwner(nowMs: number): SlotOwner {
        const { selfId } = this.context;
        return new SlotOwner({
            random: this.context.random,
            service: () => this.local.service!,
            listEligible: atMs => this.context.listEligible(this.name, atMs),
            livePeerIds: this.context.livePeerIds,
            isSelf: id => id === selfId,
            sendGrant: (to, grant, atMs) => this.deliverGrant(to, grant, atMs),
            sendSync: to => this.sender.sync(to, { service: this.name }),
        }, nowMs);
    }

    private deliverGrant(to: EntryId, grant: GrantParams | undefined, nowMs: number): void {
        if (grant !== undefined && to === this.context.selfId) {
            this.handleGrant(to, grant, nowMs);
        }
        else if (grant !== undefined) {
            this.sender.grant(to, grant);
        }
    }

    private probeAndShareReports(service: Service, nowMs: number): void {
        const { usesOwner, usesSharedReports } = this.local.policyOf(service);
        if (this.owner !== undefined) {
            const health = usesOwner ? this.owner.health : this.local.health;
            this.measuring.probe(service, health, usesSharedReports, nowMs);
        }
        const reports = usesSharedReports ? this.reports.takeNew(nowMs) : undefined;
        if (reports !== undefined) {
            this.context.livePeerIds(nowMs).forEach(id => this.sender.report(id, reports));
        }
    }

    /** Reports the slots used by this entry; the owner also receives this entry's share of the measuring budget. */
    private sendHeld(to: EntryId, isOwnerAccepted: boolean, nowMs: number): void {
        const service = this.local.service;
        if (service === undefined) {
            return;
        }
        const slots = this.local.heldSlots();
        const probeMs = isOwnerAccepted
            ? this.measuring.takeShare(service, this.context.activeEntryIds(nowMs), nowMs)
            : 0;
        this.heldSentAtMs = isOwnerAccepted ? nowMs : this.heldSentAtMs;
        const held: HeldParams = { service: this.name, slots, isOwnerAccepted, probeMs };
        if (to === this.context.selfId) {
            this.handleHeld(to, held, nowMs);
        }
        else {
            this.sender.held(to, held);
        }
    }

    private sendRelease(attemptId: AttemptId, kind: SampleKind, latencyMs: number, nowMs: number): void {
        const service = this.local.service;
        if (service === undefined || this.client === undefined || !this.local.policyOf(service).usesOwner) {
            return;
        }
        const params: ReleaseParams = { service: this.name, attemptId, kind, latencyMs };
        if (this.owner !== undefined) {
            this.owner.release(this.context.selfId, params, nowMs);
        }
        else {
            this.sender.release(this.client.ownerId, params);
        }
    }
}
