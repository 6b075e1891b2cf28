import { type Catalogue } from "../catalogue/model.js";
import type { UpstreamStatus } from "../control/operatorApi.js";
import type { AttemptId, EntryId, ServiceName } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Verdict } from "../core/verdict.js";
import { ConfigLease } from "../membership/configLease.js";
import { PeerTable } from "../membership/peerTable.js";
import { UpstreamTable } from "../membership/upstreamTable.js";
import { limitVerdictToSubmission } from "../requests/answers.js";
import type { ClaimSettings } from "../requests/claimProtocol.js";
import { RequestLifecycle } from "../requests/lifecycle.js";
import { AttemptFailure, type AttemptTarget, type GeneratedAnswer, type RequestMetadata } from "../requests/model.js";
import { isKeyed } from "../requests/verdicts.js";
import { ServiceRouter } from "../routing/serviceRouter.js";
import { type AddressAnswer, listEntries } from "./addressAnswer.js";
import { ConfigSync } from "./configSync.js";
import type { EntryEffect, EntryEvent, PeerMessage } from "./messages.js";
import { PeerSync } from "./peerSync.js";

/** Options of `EntryCore`. */
export interface EntryCoreOptions {
    readonly id: EntryId;
    readonly region: string;
    readonly availabilityZone: string;
    /** Increases with each start of the entry. */
    readonly incarnation: number;
    /** `host:port` for callers and upstreams. */
    readonly address: string;
    /** `host:port` for other processes of the system. */
    readonly peerAddress: string;
    readonly random: RandomSource;
    readonly claims?: Partial<ClaimSettings>;
}

interface DispatchedAttempt {
    readonly target: AttemptTarget;
    sentAtMs: number | undefined;
}

/** Problem that an entry reports until a control VM has answered it with the confirmation of a quorum. */
export const noQuorumProblem = "no quorum of control VMs has answered since the start";

/** Answer while the catalogue revision is not confirmed. Whether the service exists is not known then. */
export const unconfirmedAnswer: GeneratedAnswer = {
    status: 503,
    verdict: Verdict.notRun,
    reason: "configuration-unconfirmed",
    detail: "This entry cannot confirm that its configuration is in force.",
    retryAfterMs: 500,
};

/** Decision logic of an entry. Reads no clock and performs no I/O; effects are returned for the shell to perform. */
export class EntryCore {
    readonly upstreams = new UpstreamTable();
    readonly peers: PeerTable;
    readonly config: ConfigLease;
    private readonly router: ServiceRouter;
    private readonly lifecycle: RequestLifecycle;
    private readonly configSync: ConfigSync;
    private readonly peerSync: PeerSync;
    private readonly attempts = new Map<AttemptId, DispatchedAttempt>();
    private isShuttingDown = false;

    constructor(private readonly options: EntryCoreOptions) {
        const { id, region, random } = options;
        this.peers = new PeerTable(options);
        this.config = new ConfigLease(id, region);
        const shared = {
            selfId: id,
            peers: this.peers,
            upstreams: this.upstreams,
            catalogue: () => this.config.catalogue,
            random,
        };
        this.router = new ServiceRouter(shared);
        this.lifecycle = new RequestLifecycle({
            ...shared,
            incarnation: options.incarnation,
            router: this.router,
            claims: options.claims,
            firstControlRevision: () => this.config.firstControlRevision,
        });
        this.configSync = new ConfigSync(this.config, this.peers, catalogue => this.onCatalogue(catalogue));
        this.peerSync = new PeerSync(options, this.peers, this.upstreams);
    }

    /** Requests in flight. */
    get inFlight(): number {
        return this.lifecycle.inFlight;
    }

    /** Whether this entry is draining, by a `drain` event or by its state in the catalogue. Address answers omit it. */
    get isDraining(): boolean {
        return this.isShuttingDown || this.config.catalogue.entryVms[this.options.id]?.state === "draining";
    }

    /** Whether new requests are accepted: the catalogue revision is confirmed to be in force. */
    isServing(nowMs: number): boolean {
        return this.config.isConfirmed(nowMs);
    }

    /** Returns the entries for a caller, in the order to try. */
    listEntries(nowMs: number): AddressAnswer {
        const isListed = this.isServing(nowMs) && !this.isDraining;
        return listEntries(isListed ? this.options : undefined, this.peers.livePeers(nowMs), this.options.random);
    }

    /**
     * Entry addresses to which an upstream sends its next announcements: this entry unless it is draining, and a peer
     * that is not draining, of another availability zone if possible.
     */
    listRenewalAddresses(nowMs: number): readonly string[] {
        const peers = this.peers.livePeers(nowMs).filter(peer => !peer.isDraining);
        const others = peers.filter(peer => peer.availabilityZone !== this.options.availabilityZone);
        const candidates = others.length > 0 ? others : peers;
        const other = candidates.length > 0 ? candidates[this.options.random.nextInt(candidates.length)] : undefined;
        const own = this.isDraining ? [] : [this.options.address];
        return other === undefined ? own : [...own, other.address];
    }

    /** Upstreams as `figwharf status` shows them. */
    listUpstreamStatus(nowMs: number): readonly UpstreamStatus[] {
        return this.upstreams.allUpstreams().map(({ announcement, evidenceAtMs }) => ({
            service: announcement.service,
            id: announcement.id,
            address: announcement.address,
            availabilityZone: announcement.availabilityZone,
            state: announcement.state,
            slots: announcement.slots,
            incarnation: announcement.incarnation,
            // Infinite without evidence, which JSON would turn into null.
            evidenceAgeMs: Math.min(nowMs - evidenceAtMs, Number.MAX_SAFE_INTEGER),
        }));
    }

    /** Problems of this entry as `figwharf status` shows them. */
    listProblems(nowMs: number): readonly string[] {
        const problems = this.isServing(nowMs) ? [] : ["the configuration is not confirmed"];
        return this.config.firstControlRevision === undefined ? [...problems, noQuorumProblem] : problems;
    }

    /** Time that upstreams spend on this entry's probes, in milliseconds per second, by service. */
    measuringSpentMsPerSecond(nowMs: number): Readonly<Record<ServiceName, number>> {
        const names = Object.keys(this.config.catalogue.services);
        return Object.fromEntries(names.map(name => [name, this.router.measuringSpentMsPerSecond(name, nowMs)]));
    }

    /** Applies an event and returns the resulting effects. */
    handle(event: EntryEvent, nowMs: number): EntryEffect[] {
        const effects = this.apply(event, nowMs);
        effects.forEach(effect => this.trackAttempt(effect));
        return effects;
    }

    /** Handles a `tick` event. Must be called every few milliseconds. */
    tick(nowMs: number): EntryEffect[] {
        return this.handle({ kind: "tick" }, nowMs);
    }

    private onTick(nowMs: number): EntryEffect[] {
        this.upstreams.tick(nowMs);
        this.peers.isSelfDraining = this.isDraining;
        this.peers.tick(nowMs);
        return [
            ...this.configSync.tick(nowMs),
            ...this.peerSync.tick(this.heartbeatState(nowMs), nowMs),
            ...this.lifecycle.tick(nowMs),
        ];
    }

    private apply(event: EntryEvent, nowMs: number): EntryEffect[] {
        switch (event.kind) {
            case "request":
                return this.onRequest(event.request, nowMs);
            case "attempt-sent":
                return this.onAttemptSent(event.attemptId, nowMs);
            case "attempt-head":
                this.onAttemptHead(event);
                return [...this.peerSync.sendChanges(nowMs), ...this.lifecycle.handle(event, nowMs)];
            case "attempt-complete":
            case "attempt-failed":
                this.attempts.delete(event.attemptId);
                return this.lifecycle.handle(event, nowMs);
            case "announcement":
                this.upstreams.announce(event.announcement, nowMs - (event.ageMs ?? 0), nowMs);
                return [...this.peerSync.sendChanges(nowMs), ...this.lifecycle.applyPendingDecisions(nowMs)];
            case "probe-ended":
                return this.onProbeEnded(event, nowMs);
            case "peer-message":
                return this.onPeerMessage(event.from, event.message, nowMs);
            case "control-answer":
                return this.configSync.handleControlAnswer(event);
            case "drain":
                this.isShuttingDown = true;
                this.peers.isSelfDraining = true;
                return this.peerSync.sendHeartbeats(this.heartbeatState(nowMs), nowMs);
            case "tick":
                return this.onTick(nowMs);
            default:
                return this.lifecycle.handle(event, nowMs);
        }
    }

    private onRequest(request: RequestMetadata, nowMs: number): EntryEffect[] {
        if (this.isServing(nowMs)) {
            return this.lifecycle.handle({ kind: "request", request }, nowMs);
        }
        const { id, service, method, idempotencyKey } = request;
        const methods = this.config.catalogue.services[service]?.idempotentMethods;
        const needsClaim = isKeyed(method, idempotencyKey, methods);
        const answer = needsClaim ? limitVerdictToSubmission(unconfirmedAnswer) : unconfirmedAnswer;
        return [{ kind: "answer", requestId: id, answer }];
    }

    /**
     * Called just before the head is written. Checks the upstream again, because an attempt can wait for a connection
     * for longer than the evidence of the upstream stays valid.
     */
    private onAttemptSent(attemptId: AttemptId, nowMs: number): EntryEffect[] {
        const attempt = this.attempts.get(attemptId);
        if (attempt !== undefined && !this.isStillEligible(attempt.target, nowMs)) {
            this.attempts.delete(attemptId);
            const failure = AttemptFailure.cancelled;
            const effects = this.lifecycle.handle({ kind: "attempt-failed", attemptId, failure }, nowMs);
            return [{ kind: "cancel-attempt", attemptId }, ...effects];
        }
        if (attempt !== undefined) {
            attempt.sentAtMs = nowMs;
        }
        return this.lifecycle.handle({ kind: "attempt-sent", attemptId }, nowMs);
    }

    private onAttemptHead(event: Extract<EntryEvent, { readonly kind: "attempt-head"; }>): void {
        const attempt = this.attempts.get(event.attemptId);
        if (event.load === undefined || attempt?.sentAtMs === undefined) {
            return;
        }
        const targetUpstream = this.upstreams.findByAddress(attempt.target.address);
        if (targetUpstream !== undefined && targetUpstream.announcement.id === attempt.target.upstreamId) {
            // The upstream measured its load at an unknown time after `sentAtMs`, which is therefore a lower bound.
            this.upstreams.applyLoadReport(
                targetUpstream.announcement.service,
                targetUpstream.announcement.id,
                event.load,
                attempt.sentAtMs,
            );
        }
    }

    private isStillEligible(target: AttemptTarget, nowMs: number): boolean {
        return this.isServing(nowMs) && this.upstreams.isEligibleTarget(target.upstreamId, target.address, nowMs);
    }

    private onProbeEnded(event: Extract<EntryEvent, { readonly kind: "probe-ended"; }>, nowMs: number): EntryEffect[] {
        const { service, upstreamId, latencyMs, load } = event;
        if (load !== undefined) {
            this.upstreams.applyLoadReport(service, upstreamId, load, nowMs - latencyMs);
        }
        this.router.finishProbe(service, upstreamId, latencyMs, load, nowMs);
        return [...this.peerSync.sendChanges(nowMs), ...this.lifecycle.applyPendingDecisions(nowMs)];
    }

    private onPeerMessage(from: EntryId, message: PeerMessage, nowMs: number): EntryEffect[] {
        const [methodPrefix] = message.method.split(".");
        switch (methodPrefix) {
            case "peer":
            case "upstreams":
                return [
                    ...this.peerSync.handle(from, message, nowMs),
                    ...this.lifecycle.applyPendingDecisions(nowMs),
                ];
            case "config":
                return this.configSync.handlePeerMessage(from, message, nowMs);
            case "slot":
                this.router.handlePeerMessage(from, message, nowMs);
                return this.lifecycle.applyPendingDecisions(nowMs);
            default:
                return this.lifecycle.handle({ kind: "peer-message", from, message }, nowMs);
        }
    }

    private onCatalogue(catalogue: Catalogue): void {
        this.upstreams.setOverrides(catalogue.upstreamOverrides);
        this.peerSync.setCatalogueEntries(this.config.regionEntryIds());
    }

    private heartbeatState(nowMs: number) {
        return {
            revision: this.config.catalogue.revision,
            isDraining: this.isDraining,
            isServing: this.isServing(nowMs),
        };
    }

    private trackAttempt(effect: EntryEffect): void {
        if (effect.kind === "cancel-attempt") {
            this.attempts.delete(effect.attemptId);
        }
        if (effect.kind === "dispatch") {
            this.attempts.set(effect.target.attemptId, { target: effect.target, sentAtMs: undefined });
        }
    }
}
