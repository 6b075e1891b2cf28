import type { AttemptId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import { AttemptFailure } from "./model.js";
import type { Outbox } from "./outbox.js";
import type { ActiveAttempt, ActiveRequest, RequestTable } from "./requestTable.js";
import type { RouteDecision, Router } from "./router.js";
import { verdictOfAttempts, verdictOfPhase } from "./verdicts.js";

const maxAttempts = 4;

/** Why a request gets a further attempt. */
export type RetryReason = "failed" | "slow" | "silent";

/** Refusal of an attempt by the router. */
export type RouteRefusal = Extract<RouteDecision, { readonly kind: "refuse"; }>;
type RouteChoice = Extract<RouteDecision, { readonly kind: "upstream"; }>;

/** What the runner leaves to the request lifecycle. */
export interface AttemptHooks {
    /** Whether an attempt of the request may still be dispatched. */
    readonly isDispatchable: (request: ActiveRequest, nowMs: number) => boolean;
    readonly onRefused: (request: ActiveRequest, refusal: RouteRefusal, nowMs: number) => void;
    /** The attempt was not dispatched, since the deadline or the claim had run out. */
    readonly onStale: (request: ActiveRequest, nowMs: number) => void;
}

/** Starts and stops attempts, and keeps the router informed of them. */
export class AttemptRunner {
    constructor(
        private readonly table: RequestTable,
        private readonly router: Router,
        private readonly outbox: Outbox,
        private readonly hooks: AttemptHooks,
    ) {}

    /** Asks the router for an upstream for a new attempt. */
    start(request: ActiveRequest, nowMs: number): void {
        const attempt = this.table.addAttempt(request, nowMs);
        const decision = this.router.route(attempt.id, request.facts, request.triedUpstreamIds, nowMs);
        this.applyDecision(attempt, decision, nowMs);
    }

    /** Applies the decisions that the router has made since the last call. */
    applyDecisions(nowMs: number): void {
        // A decision can end an attempt, which can free a slot for the next decision.
        for (let decisions = this.router.takeDecisions(); decisions.length > 0;) {
            for (const { attemptId, decision } of decisions) {
                const attempt = this.table.findAttempt(attemptId);
                if (attempt !== undefined && attempt.target === undefined) {
                    this.applyDecision(attempt, decision, nowMs);
                }
            }
            decisions = this.router.takeDecisions();
        }
    }

    /** Takes one attempt from the service's retry budget; false when there is none or the deadline has passed. */
    takeRetry(request: ActiveRequest, reason: RetryReason, nowMs: number): boolean {
        const { service, deadlineAtMs } = request.facts;
        if (request.attemptCount >= maxAttempts || nowMs >= deadlineAtMs) {
            return false;
        }
        const isGranted = this.router.takeRetry(service, nowMs);
        this.outbox.count(isGranted ? "requests.retries" : "requests.retries-denied", { service, reason });
        return isGranted;
    }

    /** Stops the attempts of a request, except one. */
    cancelAll(request: ActiveRequest, nowMs: number, kept?: ActiveAttempt): void {
        for (const attempt of [...request.attempts.values()]) {
            if (attempt !== kept) {
                this.cancel(attempt, nowMs);
            }
        }
    }

    /** Stops an attempt. */
    cancel(attempt: ActiveAttempt, nowMs: number): void {
        if (attempt.target === undefined) {
            this.table.removeAttempt(attempt);
            this.router.abandon(attempt.id, nowMs);
            return;
        }
        this.emitCancel(attempt.id);
        this.finishAttempt(attempt, AttemptFailure.cancelled, nowMs);
    }

    /** Makes the shell stop an attempt that has no row any more. */
    emitCancel(attemptId: AttemptId): void {
        this.outbox.push({ kind: "cancel-attempt", attemptId });
    }

    /** Removes an attempt that has ended and frees its slot. */
    finishAttempt(
        attempt: ActiveAttempt,
        failure: AttemptFailure | undefined,
        nowMs: number,
        verdict: Verdict = verdictOfPhase(attempt.phase),
    ): void {
        const { request } = attempt;
        request.endedVerdict = verdictOfAttempts([request.endedVerdict, verdict]);
        this.table.removeAttempt(attempt);
        this.router.finish({
            attemptId: attempt.id,
            service: request.facts.service,
            upstreamId: attempt.target?.upstreamId ?? "",
            latencyMs: nowMs - attempt.dispatchedAtMs,
            failure,
            status: attempt.head?.status,
            load: attempt.load,
            verdict,
        }, nowMs);
    }

    private applyDecision(attempt: ActiveAttempt, decision: RouteDecision, nowMs: number): void {
        switch (decision.kind) {
            case "wait":
                return;
            case "refuse":
                this.table.removeAttempt(attempt);
                return this.hooks.onRefused(attempt.request, decision, nowMs);
            case "upstream":
                return this.dispatch(attempt, decision, nowMs);
        }
    }

    private dispatch(attempt: ActiveAttempt, choice: RouteChoice, nowMs: number): void {
        const { request } = attempt;
        const { upstreamId, address, incarnation } = choice;
        attempt.target = { attemptId: attempt.id, upstreamId, address, incarnation };
        attempt.dispatchedAtMs = nowMs;
        if (!this.hooks.isDispatchable(request, nowMs)) {
            this.finishAttempt(attempt, AttemptFailure.cancelled, nowMs);
            return this.hooks.onStale(request, nowMs);
        }
        attempt.isBuffered = request.isIdempotent || request.isKeyed;
        request.triedUpstreamIds.push(upstreamId);
        this.outbox.push({
            kind: "dispatch",
            requestId: request.facts.id,
            target: attempt.target,
            timeoutMs: request.facts.deadlineAtMs - nowMs,
            isBuffered: attempt.isBuffered,
        });
    }
}
