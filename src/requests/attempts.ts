import type { AttemptId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import { AttemptFailure } from "./model.js";
import type { Outbox } from "./outbox.js";
import type { ActiveAttempt, ActiveRequest, RequestTable } from "./requestTable.js";
import type { RouteDecision, Router } from "./router.js";
import { verdictOfAttempts, verdictOfPhase } from "./verdicts.js";

const maxAttempts = 4;

/** Why a request gets another attempt. */
export type RetryReason = "failed" | "slow" | "silent";

/** Refusal of an attempt by the router. */
export type RouteRefusal = Extract<RouteDecision, { readonly kind: "refuse"; }>;
type RouteChoice = Extract<RouteDecision, { readonly kind: "upstream"; }>;

/** Callbacks of `AttemptRunner` into the request lifecycle. */
export interface AttemptHooks {
    /** Whether an attempt of the request may still be dispatched. */
    readonly isDispatchable: (request: ActiveRequest, nowMs: number) => boolean;
    readonly onRefused: (request: ActiveRequest, refusal: RouteRefusal, nowMs: number) => void;
    /** Called when an attempt was not dispatched because the deadline had passed or a claim was too old. */
    readonly onNotDispatchable: (request: ActiveRequest, nowMs: number) => void;
}

/** Starts, cancels and finishes attempts, and reports them to the router. */
export class AttemptRunner {
    constructor(
        private readonly table: RequestTable,
        private readonly router: Router,
        private readonly outbox: Outbox,
        private readonly hooks: AttemptHooks,
    ) {}

    /** Adds an attempt and asks the router for its upstream. */
    start(request: ActiveRequest, nowMs: number): void {
        const attempt = this.table.addAttempt(request, nowMs);
        const decision = this.router.route(attempt.id, request.metadata, request.triedUpstreamIds, nowMs);
        this.applyDecision(attempt, decision, nowMs);
    }

    /** Applies the decisions that the router has made since the last call. */
    applyDecisions(nowMs: number): void {
        // Applying a decision can finish an attempt, which can free a slot for a further decision.
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

    /** Takes a retry from the service's budget; false if the budget is empty, or no attempt or time is left. */
    takeRetry(request: ActiveRequest, reason: RetryReason, nowMs: number): boolean {
        const { service, deadlineAtMs } = request.metadata;
        if (request.attemptCount >= maxAttempts || nowMs >= deadlineAtMs) {
            return false;
        }
        const isGranted = this.router.takeRetry(service, nowMs);
        this.outbox.count(isGranted ? "requests.retries" : "requests.retries-denied", { service, reason });
        return isGranted;
    }

    /** Cancels all attempts of a request except `kept`. */
    cancelAll(request: ActiveRequest, nowMs: number, kept?: ActiveAttempt): void {
        for (const attempt of [...request.attempts.values()]) {
            if (attempt !== kept) {
                this.cancel(attempt, nowMs);
            }
        }
    }

    /** Cancels an attempt and frees its slot. */
    cancel(attempt: ActiveAttempt, nowMs: number): void {
        if (attempt.target === undefined) {
            this.table.removeAttempt(attempt);
            this.router.abandon(attempt.id, nowMs);
            return;
        }
        this.emitCancel(attempt.id);
        this.finishAttempt(attempt, AttemptFailure.cancelled, nowMs);
    }

    /** Tells the shell to cancel an attempt, which may have been removed from the table. */
    emitCancel(attemptId: AttemptId): void {
        this.outbox.push({ kind: "cancel-attempt", attemptId });
    }

    /** Removes an attempt that has ended, and reports its outcome to the router, which frees its slot. */
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
            service: request.metadata.service,
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
            return this.hooks.onNotDispatchable(request, nowMs);
        }
        attempt.isBuffered = request.isIdempotent || request.isKeyed;
        request.triedUpstreamIds.push(upstreamId);
        this.outbox.push({
            kind: "dispatch",
            requestId: request.metadata.id,
            target: attempt.target,
            timeoutMs: request.metadata.deadlineAtMs - nowMs,
            isBuffered: attempt.isBuffered,
        });
    }
}
