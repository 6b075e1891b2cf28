import type { Service } from "../catalogue/model.js";
import { PolicyName } from "../catalogue/model.js";
import type { AttemptId, ServiceName, UpstreamId } from "../core/ids.js";
import type { UpstreamRow } from "../membership/view.js";
import type { RequestMetadata } from "../requests/model.js";
import type { AttemptOutcome, RouteDecision } from "../requests/router.js";
import { InstanceHealth, SampleKind } from "./instanceHealth.js";
import { LatencyWindow } from "./latencyWindow.js";
import { LeastOutstandingPolicy, RandomPolicy, RoundRobinPolicy } from "./localPolicies.js";
import { localShare } from "./ownership.js";
import { effectiveSlots } from "./ramp.js";
import { RateBucket } from "./rateBucket.js";
import { RetryBudget } from "./retryBudget.js";
import type { LocalRoutingContext } from "./routingContext.js";
import type { Candidate, RoutingPolicy } from "./routingPolicy.js";
import { SlotGrantsPolicy } from "./slotGrantsPolicy.js";
import type { HeldSlot } from "./slotMessages.js";
import { TwoChoicesPolicy } from "./twoChoicesPolicy.js";

const retryAfterNoUpstreamMs = 1000;
const minHedgeDelayMs = 1;

/** Tracks this entry's attempts of one service, and routes them by its own statistics when no owner is used. */
export class LocalRouting {
    readonly health = new InstanceHealth();
    readonly retries = new RetryBudget();
    private readonly attempts = new Map<AttemptId, UpstreamId>();
    private readonly latencies = new LatencyWindow();
    private readonly rate: RateBucket;
    private policyName: PolicyName | undefined;
    private currentPolicy: RoutingPolicy = new LeastOutstandingPolicy();

    constructor(readonly name: ServiceName, private readonly context: LocalRoutingContext, nowMs: number) {
        this.rate = new RateBucket(nowMs);
    }

    /** Configuration of the service; undefined when the catalogue no longer has it. */
    get service(): Service | undefined {
        return this.context.catalogue().services[this.name];
    }

    /** Returns the configured policy; its state is kept until another policy is configured. */
    policyOf(service: Service): RoutingPolicy {
        if (service.policy !== this.policyName) {
            this.policyName = service.policy;
            this.currentPolicy = createPolicy(service.policy);
        }
        return this.currentPolicy;
    }

    /** Returns the slots used by attempts of this entry. */
    heldSlots(): HeldSlot[] {
        return [...this.attempts].map(([attemptId, upstreamId]) => ({ attemptId, upstreamId }));
    }

    /** Selects an upstream and starts the attempt, within this entry's share of the service's limits. */
    chooseUpstream(
        service: Service,
        attemptId: AttemptId,
        avoid: readonly UpstreamId[],
        isRetry: boolean,
        nowMs: number,
    ): RouteDecision {
        const { catalogue, selfId, availabilityZone, random } = this.context;
        const shareOf = (limit: number) => localShare(limit, selfId, catalogue(), this.context.activeEntryIds(nowMs));
        if (this.attempts.size >= shareOf(service.limits.maxInFlight)) {
            return refuse("limit", `service ${this.name} has too many requests in flight`, 1);
        }
        const candidates = this.candidatesFor(service, avoid, nowMs);
        if (candidates.length === 0) {
            return refuse("no-upstream", `service ${this.name} has no upstream that may get work`);
        }
        const waitMs = isRetry ? 0 : this.rate.take(shareOf(service.limits.requestsPerSecond), nowMs);
        if (waitMs > 0) {
            return refuse("limit", `service ${this.name} gets too many requests per second`, Math.ceil(waitMs));
        }
        const picked = this.policyOf(service).pick(candidates, { nowMs, availabilityZone, random });
        this.startAttempt(attemptId, picked.upstream, nowMs);
        const { id, address, incarnation } = picked.upstream.announcement;
        return { kind: "upstream", upstreamId: id, address, incarnation };
    }

    /** Starts an attempt, which occupies a slot of the upstream. */
    startAttempt(attemptId: AttemptId, upstream: UpstreamRow, nowMs: number): void {
        const stats = this.health.getStats(upstream);
        stats.sentSinceReport++;
        this.health.start(attemptId, stats, nowMs);
        this.attempts.set(attemptId, stats.id);
    }

    /** Releases the slot of an attempt that was never sent; returns false when it has none. */
    releaseUnused(attemptId: AttemptId, nowMs: number): boolean {
        this.health.finish(attemptId, SampleKind.unused, 0, 0, nowMs);
        return this.attempts.delete(attemptId);
    }

    /** Records an attempt's outcome; returns undefined when it has no slot. */
    finishAttempt(outcome: AttemptOutcome, nowMs: number): SampleKind | undefined {
        const service = this.service;
        if (!this.attempts.delete(outcome.attemptId)) {
            return undefined;
        }
        const kind = sampleKindOf(outcome);
        const failureMs = service?.limits.defaultDeadlineMs ?? outcome.latencyMs;
        this.health.finish(outcome.attemptId, kind, outcome.latencyMs, failureMs, nowMs);
        if (kind === SampleKind.ok) {
            this.latencies.add(outcome.latencyMs);
        }
        if (outcome.load !== undefined) {
            this.recordReport(outcome.upstreamId, outcome.load.inFlight, nowMs, nowMs);
        }
        return kind;
    }

    /** Applies a load report unless a newer one is known. */
    recordReport(id: UpstreamId, inFlight: number, reportedAtMs: number, nowMs: number): void {
        const stats = this.health.statsById.get(id);
        if (stats !== undefined && reportedAtMs > stats.reportedAtMs && reportedAtMs <= nowMs) {
            stats.reportedInFlight = inFlight;
            stats.reportedAtMs = reportedAtMs;
            stats.sentSinceReport = 0;
        }
    }

    /** Returns the delay before a hedge; undefined when the request must not be hedged or samples are missing. */
    hedgeDelayMs(request: RequestMetadata, nowMs: number): number | undefined {
        const service = this.service;
        if (service === undefined || !service.hedging.enabled || !service.idempotentMethods.includes(request.method)) {
            return undefined;
        }
        const delayMs = this.latencies.quantileMs(service.hedging.afterQuantile, nowMs);
        return delayMs === undefined ? undefined : Math.max(minHedgeDelayMs, delayMs);
    }

    private candidatesFor(service: Service, avoid: readonly UpstreamId[], nowMs: number): readonly Candidate[] {
        const eligible = this.context.listEligible(this.name, nowMs);
        const slots = effectiveSlots(eligible, service.rampMs, nowMs);
        const all = eligible.map((upstream, index) => ({
            upstream,
            instance: this.health.getStats(upstream),
            effectiveSlots: slots[index],
        }));
        const notAvoided = all.filter(candidate => !avoid.includes(candidate.instance.id));
        const allowed = notAvoided.length > 0 ? notAvoided : all;
        this.health.checkOverdue(nowMs);
        const available = allowed.filter(candidate => this.health.isAvailable(candidate.instance, nowMs));
        return available.length > 0 ? available : allowed;
    }
}

/** Returns a decision to refuse; `retryAfterMs` defaults to the delay for a service without upstreams. */
export function refuse(reason: string, detail: string, retryAfterMs = retryAfterNoUpstreamMs): RouteDecision {
    return { kind: "refuse", reason, detail, retryAfterMs };
}

function createPolicy(name: PolicyName): RoutingPolicy {
    switch (name) {
        case PolicyName.random:
            return new RandomPolicy();
        case PolicyName.roundRobin:
            return new RoundRobinPolicy();
        case PolicyName.leastOutstanding:
            return new LeastOutstandingPolicy();
        case PolicyName.twoChoices:
            return new TwoChoicesPolicy();
        case PolicyName.slotGrants:
            return new SlotGrantsPolicy();
    }
}

function sampleKindOf(outcome: AttemptOutcome): SampleKind {
    const { failure, status, load } = outcome;
    if (failure === "cancelled") {
        return SampleKind.cancelled;
    }
    // An upstream that sheds load answers 503 with the verdict `not-run`, or with a load report and no verdict. Other
    // 503 responses are failures.
    if (status === 503 && (outcome.verdict === "not-run" || outcome.verdict === undefined && load !== undefined)) {
        return SampleKind.shed;
    }
    return failure !== undefined || status === undefined || status >= 500 ? SampleKind.failed : SampleKind.ok;
}
