import type { AttemptId, RequestId, UpstreamId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import {
    type AttemptFailure,
    AttemptPhase,
    type AttemptTarget,
    type LoadReport,
    type RequestMetadata,
    type ResponseHead,
} from "./model.js";
import { verdictOfAttempts, verdictOfPhase } from "./verdicts.js";

/** Attempt that has not ended. */
export interface ActiveAttempt {
    readonly id: AttemptId;
    readonly request: ActiveRequest;
    readonly startedAtMs: number;
    phase: AttemptPhase;
    /** Undefined while the attempt waits for a routing decision. */
    target: AttemptTarget | undefined;
    dispatchedAtMs: number;
    head: ResponseHead | undefined;
    load: LoadReport | undefined;
    isBuffered: boolean;
    /** Whether the attempt exceeded the silence timeout; its response is still used if it arrives first. */
    isSilent: boolean;
}

/** Stages of a request until its response is forwarded. */
export const RequestStage = {
    /** Waits for the claim on its idempotency key. */
    claiming: "claiming",
    /** Waits for the trial lock of its service. */
    locking: "locking",
    /** Holds the lock and waits for the claim on its fingerprint. */
    claimingTrial: "claiming-trial",
    /** Runs one attempt at a time, while no other suspect of the service runs. */
    trial: "trial",
    running: "running",
} as const;

export type RequestStage = typeof RequestStage[keyof typeof RequestStage];

/** Request that has not ended. */
export interface ActiveRequest {
    readonly metadata: RequestMetadata;
    readonly isIdempotent: boolean;
    /** Whether the request needs a claim on its idempotency key. */
    readonly isKeyed: boolean;
    readonly acceptedAtMs: number;
    /** Whether a majority granted the claim, so that no earlier submission with the key has run. */
    isClaimGranted: boolean;
    stage: RequestStage;
    readonly attempts: Map<AttemptId, ActiveAttempt>;
    readonly triedUpstreamIds: UpstreamId[];
    attemptCount: number;
    hasHedged: boolean;
    /** Combined verdict of the attempts that have ended. */
    endedVerdict: Verdict;
    lastFailure: AttemptFailure | undefined;
    /** Whether the body is still available for another attempt. */
    isBodyAvailable: boolean;
    /** Number of pending checks of instances that may have been lost while they ran this request. */
    pendingChecks: number;
    /** Attempt whose response is forwarded to the caller. */
    forwardedAttemptId: AttemptId | undefined;
    isCallerGone: boolean;
}

/** Requests and attempts in flight at this entry. */
export class RequestTable {
    private readonly requests = new Map<RequestId, ActiveRequest>();
    private readonly attempts = new Map<AttemptId, ActiveAttempt>();

    /** Number of requests in flight. */
    get size(): number {
        return this.requests.size;
    }

    findRequest(id: RequestId): ActiveRequest | undefined {
        return this.requests.get(id);
    }

    findAttempt(id: AttemptId): ActiveAttempt | undefined {
        return this.attempts.get(id);
    }

    listRequests(): ActiveRequest[] {
        return [...this.requests.values()];
    }

    listAttempts(): Iterable<ActiveAttempt> {
        return this.attempts.values();
    }

    addRequest(metadata: RequestMetadata, isIdempotent: boolean, nowMs: number): ActiveRequest {
        const request: ActiveRequest = {
            metadata,
            isIdempotent,
            isKeyed: !isIdempotent && metadata.idempotencyKey !== undefined,
            isClaimGranted: false,
            acceptedAtMs: nowMs,
            stage: RequestStage.running,
            attempts: new Map(),
            triedUpstreamIds: [],
            attemptCount: 0,
            hasHedged: false,
            endedVerdict: verdictOfAttempts([]),
            lastFailure: undefined,
            isBodyAvailable: true,
            pendingChecks: 0,
            forwardedAttemptId: undefined,
            isCallerGone: false,
        };
        this.requests.set(metadata.id, request);
        return request;
    }

    addAttempt(request: ActiveRequest, nowMs: number): ActiveAttempt {
        request.attemptCount++;
        const attempt: ActiveAttempt = {
            id: `${request.metadata.id}/${request.attemptCount}`,
            request,
            startedAtMs: nowMs,
            phase: AttemptPhase.connecting,
            target: undefined,
            dispatchedAtMs: nowMs,
            head: undefined,
            load: undefined,
            isBuffered: false,
            isSilent: false,
        };
        request.attempts.set(attempt.id, attempt);
        this.attempts.set(attempt.id, attempt);
        return attempt;
    }

    removeAttempt(attempt: ActiveAttempt): void {
        attempt.request.attempts.delete(attempt.id);
        this.attempts.delete(attempt.id);
    }

    removeRequest(request: ActiveRequest): void {
        for (const attempt of [...request.attempts.values()]) {
            this.removeAttempt(attempt);
        }
        this.requests.delete(request.metadata.id);
    }
}

/** Returns the verdict of a request from its ended attempts and the phases of its active ones. */
export function verdictOfRequest(request: ActiveRequest): Verdict {
    const verdicts = [request.endedVerdict];
    for (const attempt of request.attempts.values()) {
        verdicts.push(verdictOfPhase(attempt.phase));
    }
    return verdictOfAttempts(verdicts);
}
