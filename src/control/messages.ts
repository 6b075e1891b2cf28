import type { ControlVmId } from "../core/ids.js";
import type { ApplyOutcome, AuditRecord, ChangeOperation } from "./operatorApi.js";

/** A member of the control group. */
export interface Member {
    readonly id: ControlVmId;
    /** `host:port`. */
    readonly peerAddress: string;
}

/** Voters of the control group, and learners, which only receive the log. */
export interface GroupMembers {
    readonly voters: readonly Member[];
    readonly learners: readonly Member[];
}

/** A catalogue change as it is stored in the replicated log. */
export interface ChangeCommand {
    readonly changeId: string;
    readonly baseRevision: number;
    readonly operation: ChangeOperation;
    readonly operator: string;
    /** Remote address of the operator. */
    readonly from: string;
    /** Wall-clock time of the leader in Unix milliseconds, for the audit trail. */
    readonly proposedAtMs: number;
    /** Group time at the leader; all replicas base retention on it. */
    readonly groupTimeMs: number;
    /**
     * Why the leader's validation of the operation against the base revision failed; undefined when it passed. It is
     * replicated because replicas that run different software versions may validate differently.
     */
    readonly problem: string | undefined;
}

/** Payload of a log record. */
export type Command =
    /** First record of a leader's term; commits the records of earlier terms. */
    | { readonly kind: "no-op"; }
    /** In the catalogue's log, `change` is a `ChangeCommand`. */
    | { readonly kind: "change"; readonly change: unknown; }
    | { readonly kind: "members"; readonly members: GroupMembers; };

/** One record of the replicated log. */
export interface LogRecord {
    readonly index: number;
    readonly term: number;
    readonly command: Command;
}

/** Result of applying a change. A resend gets the same result. */
export interface ChangeResult {
    readonly changeId: string;
    readonly operationDigest: string;
    readonly outcome: ApplyOutcome;
    readonly revision: number;
    readonly detail: string;
    readonly winner: AuditRecord | undefined;
    /** Entry groups in each of which a majority must hold the change; undefined means those of the current list. */
    readonly requiredGroups: readonly EntryGroup[] | undefined;
}

/** Entries of one region. */
export interface EntryGroup {
    readonly region: string;
    readonly entryIds: readonly string[];
}

/** Replicated state at a log index; replaces the records up to and including it. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly members: GroupMembers;
    readonly state: Uint8Array;
}

/** Replica state on the disk of a control VM. */
export interface PersistedState {
    readonly term: number;
    readonly votedFor: ControlVmId | undefined;
    readonly snapshot: Snapshot | undefined;
    /** Records in index order; some may be at or below the snapshot's index. */
    readonly records: readonly LogRecord[];
}

/** Message between two control VMs. */
export type ReplicationMessage =
    /** Asks whether an election in `term` could be won; changes no state at the receiver. */
    | { readonly kind: "pre-vote"; readonly term: number; readonly lastIndex: number; readonly lastTerm: number; }
    | { readonly kind: "pre-vote-answer"; readonly term: number; readonly isGranted: boolean; }
    | { readonly kind: "vote"; readonly term: number; readonly lastIndex: number; readonly lastTerm: number; }
    | { readonly kind: "vote-answer"; readonly term: number; readonly isGranted: boolean; }
    | AppendMessage
    | {
        readonly kind: "append-answer";
        readonly term: number;
        readonly isMatch: boolean;
        /** Highest index known to match the leader's log; with `isMatch` false, the `previousIndex` to try next. */
        readonly matchIndex: number;
        readonly round: number;
        readonly revision: number;
        /** Time of the answer by the sender's clock; undefined from versions without confirmations. */
        readonly sentAtMs?: number;
    }
    | SnapshotMessage
    | {
        readonly kind: "snapshot-answer";
        readonly term: number;
        readonly snapshotIndex: number;
        readonly nextOffset: number;
        readonly round: number;
    };

/** Records from the leader; without records it is a heartbeat. */
export interface AppendMessage {
    readonly kind: "append";
    readonly term: number;
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly records: readonly LogRecord[];
    readonly commitIndex: number;
    /** Quorum round the message belongs to; echoed in the answer. */
    readonly round: number;
    /**
     * The latest `sentAtMs` of the receiver after which a quorum confirmed that the sender leads; negative if there is
     * none. The receiver's state is then current as of that time. Undefined from versions without confirmations.
     */
    readonly confirmedAtMs?: number;
}

/** Chunk of a snapshot from the leader. */
export interface SnapshotMessage {
    readonly kind: "snapshot";
    readonly term: number;
    readonly index: number;
    readonly snapshotTerm: number;
    readonly members: GroupMembers;
    readonly offset: number;
    readonly data: Uint8Array;
    readonly isLast: boolean;
    readonly round: number;
}

/** Event that a replica handles. */
export type ControlEvent =
    | { readonly kind: "message"; readonly from: ControlVmId; readonly message: ReplicationMessage; }
    | { readonly kind: "propose"; readonly requestId: number; readonly command: Command; }
    /** Requests a quorum round that starts after this event. */
    | { readonly kind: "read"; readonly requestId: number; }
    /** Bootstraps a new group; ignored by a VM that already has a group. */
    | { readonly kind: "found"; readonly members: GroupMembers; }
    /** A VM that is not a member asks to become one. */
    | { readonly kind: "join"; readonly member: Member; }
    /** A member is about to stop. */
    | { readonly kind: "leaving"; readonly memberId: ControlVmId; };

/** Outcome of a proposal or a read. */
export type ControlAnswer =
    | { readonly kind: "applied"; readonly index: number; readonly result: unknown; }
    | { readonly kind: "confirmed"; }
    /** Not accepted: this VM does not lead, or the member change is not allowed at the moment. */
    | { readonly kind: "refused"; readonly leaderId: ControlVmId | undefined; }
    /** Leadership was lost; the proposal may or may not be committed. */
    | { readonly kind: "lost"; };

/**
 * I/O that a replica requests. The disk effects of a batch must be performed in order, before its other effects. A disk
 * effect that fails is retried if the disk is full; after any other failure, the VM stops without the other effects.
 */
export type ControlEffect =
    | { readonly kind: "save-vote"; readonly term: number; readonly votedFor: ControlVmId | undefined; }
    /** Appends records, replacing those on disk from the first record's index on. */
    | { readonly kind: "append"; readonly records: readonly LogRecord[]; }
    /** Replaces the snapshot and the log; durable on return. */
    | { readonly kind: "save-snapshot"; readonly snapshot: Snapshot; readonly records: readonly LogRecord[]; }
    /** Makes the appended records durable. */
    | { readonly kind: "sync"; }
    | { readonly kind: "send"; readonly to: ControlVmId; readonly message: ReplicationMessage; }
    | { readonly kind: "answer"; readonly requestId: number; readonly answer: ControlAnswer; }
    | { readonly kind: "log"; readonly level: "info" | "warn"; readonly text: string; };
