import type { AttemptId, RequestId, UpstreamId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import {
    type AttemptFailure,
    AttemptPhase,
    type AttemptTarget,
    type LoadReport,
    type RequestFacts,
    type ResponseHead,
} from "./model.js";
import { verdictOfAttempts, verdictOfPhase } from "./verdicts.js";

/** Row of an attempt that has not ended. */
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
    /** Whether the attempt was found silent; it still may win. */
    isSilent: boolean;
}

/** Stages of a request before its response is forwarded. */
export const RequestStage = {
    /** Waits for the claim on its idempotency key. */
    claiming: "claiming",
    /** Waits until no other suspect of the service is tried. */
    locking: "locking",
    /** Waits for the claim on its fingerprint. */
    claimingTrial: "claiming-trial",
    /** Attempts run one at a time, and no other suspect of the service runs. */
    trial: "trial",
    running: "running",
} as const;

export type RequestStage = typeof RequestStage[keyof typeof RequestStage];

/** Row of a caller's request that has not ended. */
export interface ActiveRequest {
    readonly facts: RequestFacts;
    readonly isIdempotent: boolean;
    /** Whether the request needs a claim on its idempotency key. */
    readonly isKeyed: boolean;
    readonly acceptedAtMs: number;
    /** Whether a majority showed that no earlier submission with the key has run. */
    isClaimGranted: boolean;
    stage: RequestStage;
    readonly attempts: Map<AttemptId, ActiveAttempt>;
    readonly triedUpstreamIds: UpstreamId[];
    attemptCount: number;
    hasHedged: boolean;
    /** Verdict of the attempts that have ended. */
    endedVerdict: Verdict;
    lastFailure: AttemptFailure | undefined;
    /** Whether the body can be sent to another upstream. */
    isBodyAvailable: boolean;
    /** Checks in progress of instances that were perhaps lost while they ran this request. */
    pendingChecks: number;
    /** Attempt whose response goes to the caller. */
    forwardedAttemptId: AttemptId | undefined;
    isCallerGone: boolean;
}

/** Requests and attempts in flight at this entry. */
export class RequestTable {
    private readonly requests = new Map<RequestId, ActiveRequest>();
    private readonly attempts = new Map<AttemptId, ActiveAttempt>();

    /** Rows of requests in flight. */
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

    addRequest(facts: RequestFacts, isIdempotent: boolean, nowMs: number): ActiveRequest {
        const request: ActiveRequest = {
            facts,
            isIdempotent,
            isKeyed: !isIdempotent && facts.idempotencyKey !== undefined,
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
        this.requests.set(facts.id, request);
        return request;
    }

    addAttempt(request: ActiveRequest, nowMs: number): ActiveAttempt {
        request.attemptCount++;
        const attempt: ActiveAttempt = {
            id: `${request.facts.id}/${request.attemptCount}`,
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
        this.requests.delete(request.facts.id);
    }
}

/** Returns the verdict of a request from its ended attempts and the phases of the others. */
export function verdictOfRequest(request: ActiveRequest): Verdict {
    const verdicts = [request.endedVerdict];
    for (const attempt of request.attempts.values()) {
        verdicts.push(verdictOfPhase(attempt.phase));
    }
    return verdictOfAttempts(verdicts);
}
