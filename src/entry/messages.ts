import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId, RequestId, ServiceName, UpstreamId } from "../core/ids.js";
import type { Announcement } from "../membership/view.js";
import type {
    AttemptFailure,
    AttemptTarget,
    GeneratedAnswer,
    LoadReport,
    RequestMetadata,
    ResponseHead,
    RetainedResponse,
} from "../requests/model.js";

/** A message between two entries: a JSON-RPC method with its parameters. The receiving module narrows `params`. */
export interface PeerMessage {
    readonly method: string;
    readonly params: unknown;
    /** Correlates a reply with its request inside the core; a reply is a separate message. */
    readonly correlationId?: string;
}

/**
 * Input of the core. For each dispatched attempt the shell reports `attempt-sent`, `attempt-head`, then one of
 * `attempt-complete` and `attempt-failed`. Events of attempts and requests that have ended are ignored.
 */
export type EntryEvent =
    | { readonly kind: "request"; readonly request: RequestMetadata; }
    /** The caller closed its connection before the response ended. */
    | { readonly kind: "caller-gone"; readonly requestId: RequestId; }
    /**
     * A connection is ready and the head is about to be written. The shell reports this before it writes, and writes
     * nothing if the returned effects cancel the attempt: up to this point the attempt counts as `not-run`.
     */
    | { readonly kind: "attempt-sent"; readonly attemptId: AttemptId; }
    /** The response head arrived. The shell holds the response until a `forward` effect names the attempt. */
    | {
        readonly kind: "attempt-head";
        readonly attemptId: AttemptId;
        readonly head: ResponseHead;
        readonly load: LoadReport | undefined;
    }
    /**
     * The held response exceeded its size or time limit. Above the size limit, the shell pauses reading until `forward`
     * or cancel.
     */
    | { readonly kind: "attempt-overflow"; readonly attemptId: AttemptId; }
    /** The complete response arrived; `retained` is set when the attempt is buffered. */
    | {
        readonly kind: "attempt-complete";
        readonly attemptId: AttemptId;
        readonly retained: RetainedResponse | undefined;
    }
    /**
     * The attempt ended without a complete response. The verdict follows from the last phase reported. The shell does
     * not report the end of an attempt that the core cancelled.
     */
    | { readonly kind: "attempt-failed"; readonly attemptId: AttemptId; readonly failure: AttemptFailure; }
    /** Result of `check-connection`: whether the address accepted a connection within the timeout. */
    | { readonly kind: "connection-checked"; readonly checkId: string; readonly isAccepted: boolean; }
    | {
        readonly kind: "announcement";
        readonly announcement: Announcement;
        /** Upper bound of the time since the upstream sent it; 0 when absent. */
        readonly ageMs?: number;
    }
    | {
        readonly kind: "probe-ended";
        readonly service: ServiceName;
        readonly upstreamId: UpstreamId;
        readonly latencyMs: number;
        readonly load: LoadReport | undefined;
    }
    | { readonly kind: "peer-message"; readonly from: EntryId; readonly message: PeerMessage; }
    /** Answer of a control VM to `config.sync`. */
    | {
        readonly kind: "control-answer";
        readonly isQuorumConfirmed: boolean;
        readonly revision: number;
        readonly catalogue: Catalogue | undefined;
        readonly sentAtMs: number;
    }
    | { readonly kind: "drain"; }
    | { readonly kind: "tick"; };

/** Actions of the core that the shell performs. */
export type EntryEffect =
    /** Starts an attempt. One request can have several attempts in flight. */
    | {
        readonly kind: "dispatch";
        readonly requestId: RequestId;
        readonly target: AttemptTarget;
        /** Time left until the deadline, passed to the upstream. The core cancels the attempt when it expires. */
        readonly timeoutMs: number;
        /** The shell buffers the whole response, up to its limit, before it reports the end or an overflow. */
        readonly isBuffered: boolean;
    }
    /**
     * Sends the response of this attempt to the caller: held data immediately, the rest as it arrives. Issued at
     * most once per request, after `attempt-head`. The deadline does not abort a forwarded response.
     */
    | { readonly kind: "forward"; readonly requestId: RequestId; readonly attemptId: AttemptId; }
    /** Aborts an attempt: nothing more is written, and the connection that carries its request is destroyed. */
    | { readonly kind: "cancel-attempt"; readonly attemptId: AttemptId; }
    /** Ends the request with a generated answer; no upstream response is forwarded. */
    | { readonly kind: "answer"; readonly requestId: RequestId; readonly answer: GeneratedAnswer; }
    /** Ends the request with the retained response of an earlier request with the same key. */
    | { readonly kind: "replay"; readonly requestId: RequestId; readonly response: RetainedResponse; }
    /** Destroys the caller's connection, since the response was truncated after its head had been forwarded. */
    | { readonly kind: "destroy-caller"; readonly requestId: RequestId; readonly reason: string; }
    /**
     * Replaces the connection pool of an unresponsive upstream: idle connections are closed, busy ones are closed after
     * their current request, and new requests use new connections.
     */
    | { readonly kind: "reset-pool"; readonly address: string; }
    /** Checks with a TCP connection whether an upstream still runs, and reports `connection-checked`. */
    | {
        readonly kind: "check-connection";
        readonly checkId: string;
        readonly address: string;
        readonly timeoutMs: number;
    }
    | { readonly kind: "send-peer"; readonly to: EntryId; readonly message: PeerMessage; }
    | { readonly kind: "sync-control"; readonly revision: number; }
    | {
        readonly kind: "probe";
        readonly service: ServiceName;
        readonly upstreamId: UpstreamId;
        readonly address: string;
    }
    | {
        readonly kind: "count";
        readonly metric: string;
        readonly value: number;
        readonly tags: Readonly<Record<string, string>>;
    }
    | {
        readonly kind: "log";
        readonly level: "debug" | "info" | "warn" | "error";
        readonly text: string;
        readonly fields: Readonly<Record<string, string | number>>;
    };
