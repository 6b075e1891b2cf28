import type { AttemptId, ServiceName, UpstreamId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import type { PeerMessage } from "../entry/messages.js";
import type { EntryEffect } from "../entry/messages.js";
import type { AttemptFailure, LoadReport, RequestFacts } from "./model.js";

/** What routing answers when an attempt asks for an upstream. */
export type RouteDecision =
    | {
        readonly kind: "upstream";
        readonly upstreamId: UpstreamId;
        readonly address: string;
        readonly incarnation: number;
    }
    /** A decision follows by `takeDecisions`. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; readonly reason: string; readonly detail: string; readonly retryAfterMs: number; };

/** A decision for an attempt that had to wait. */
export interface DelayedDecision {
    readonly attemptId: AttemptId;
    readonly decision: RouteDecision;
}

/** How an attempt went; the input of latency estimates and ejection. */
export interface AttemptOutcome {
    readonly attemptId: AttemptId;
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly latencyMs: number;
    readonly failure: AttemptFailure | undefined;
    /** Status of the response; undefined when there was none. */
    readonly status: number | undefined;
    readonly load: LoadReport | undefined;
    /** Verdict of the attempt where known; a 503 with `not-run` is a refusal, not a failure. */
    readonly verdict?: Verdict;
}

/** Decides which upstream an attempt uses. The request lifecycle drives it; it keeps limits and budgets. */
export abstract class Router {
    /** Asks for an upstream, other than those in `avoid` where possible. */
    abstract route(
        attemptId: AttemptId,
        request: RequestFacts,
        avoid: readonly UpstreamId[],
        nowMs: number,
    ): RouteDecision;
    /** The attempt no longer waits for a decision. */
    abstract abandon(attemptId: AttemptId, nowMs: number): void;
    /** The attempt ended; its slot is free. */
    abstract finish(outcome: AttemptOutcome, nowMs: number): void;
    /** Takes one retry or hedge from the service's budget; false when the budget is spent. */
    abstract takeRetry(service: ServiceName, nowMs: number): boolean;
    /** Delay after which an idempotent request is hedged; undefined when it is not. */
    abstract hedgeDelayMs(request: RequestFacts, nowMs: number): number | undefined;
    /** Handles a message of another entry. */
    abstract handlePeerMessage(from: string, message: PeerMessage, nowMs: number): void;
    /** The probe of an upstream ended. */
    abstract finishProbe(
        service: ServiceName,
        upstreamId: UpstreamId,
        latencyMs: number,
        load: LoadReport | undefined,
        nowMs: number,
    ): void;
    abstract tick(nowMs: number): void;
    /** Takes the decisions that have become known since the last call. */
    abstract takeDecisions(): readonly DelayedDecision[];
    /** Takes the effects (messages to peers, probes) since the last call. */
    abstract takeEffects(): readonly EntryEffect[];
}
