import type { AttemptId, ServiceName, UpstreamId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import type { PeerMessage } from "../entry/messages.js";
import type { EntryEffect } from "../entry/messages.js";
import type { AttemptFailure, LoadReport, RequestMetadata } from "./model.js";

/** Decision of the router on the upstream of an attempt. */
export type RouteDecision =
    | {
        readonly kind: "upstream";
        readonly upstreamId: UpstreamId;
        readonly address: string;
        readonly incarnation: number;
    }
    /** `takeDecisions` returns the decision later. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly reason: string; readonly detail: string; readonly retryAfterMs: number; };

/** Decision on an attempt that had to wait. */
export interface DelayedDecision {
    readonly attemptId: AttemptId;
    readonly decision: RouteDecision;
}

/** Outcome of an attempt, the input of latency estimates and ejection. */
export interface AttemptOutcome {
    readonly attemptId: AttemptId;
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly latencyMs: number;
    readonly failure: AttemptFailure | undefined;
    /** Status of the response; undefined if there was none. */
    readonly status: number | undefined;
    readonly load: LoadReport | undefined;
    /** Verdict of the attempt, if known; a 503 with `not-run` is a refusal, not a failure. */
    readonly verdict?: Verdict;
}

/** Chooses the upstreams of attempts and enforces limits and retry budgets. Driven by the request lifecycle. */
export abstract class Router {
    /** Chooses an upstream for an attempt, if possible none of those in `avoid`. */
    abstract route(
        attemptId: AttemptId,
        request: RequestMetadata,
        avoid: readonly UpstreamId[],
        nowMs: number,
    ): RouteDecision;
    /** Withdraws an attempt that waits for a decision. */
    abstract abandon(attemptId: AttemptId, nowMs: number): void;
    /** Records the outcome of an attempt that has ended, and frees its slot. */
    abstract finish(outcome: AttemptOutcome, nowMs: number): void;
    /** Takes one retry or hedge from the service's budget; false if the budget is exhausted. */
    abstract takeRetry(service: ServiceName, nowMs: number): boolean;
    /** Returns the delay after which an idempotent request is hedged; undefined if it is not hedged. */
    abstract hedgeDelayMs(request: RequestMetadata, nowMs: number): number | undefined;
    /** Handles a message of another entry. */
    abstract handlePeerMessage(from: string, message: PeerMessage, nowMs: number): void;
    /** Records the result of a probe of an upstream. */
    abstract finishProbe(
        service: ServiceName,
        upstreamId: UpstreamId,
        latencyMs: number,
        load: LoadReport | undefined,
        nowMs: number,
    ): void;
    abstract tick(nowMs: number): void;
    /** Takes the decisions on waiting attempts since the last call. */
    abstract takeDecisions(): readonly DelayedDecision[];
    /** Takes the effects (messages to peers, probes) since the last call. */
    abstract takeEffects(): readonly EntryEffect[];
}
