import { combineVerdicts, Verdict } from "../core/verdict.js";
import { AttemptFailure, AttemptPhase, type ResponseHead } from "./model.js";

const refusalStatus = 503;
const verdictHeader = "figwharf-verdict";
const defaultIdempotentMethods: readonly string[] = ["GET", "HEAD", "OPTIONS"];

const verdictsByPhase: Record<AttemptPhase, Verdict> = {
    connecting: Verdict.notRun,
    sent: Verdict.mayHaveRun,
    responding: Verdict.ran,
    complete: Verdict.ran,
};

const statusesByFailure: Record<AttemptFailure, number> = {
    [AttemptFailure.connectRefused]: 502,
    [AttemptFailure.connectTimeout]: 504,
    [AttemptFailure.reset]: 502,
    [AttemptFailure.timeout]: 504,
    [AttemptFailure.truncated]: 502,
    [AttemptFailure.malformed]: 502,
    [AttemptFailure.cancelled]: 502,
};

/** Returns the verdict of an attempt that ends in this phase, whatever its failure. */
export function verdictOfPhase(phase: AttemptPhase): Verdict {
    return verdictsByPhase[phase];
}

/** Combines the verdicts of a request's attempts. */
export function verdictOfAttempts(verdicts: Iterable<Verdict>): Verdict {
    let combined: Verdict = Verdict.notRun;
    for (const verdict of verdicts) {
        combined = combineVerdicts(combined, verdict);
    }
    return combined;
}

/** Returns the status of the answer to a request whose last attempt failed. */
export function statusOfFailure(failure: AttemptFailure, verdict: Verdict): number {
    return verdict === Verdict.notRun ? refusalStatus : statusesByFailure[failure];
}

/** Whether the response head says that the upstream refused the request without running it. */
export function isRefusal(head: ResponseHead): boolean {
    return head.status === refusalStatus
        && head.headers.some(([name, value]) =>
            name.toLowerCase() === verdictHeader && value.trim().toLowerCase() === Verdict.notRun
        );
}

/** Whether a request may run more than once, by its method. */
export function isIdempotent(method: string, idempotentMethods: readonly string[] | undefined): boolean {
    return (idempotentMethods ?? defaultIdempotentMethods).includes(method);
}

/** Whether a request needs a claim on its idempotency key. */
export function isKeyed(method: string, key: unknown, idempotentMethods: readonly string[] | undefined): boolean {
    return key !== undefined && !isIdempotent(method, idempotentMethods);
}
