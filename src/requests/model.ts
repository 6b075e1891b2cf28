import type { AttemptId, RequestId, ServiceName, UpstreamId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";

/** Metadata of a caller's request; the body stays in the shell. */
export interface RequestMetadata {
    readonly id: RequestId;
    readonly service: ServiceName;
    readonly method: string;
    /** Path and query as sent to the upstream. */
    readonly path: string;
    /** Identifies the caller for limits: its IP address unless the settings name a header. */
    readonly callerId: string;
    readonly idempotencyKey: string | undefined;
    /** SHA-256 of the body in hex; undefined when the body was not buffered. */
    readonly bodyHash: string | undefined;
    /** Whether the whole body is buffered, so that another attempt can send it. */
    readonly isBodyReplayable: boolean;
    /** Deadline in milliseconds of the monotonic clock. */
    readonly deadlineAtMs: number;
}

/** Phases of an attempt; the phase in which it ends determines its verdict. */
export const AttemptPhase = {
    /** Waiting for a routing decision or a connection; no byte was written. */
    connecting: "connecting",
    /** Bytes may have been written. */
    sent: "sent",
    /** The response head arrived. */
    responding: "responding",
    /** The complete response arrived. */
    complete: "complete",
} as const;

export type AttemptPhase = typeof AttemptPhase[keyof typeof AttemptPhase];

/** Reasons why an attempt ended without a complete response. */
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

/** Load report that an upstream attaches to a response. */
export interface LoadReport {
    readonly inFlight: number;
    readonly state: "starting" | "ready" | "draining";
    readonly incarnation: number;
}

const minFinalStatus = 200;
const maxStatus = 599;

/** Returns whether a status is that of a final HTTP response; another one, such as 000 or 999, shows that it is none. */
export function isFinalStatus(status: number | undefined): status is number {
    return status !== undefined && status >= minFinalStatus && status <= maxStatus;
}

/** Head of an upstream's response. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
}

/** Response that is retained to be replayed to resubmissions of its request. */
export interface RetainedResponse extends ResponseHead {
    /** Undefined if the body exceeded the limit. */
    readonly body: Uint8Array | undefined;
}

/** Answer that figwharf generates itself instead of forwarding a response. */
export interface GeneratedAnswer {
    readonly status: number;
    /** Verdict of the request; with an idempotency key, of all submissions with that key. */
    readonly verdict: Verdict;
    /** Verdict of this submission alone, if it differs from `verdict`. */
    readonly submissionVerdict?: Verdict;
    /** Stable machine-readable reason, e.g. `no-upstream`, `deadline`, `claim-stale`. */
    readonly reason: string;
    readonly detail: string;
    readonly retryAfterMs?: number;
}

/** Upstream instance to which an attempt is dispatched. */
export interface AttemptTarget {
    readonly attemptId: AttemptId;
    readonly upstreamId: UpstreamId;
    readonly address: string;
    readonly incarnation: number;
}
