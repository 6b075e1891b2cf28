import { Verdict } from "../core/verdict.js";
import type { RouteRefusal } from "./attempts.js";
import type { ClaimResult } from "./claim.js";
import type { ClaimOutcome } from "./claimMessages.js";
import type { AttemptFailure, GeneratedAnswer } from "./model.js";
import { statusOfFailure } from "./verdicts.js";

const retryAfterMs = 1000;

/** Whether a status rejects the request itself, so that no submission of it can have run. */
function isInvalidRequest(status: number): boolean {
    return status < 500 && status !== 408 && status !== 409 && status !== 429;
}

/**
 * Limits the verdict of an answer to a keyed request that was refused before a majority granted its claim: this
 * submission did not run, but an earlier one with the same key may have, and its answer may have been lost.
 */
export function limitVerdictToSubmission(answer: GeneratedAnswer): GeneratedAnswer {
    if (answer.verdict !== Verdict.notRun || isInvalidRequest(answer.status)) {
        return answer;
    }
    const detail = `${answer.detail} Whether an earlier submission with the same key ran is not known.`;
    return { ...answer, verdict: Verdict.mayHaveRun, submissionVerdict: Verdict.notRun, detail };
}

/** Answer to a request for a service that is not in the catalogue. */
export function unknownServiceAnswer(service: string): GeneratedAnswer {
    const detail = `The catalogue has no service ${service}.`;
    return { status: 404, verdict: Verdict.notRun, reason: "unknown-service", detail };
}

/** Answer to a keyed request whose body is too large to be hashed. */
export function unhashedBodyAnswer(): GeneratedAnswer {
    const detail = "A request with an idempotency key needs a body that fits into the buffer.";
    return { status: 413, verdict: Verdict.notRun, reason: "body-too-large", detail };
}

/** Answer to a request that the router refused. */
export function refusalAnswer({ reason, detail, retryAfterMs }: RouteRefusal, verdict: Verdict): GeneratedAnswer {
    return { status: 503, verdict, reason, detail, retryAfterMs };
}

/** Answer to a request whose deadline has passed. */
export function deadlineAnswer(verdict: Verdict): GeneratedAnswer {
    const detail = "The deadline of the request has passed.";
    return { ...withRetryAfter(verdict), status: verdict === Verdict.notRun ? 503 : 504, reason: "deadline", detail };
}

/** Answer to a request whose claim became too old before the dispatch. */
export function staleClaimAnswer(verdict: Verdict): GeneratedAnswer {
    const detail = "The claim on the idempotency key is too old to be used.";
    return { ...withRetryAfter(verdict), status: 503, reason: "claim-stale", detail };
}

/** Answer to a request whose last attempt failed, or, without a failure, was refused by the upstream. */
export function failureAnswer(failure: AttemptFailure | undefined, verdict: Verdict): GeneratedAnswer {
    if (failure === undefined) {
        const detail = "The upstream refused the request before running it.";
        return { ...withRetryAfter(verdict), status: 503, reason: "upstream-refused", detail };
    }
    const detail = `The last attempt failed: ${failure}.`;
    return { ...withRetryAfter(verdict), status: statusOfFailure(failure, verdict), reason: failure, detail };
}

/** Answer to a request that is refused because instances were lost while they ran it. */
export function crashSuspectAnswer(verdict: Verdict): GeneratedAnswer {
    const detail = "Instances were lost while they ran this request, so it is not sent to another one.";
    return { ...withRetryAfter(verdict), status: 503, reason: "crash-suspect", detail };
}

/** Answer to a request whose claim was not granted. */
export function claimFailureAnswer(result: ClaimResult): GeneratedAnswer {
    switch (result.kind) {
        case "mismatch":
            return {
                status: 422,
                verdict: Verdict.notRun,
                reason: "key-reused",
                detail: "The idempotency key is in use for a request with another body.",
            };
        case "unavailable":
            return {
                ...withRetryAfter(Verdict.notRun),
                status: 503,
                reason: result.reason,
                detail: "The idempotency key could not be claimed, so the request was not sent to an upstream.",
            };
        default:
            return {
                status: 409,
                verdict: Verdict.mayHaveRun,
                reason: "outcome-unknown",
                detail: "A request with this idempotency key may have run; its outcome is not known.",
            };
    }
}

/** Answer to a resubmission if no response, or none with its body, was retained for the first submission. */
export function outcomeAnswer(outcome: ClaimOutcome): GeneratedAnswer {
    if (outcome.kind === "verdict") {
        const detail = "The first request with this idempotency key got no whole response.";
        return { status: 409, verdict: outcome.verdict, reason: outcome.reason, detail };
    }
    const detail = `The request ran and was answered with status ${outcome.response.status}; the body is not retained.`;
    return { status: 409, verdict: Verdict.ran, reason: "body-not-retained", detail };
}

function withRetryAfter(verdict: Verdict): { readonly verdict: Verdict; readonly retryAfterMs?: number; } {
    return verdict === Verdict.notRun ? { verdict, retryAfterMs } : { verdict };
}
