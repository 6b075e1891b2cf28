import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId, RequestId, ServiceName, UpstreamId } from "../core/ids.js";
import type { Announcement } from "../membership/view.js";
import type {
    AttemptFailure,
    AttemptTarget,
    GeneratedAnswer,
    LoadReport,
    RequestFacts,
    ResponseHead,
    RetainedResponse,
} from "../requests/model.js";

/** A message between two entries: a JSON-RPC method with its parameters. Modules narrow `params` themselves. */
export interface PeerMessage {
    readonly method: string;
    readonly params: unknown;
    /** Pairs an answer with its question inside the core; answers are messages of their own. */
    readonly correlationId?: string;
}

/** What can happen to an entry. */
export type EntryEvent =
    | { readonly kind: "request"; readonly request: RequestFacts; }
    | { readonly kind: "caller-gone"; readonly requestId: RequestId; }
    /** A connection is ready and the head is about to be written. */
    | { readonly kind: "attempt-sent"; readonly attemptId: AttemptId; }
    | {
        readonly kind: "attempt-head";
        readonly attemptId: AttemptId;
        readonly head: ResponseHead;
        readonly load: LoadReport | undefined;
    }
    /** The whole response arrived; `retained` is set when it was buffered. */
    | {
        readonly kind: "attempt-complete";
        readonly attemptId: AttemptId;
        readonly retained: RetainedResponse | undefined;
    }
    | { readonly kind: "attempt-failed"; readonly attemptId: AttemptId; readonly failure: AttemptFailure; }
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

/** What an entry wants done. */
export type EntryEffect =
    | {
        readonly kind: "dispatch";
        readonly requestId: RequestId;
        readonly target: AttemptTarget;
        readonly timeoutMs: number;
        readonly isBuffered: boolean;
    }
    /** Sends the response of this attempt to the caller from now on. */
    | { readonly kind: "forward"; readonly requestId: RequestId; readonly attemptId: AttemptId; }
    | { readonly kind: "cancel-attempt"; readonly attemptId: AttemptId; }
    | { readonly kind: "answer"; readonly requestId: RequestId; readonly answer: GeneratedAnswer; }
    | { readonly kind: "replay"; readonly requestId: RequestId; readonly response: RetainedResponse; }
    /** The response was cut off after its head had been forwarded; the caller's connection is destroyed. */
    | { readonly kind: "destroy-caller"; readonly requestId: RequestId; readonly reason: string; }
    /** Closes the pooled connections of an upstream that has gone silent. */
    | { readonly kind: "reset-pool"; readonly address: string; }
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
