import { Verdict } from "../core/verdict.js";
import { limitVerdictToSubmission, outcomeAnswer } from "./answers.js";
import type { AttemptRunner } from "./attempts.js";
import type { ClaimCoordinator } from "./claimCoordinator.js";
import type { ClaimOutcome } from "./claimMessages.js";
import { AttemptPhase, type GeneratedAnswer, type RetainedResponse } from "./model.js";
import type { Outbox } from "./outbox.js";
import {
    type ActiveAttempt,
    type ActiveRequest,
    RequestStage,
    type RequestTable,
    verdictOfRequest,
} from "./requestTable.js";
import type { Trials } from "./trials.js";

/** Ends requests: forwards responses, sends answers, and finishes or releases claims. */
export class RequestCloser {
    constructor(
        private readonly table: RequestTable,
        private readonly runner: AttemptRunner,
        private readonly claims: ClaimCoordinator,
        private readonly trials: Trials,
        private readonly outbox: Outbox,
    ) {}

    /** Forwards the response of an attempt to the caller and cancels the other attempts. */
    forward(attempt: ActiveAttempt, nowMs: number): void {
        const { request } = attempt;
        request.forwardedAttemptId = attempt.id;
        if (request.isCallerGone) {
            this.runner.emitCancel(attempt.id);
        }
        else {
            this.outbox.push({ kind: "forward", requestId: request.metadata.id, attemptId: attempt.id });
        }
        this.runner.cancelAll(request, nowMs, attempt);
    }

    /** Ends a request whose forwarded response is complete. */
    complete(attempt: ActiveAttempt, retained: RetainedResponse | undefined, nowMs: number): void {
        const response = retained ?? withoutBody(attempt);
        this.close(attempt.request, { kind: "response", response }, nowMs);
    }

    /** Ends a request whose forwarded response was truncated. */
    truncate(request: ActiveRequest, reason: string, nowMs: number): void {
        if (!request.isCallerGone) {
            this.outbox.push({ kind: "destroy-caller", requestId: request.metadata.id, reason });
        }
        this.close(request, { kind: "verdict", verdict: Verdict.ran, reason }, nowMs);
    }

    /** Ends a request with a generated answer. */
    answer(request: ActiveRequest, originalAnswer: GeneratedAnswer, nowMs: number): void {
        const isClaimUndecided = request.isKeyed && !request.isClaimGranted;
        const answer = isClaimUndecided ? limitVerdictToSubmission(originalAnswer) : originalAnswer;
        const { verdict, reason } = answer;
        this.outbox.count("requests.answers", { service: request.metadata.service, verdict, reason });
        if (!request.isCallerGone) {
            this.outbox.push({ kind: "answer", requestId: request.metadata.id, answer });
        }
        this.close(request, { kind: "verdict", verdict: answer.verdict, reason: answer.reason }, nowMs);
    }

    /** Ends a request with the outcome of an earlier submission of the same key. */
    replay(request: ActiveRequest, outcome: ClaimOutcome, nowMs: number): void {
        if (outcome.kind === "verdict" || outcome.response.body === undefined) {
            return this.answer(request, outcomeAnswer(outcome), nowMs);
        }
        if (!request.isCallerGone) {
            this.outbox.push({ kind: "replay", requestId: request.metadata.id, response: outcome.response });
        }
        this.close(request, outcome, nowMs);
    }

    /**
     * Handles a caller that has closed its connection. A keyed request that may be running continues, so that its
     * outcome can be replayed to a resubmission; any other request is cancelled.
     */
    abandon(request: ActiveRequest, nowMs: number): void {
        request.isCallerGone = true;
        const forwarded = request.attempts.get(request.forwardedAttemptId ?? "");
        if (forwarded !== undefined) {
            return this.close(request, { kind: "response", response: withoutBody(forwarded) }, nowMs);
        }
        if (!request.isKeyed || verdictOfRequest(request) === Verdict.notRun) {
            this.close(request, { kind: "verdict", verdict: Verdict.mayHaveRun, reason: "caller-gone" }, nowMs);
        }
    }

    private close(request: ActiveRequest, outcome: ClaimOutcome, nowMs: number): void {
        this.endTrial(request, nowMs);
        this.runner.cancelAll(request, nowMs);
        if (request.isKeyed) {
            this.settleClaim(request, outcome, nowMs);
        }
        this.table.removeRequest(request);
    }

    private settleClaim(request: ActiveRequest, outcome: ClaimOutcome, nowMs: number): void {
        // If no attempt can have run, the key is released for a resubmission.
        if (verdictOfRequest(request) === Verdict.notRun) {
            this.claims.release(request.metadata.id, nowMs);
        }
        else {
            this.claims.finish(request.metadata.id, outcome, nowMs);
        }
    }

    private endTrial(request: ActiveRequest, nowMs: number): void {
        if (this.trials.isWaiting(request)) {
            this.trials.finishTrial(request, nowMs);
        }
        if (request.stage !== RequestStage.trial) {
            return;
        }
        const isRunning = [...request.attempts.values()].some(activeAttempt =>
            activeAttempt.phase !== AttemptPhase.connecting
        );
        if (isRunning || request.pendingChecks > 0) {
            this.trials.dropTrial(request, nowMs);
        }
        else {
            this.trials.finishTrial(request, nowMs);
        }
    }
}

function withoutBody({ head }: ActiveAttempt): RetainedResponse {
    return { status: head?.status ?? 502, headers: head?.headers ?? [], body: undefined };
}
