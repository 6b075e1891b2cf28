import type { EntryId } from "../core/ids.js";
import type { Verdict } from "../core/verdict.js";
import type { RetainedResponse } from "./model.js";

/** Methods of the claim protocol between entries. Answers are separate messages. */
export const ClaimMethod = {
    request: "claim.request",
    answer: "claim.answer",
    release: "claim.release",
    record: "claim.record",
    recorded: "claim.recorded",
    outcome: "claim.outcome",
    outcomeAnswer: "claim.outcome-answer",
    sync: "claim.sync",
    synced: "claim.synced",
} as const;

/** Service and idempotency key, or the name of a lock. */
export type ClaimKey = string;
/** Id of one round of a claimant: `entry:incarnation:number`. */
export type ClaimId = string;

/** Outcome of a claimed request: its response, or its verdict if there is none. */
export type ClaimOutcome =
    | { readonly kind: "response"; readonly response: RetainedResponse; }
    | { readonly kind: "verdict"; readonly verdict: Verdict; readonly reason: string; };

/** Parameters of `claim.request`. */
export interface ClaimRequest {
    readonly key: ClaimKey;
    readonly claimId: ClaimId;
    readonly holder: EntryId;
    /** Fingerprint of the request; a key must not be reused for a different request. */
    readonly requestHash: string;
    /** Time for which the replica keeps the claim unless an outcome is recorded. */
    readonly lifetimeMs: number;
    /** Replica sets of the key, one for each active entry list. */
    readonly replicaSets: readonly (readonly EntryId[])[];
}

/** Reply of a replica to `claim.request`. */
export type ClaimReply =
    | { readonly kind: "granted"; }
    | { readonly kind: "held"; readonly holder: EntryId; readonly claimId: ClaimId; }
    | { readonly kind: "outcome"; readonly outcome: ClaimOutcome; }
    /** The key is in use for a different request. */
    | { readonly kind: "mismatch"; }
    | { readonly kind: "full"; }
    /** The replica has restarted and has not yet read back the claims that it may have granted. */
    | { readonly kind: "abstain"; }
    /** The claimant has released this claim already. */
    | { readonly kind: "released"; };

/** Incarnations of entries by id. */
export type Incarnations = Readonly<Record<EntryId, number>>;

/** Parameters of `claim.answer`. */
export interface ClaimAnswer {
    readonly claimId: ClaimId;
    readonly reply: ClaimReply;
    /** Incarnation of the replica. */
    readonly incarnation: number;
    /** Newest incarnations of the key's replicas that this replica knows. */
    readonly known: Incarnations;
}

/** Parameters of `claim.release` and `claim.recorded`, and of `claim.outcome`, which queries the holder. */
export interface ClaimReference {
    readonly key: ClaimKey;
    readonly claimId: ClaimId;
}

/** Parameters of `claim.record`. */
export interface ClaimRecord extends ClaimRequest {
    readonly outcome: ClaimOutcome;
}

/**
 * Parameters of `claim.outcome-answer`. `undecided`: the request may still be dispatched; `released`: it was not and
 * will not be; `finished`: the replicas have the outcome; `lost`: the holder has restarted since.
 */
export type OutcomeAnswer =
    | ClaimReference & { readonly state: "undecided" | "running" | "released" | "finished" | "lost"; }
    | ClaimReference & { readonly state: "outcome"; readonly outcome: ClaimOutcome; };

/** Parameters of `claim.sync`: a restarted replica reads the claims it may have granted. */
export interface SyncRequest {
    readonly incarnation: number;
    /** Sequence number after which the page starts; 0 for the first page. */
    readonly cursor: number;
}

/** Claim as it is sent to a restarted replica. */
export interface SyncedClaim extends ClaimRequest {
    readonly outcome: ClaimOutcome | undefined;
}

/** Parameters of `claim.synced`. */
export interface SyncAnswer {
    /** Incarnation of the requesting replica. */
    readonly forIncarnation: number;
    /** Incarnation of the answering replica; all pages must come from the same incarnation. */
    readonly incarnation: number;
    readonly cursor: number;
    readonly isAbstaining: boolean;
    readonly rows: readonly SyncedClaim[];
    /** Undefined on the last page. */
    readonly nextCursor: number | undefined;
}
