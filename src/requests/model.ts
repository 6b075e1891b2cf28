import type { AttemptId, RequestId, ServiceName, UpstreamId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";

/** What the decision core knows of a caller's request. */
export interface RequestFacts {
    readonly id: RequestId;
    readonly service: ServiceName;
    readonly method: string;
    /** Path and query as sent to the upstream. */
    readonly path: string;
    /** Identifies the caller for limits; its IP address unless the settings name a header. */
    readonly callerId: string;
    readonly idempotencyKey: string | undefined;
    /** SHA-256 of the body in hex; undefined when the body was not buffered. */
    readonly bodyHash: string | undefined;
    /** Whether the whole body is buffered, so that it can be sent again. */
    readonly isBodyReplayable: boolean;
    /** Deadline in monotonic milliseconds. */
    readonly deadlineAtMs: number;
}

/** Phases of an attempt; they fix its verdict. */
export const AttemptPhase = {
    /** Waiting for a connection; no byte was written. */
    connecting: "connecting",
    /** Bytes may have been written. */
    sent: "sent",
    /** The response head arrived. */
    responding: "responding",
    /** The whole response arrived. */
    complete: "complete",
} as const;

export type AttemptPhase = typeof AttemptPhase[keyof typeof AttemptPhase];

/** How an attempt ended without a whole response. */
export const AttemptFailure = {
    connectRefused: "connect-refused",
    connectTimeout: "connect-timeout",
    reset: "reset",
    timeout: "timeout",
    truncated: "truncated",
    malformed: "malformed",
    cancelled: "cancelled",
} as const;

export type AttemptFailure = typeof AttemptFailure[keyof typeof AttemptFailure];

/** Load report that rides on a response. */
export interface LoadReport {
    readonly inFlight: number;
    readonly state: "starting" | "ready" | "draining";
    readonly incarnation: number;
}

/** Head of an upstream's response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
}

/** A response that is retained for resends. */
export interface RetainedResponse extends ResponseHead {
    /** Undefined when the body was larger than the limit. */
    readonly body: Uint8Array | undefined;
}

/** An answer that figwharf makes itself. */
export interface GeneratedAnswer {
    readonly status: number;
    /** Of the request; with an idempotency key, of all its submissions. */
    readonly verdict: Verdict;
    /** Of this submission alone, where it differs from `verdict`. */
    readonly submissionVerdict?: Verdict;
    /** Stable name of the reason, e.g. `no-upstream`, `deadline`, `limit`, `claim-held`. */
    readonly reason: string;
    readonly detail: string;
    readonly retryAfterMs?: number;
}

/** Where an attempt goes. */
export interface AttemptTarget {
    readonly attemptId: AttemptId;
    readonly upstreamId: UpstreamId;
    readonly address: string;
    readonly incarnation: number;
}
