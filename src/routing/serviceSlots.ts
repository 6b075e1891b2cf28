import type { Service } from "../catalogue/model.js";
import type { AttemptId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import { ServiceMeasuring } from "../measuring/serviceMeasuring.js";
import type { LoadReport, RequestFacts } from "../requests/model.js";
import type { AttemptOutcome, RouteDecision } from "../requests/router.js";
import { SampleKind } from "./instanceHealth.js";
import { OwnerLookup } from "./ownership.js";
import type { ServiceSlotsContext } from "./routingContext.js";
import { refuse, ServiceRoute } from "./serviceRoute.js";
import { SharedReports } from "./sharedReports.js";
import { type PendingAttempt, SlotClient } from "./slotClient.js";
import { acquireParamsOf, SlotLink } from "./slotLink.js";
import {
    type AcquireParams,
    type GrantParams,
    type HeldParams,
    type ReleaseParams,
    type ReportParams,
    SlotMethod,
} from "./slotMessages.js";
import { SlotOwner } from "./slotOwner.js";

const heldIntervalMs = 250;

/** One service at one entry: asks the owner for slots, or is the owner, and falls back to the local view. */
export class ServiceSlots {
    readonly local: ServiceRoute;
    private owner: SlotOwner | undefined;
    private client: SlotClient | undefined;
    private readonly measuring: ServiceMeasuring;
    private readonly reports: SharedReports;
    private readonly link: SlotLink;
    private readonly ownerLookup: OwnerLookup;
    private heldSentAtMs = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly name: ServiceName,
        private readonly context: ServiceSlotsContext,
        startedAtMs: number,
        nowMs: number,
    ) {
        this.local = new ServiceRoute(name, context, nowMs);
        this.measuring = new ServiceMeasuring(name, context, startedAtMs);
        this.reports = new SharedReports(name, this.local);
        this.link = new SlotLink(context.emit);
        this.ownerLookup = new OwnerLookup(name);
    }

    /** The entry that owns the service, as seen here. */
    ownerId(nowMs: number): EntryId | undefined {
        return this.ownerLookup.ownerId(this.context.roster(nowMs));
    }

    measuringSpentMsPerSecond(nowMs: number): number {
        return this.measuring.spentMsPerSecond(nowMs);
    }

    route(attemptId: AttemptId, request: RequestFacts, avoid: readonly UpstreamId[], nowMs: number): RouteDecision {
        const service = this.local.service!;
        const isRetry = avoid.length > 0;
        const decision = this.local.policyOf(service).usesOwner
            ? this.routeByOwner(service, { attemptId, request, avoid, askedAtMs: nowMs, isQueued: false }, nowMs)
            : this.local.chooseLocally(service, attemptId, avoid, isRetry, nowMs);
        if (!isRetry && decision.kind !== "refuse") {
            this.local.retries.countRequest(service.retryRatio);
        }
        return decision;
    }

    abandon(attemptId: AttemptId, nowMs: number): void {
        // The attempt may have got a slot that its request has not learned of yet.
        if (this.client?.remove(attemptId) || this.local.giveBack(attemptId, nowMs)) {
            this.sendRelease(attemptId, SampleKind.unused, 0, nowMs);
        }
    }

    finish(outcome: AttemptOutcome, nowMs: number): void {
        const kind = this.local.end(outcome, nowMs);
        if (kind !== undefined) {
            this.sendRelease(outcome.attemptId, kind, outcome.latencyMs, nowMs);
        }
    }

    finishProbe(upstreamId: UpstreamId, load: LoadReport | undefined, nowMs: number): void {
        this.measuring.finish(upstreamId, load !== undefined, nowMs);
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
        this.measure(service, nowMs);
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
        if (client === undefined || !client.shouldAsk(nowMs)) {
            return this.decideLocally(service, attempt, nowMs);
        }
        client.add(attempt);
        const params = acquireParamsOf(service, attempt, this.context.availabilityZone, nowMs);
        if (this.owner === undefined) {
            this.link.acquire(client.ownerId, params);
            return { kind: "wait" };
        }
        const grant = this.owner.acquire(this.context.selfId, params, nowMs);
        return this.decisionOf(grant, nowMs) ?? { kind: "wait" };
    }

    /** Decision for an attempt of this entry by an owner's answer; undefined when there is none yet. */
    private decisionOf(grant: GrantParams, nowMs: number): RouteDecision | undefined {
        const { attemptId, decision } = grant;
        const attempt = this.client?.answer(attemptId, decision.kind === "queued", nowMs);
        if (attempt === undefined) {
            // The attempt fell back or was abandoned before the grant arrived.
            if (decision.kind === "upstream") {
                this.sendRelease(attemptId, SampleKind.unused, 0, nowMs);
            }
            return undefined;
        }
        if (decision.kind === "refuse" && decision.reason === "limit") {
            this.client?.noteLimit(this.context.catalogue().revision, nowMs);
        }
        const isLost = decision.kind === "upstream" && !this.beginGranted(attemptId, decision.upstreamId, nowMs);
        if (isLost || decision.kind === "none") {
            return this.decideLocally(this.local.service!, attempt, nowMs);
        }
        return decision as RouteDecision;
    }

    /** Uses a granted slot; false when the upstream is gone or draining. */
    private beginGranted(attemptId: AttemptId, upstreamId: UpstreamId, nowMs: number): boolean {
        const upstream = this.context.findUpstream(this.name, upstreamId);
        if (upstream === undefined || upstream.announcement.state === "draining") {
            this.sendRelease(attemptId, SampleKind.unused, 0, nowMs);
            return false;
        }
        this.local.begin(attemptId, upstream, nowMs);
        return true;
    }

    private decideLocally(service: Service, attempt: PendingAttempt, nowMs: number): RouteDecision {
        return this.local.chooseLocally(service, attempt.attemptId, attempt.avoid, attempt.avoid.length > 0, nowMs);
    }

    /** Decides for an attempt that the owner did not answer. */
    private fallBack(attempt: PendingAttempt, nowMs: number): void {
        const service = this.local.service;
        if (service !== undefined) {
            this.sendRelease(attempt.attemptId, SampleKind.unused, 0, nowMs);
            this.context.decide(attempt.attemptId, this.decideLocally(service, attempt, nowMs));
        }
    }

    private handleGrant(from: EntryId, grant: GrantParams, nowMs: number): void {
        if (from !== this.client?.ownerId) {
            return;
        }
        const decision = this.decisionOf(grant, nowMs);
        if (decision !== undefined) {
            this.context.decide(grant.attemptId, decision);
        }
    }

    private handleHeld(from: EntryId, held: HeldParams, nowMs: number): void {
        this.measuring.receive(this.local.service!, held.probeMs, nowMs);
        this.owner?.reconcile(from, held, nowMs);
    }

    /** Follows a change of the owner; attempts that wait ask the new one. */
    private updateOwner(nowMs: number): void {
        const ownerId = this.ownerId(nowMs);
        if (ownerId === this.client?.ownerId) {
            return;
        }
        const waiting = this.client?.takeAll() ?? [];
        this.client = ownerId === undefined ? undefined : new SlotClient(ownerId);
        this.owner = ownerId === this.context.selfId ? this.createOwner(nowMs) : undefined;
        const service = this.local.service;
        if (ownerId === undefined || service === undefined) {
            return;
        }
        this.sendHeld(ownerId, true, nowMs);
        for (const attempt of waiting) {
            const decision = this.routeByOwner(service, { ...attempt, askedAtMs: nowMs, isQueued: false }, nowMs);
            if (decision.kind !== "wait") {
                this.context.decide(attempt.attemptId, decision);
            }
        }
    }

    private createOwner(nowMs: number): SlotOwner {
        const { selfId } = this.context;
        return new SlotOwner({
            random: this.context.random,
            service: () => this.local.service!,
            eligible: atMs => this.context.eligible(this.name, atMs),
            livePeerIds: this.context.livePeerIds,
            isSelf: id => id === selfId,
            sendGrant: (to, grant, atMs) => this.deliverGrant(to, grant, atMs),
            sendSync: to => this.link.sync(to, { service: this.name }),
        }, nowMs);
    }

    private deliverGrant(to: EntryId, grant: GrantParams | undefined, nowMs: number): void {
        if (grant !== undefined && to === this.context.selfId) {
            this.handleGrant(to, grant, nowMs);
        }
        else if (grant !== undefined) {
            this.link.grant(to, grant);
        }
    }

    private measure(service: Service, nowMs: number): void {
        const { usesOwner, usesSharedReports } = this.local.policyOf(service);
        if (this.owner !== undefined) {
            const health = usesOwner ? this.owner.health : this.local.health;
            this.measuring.probe(service, health, usesSharedReports, nowMs);
        }
        const reports = usesSharedReports ? this.reports.takeNew(nowMs) : undefined;
        if (reports !== undefined) {
            this.context.livePeerIds(nowMs).forEach(id => this.link.report(id, reports));
        }
    }

    /** Tells an entry which slots are in use here; the owner also gets the share of the measuring budget. */
    private sendHeld(to: EntryId, isOwnerAccepted: boolean, nowMs: number): void {
        const service = this.local.service;
        if (service === undefined) {
            return;
        }
        const slots = this.local.heldSlots();
        const probeMs = isOwnerAccepted ? this.measuring.takeShare(service, this.context.roster(nowMs), nowMs) : 0;
        this.heldSentAtMs = isOwnerAccepted ? nowMs : this.heldSentAtMs;
        const held: HeldParams = { service: this.name, slots, isOwnerAccepted, probeMs };
        if (to === this.context.selfId) {
            this.handleHeld(to, held, nowMs);
        }
        else {
            this.link.held(to, held);
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
            this.link.release(this.client.ownerId, params);
        }
    }
}
