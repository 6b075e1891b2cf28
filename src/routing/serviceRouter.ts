import type { Catalogue, Service } from "../catalogue/model.js";
import { PolicyName } from "../catalogue/model.js";
import type { AttemptId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { EntryEffect, PeerMessage } from "../entry/messages.js";
import type { PeerView, UpstreamView } from "../membership/view.js";
import type { LoadReport, RequestFacts } from "../requests/model.js";
import { type AttemptOutcome, type DelayedDecision, type RouteDecision, Router } from "../requests/router.js";
import { InstanceTable } from "./instanceTable.js";
import { LeastOutstandingPolicy, RandomPolicy, RoundRobinPolicy } from "./localPolicies.js";
import { RetryBudget } from "./retryBudget.js";
import type { Candidate, RoutingPolicy } from "./routingPolicy.js";

const retryAfterNoUpstreamMs = 1000;

/** What a service router is built from. */
export interface ServiceRouterOptions {
    readonly selfId: EntryId;
    readonly peers: PeerView;
    readonly upstreams: UpstreamView;
    readonly catalogue: () => Catalogue;
    readonly random: RandomSource;
}

interface AttemptRow {
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
}

interface ServiceRow {
    readonly policyName: PolicyName;
    readonly policy: RoutingPolicy;
    readonly retries: RetryBudget;
}

/** Routes the attempts of all services with the policy that the catalogue names for each. */
export class ServiceRouter extends Router {
    private readonly services = new Map<ServiceName, ServiceRow>();
    private readonly attempts = new Map<AttemptId, AttemptRow>();
    private readonly instances = new InstanceTable();
    private effects: EntryEffect[] = [];
    private decisions: DelayedDecision[] = [];

    constructor(private readonly options: ServiceRouterOptions) {
        super();
    }

    route(attemptId: AttemptId, request: RequestFacts, avoid: readonly UpstreamId[], nowMs: number): RouteDecision {
        const service = this.options.catalogue().services[request.service];
        if (service === undefined) {
            return refuse("unknown-service", `service ${request.service} is not in the catalogue`);
        }
        const row = this.rowOf(service);
        if (avoid.length === 0) {
            row.retries.countRequest(service.retryRatio);
        }
        const candidates = this.candidatesFor(service, avoid, nowMs);
        if (candidates.length === 0) {
            return refuse("no-upstream", `service ${service.name} has no upstream that may get work`);
        }
        const { availabilityZone } = this.options.peers;
        const picked = row.policy.pick(candidates, { nowMs, availabilityZone, random: this.options.random });
        picked.instance.outstanding++;
        const { id, address, incarnation } = picked.upstream.announcement;
        this.attempts.set(attemptId, { service: service.name, upstreamId: id });
        return { kind: "upstream", upstreamId: id, address, incarnation };
    }

    abandon(_attemptId: AttemptId, _nowMs: number): void {}

    finish(outcome: AttemptOutcome, _nowMs: number): void {
        const attempt = this.attempts.get(outcome.attemptId);
        if (attempt === undefined) {
            return;
        }
        this.attempts.delete(outcome.attemptId);
        const instance = this.instances.find(attempt.service, attempt.upstreamId);
        if (instance !== undefined) {
            instance.outstanding--;
        }
    }

    takeRetry(service: ServiceName, _nowMs: number): boolean {
        return this.services.get(service)?.retries.take() ?? false;
    }

    hedgeDelayMs(_request: RequestFacts, _nowMs: number): number | undefined {
        return undefined;
    }

    handlePeerMessage(_from: EntryId, _message: PeerMessage, _nowMs: number): void {}

    finishProbe(
        _service: ServiceName,
        _upstreamId: UpstreamId,
        _latencyMs: number,
        _load: LoadReport | undefined,
        _nowMs: number,
    ): void {}

    tick(_nowMs: number): void {
        const { upstreams } = this.options;
        this.instances.prune((service, id) => upstreams.findUpstream(service, id) !== undefined);
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

    /** Upstream milliseconds per second that this entry spent on probes of a service, over the last seconds. */
    measuringSpentMsPerSecond(_service: ServiceName, _nowMs: number): number {
        return 0;
    }

    private rowOf(service: Service): ServiceRow {
        let row = this.services.get(service.name);
        if (row === undefined || row.policyName !== service.policy) {
            row = {
                policyName: service.policy,
                policy: createPolicy(service.policy),
                retries: row?.retries ?? new RetryBudget(),
            };
            this.services.set(service.name, row);
        }
        return row;
    }

    private candidatesFor(service: Service, avoid: readonly UpstreamId[], nowMs: number): readonly Candidate[] {
        const all = this.options.upstreams.eligibleUpstreams(service.name, nowMs).map(upstream => ({
            upstream,
            instance: this.instances.rowOf(upstream),
            effectiveSlots: upstream.announcement.slots,
        }));
        const others = all.filter(candidate => !avoid.includes(candidate.instance.id));
        return others.length > 0 ? others : all;
    }
}

function createPolicy(name: PolicyName): RoutingPolicy {
    switch (name) {
        case PolicyName.random:
            return new RandomPolicy();
        case PolicyName.roundRobin:
            return new RoundRobinPolicy();
        default:
            return new LeastOutstandingPolicy();
    }
}

function refuse(reason: string, detail: string): RouteDecision {
    return { kind: "refuse", reason, detail, retryAfterMs: retryAfterNoUpstreamMs };
}
