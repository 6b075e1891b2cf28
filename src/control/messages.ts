import type { VoterId } from "../core/ids.js";
import type { ApplyOutcome, AuditRecord, ChangeOperation } from "./operatorApi.js";

/** A member of the control group. */
export interface Member {
    readonly id: VoterId;
    /** `host:port`. */
    readonly peerAddress: string;
}

/** Who votes and who only receives the log. */
export interface GroupMembers {
    readonly voters: readonly Member[];
    readonly learners: readonly Member[];
}

/** A change of the catalogue, as it is replicated. */
export interface ChangeCommand {
    readonly changeId: string;
    readonly baseRevision: number;
    readonly operation: ChangeOperation;
    readonly operator: string;
    /** Address the change came from. */
    readonly from: string;
    /** Wall-clock time of the leader in Unix milliseconds, for the audit trail. */
    readonly proposedAtMs: number;
    /** Time of the group at the leader; all replicas decide on retention by it. */
    readonly groupTimeMs: number;
    /**
     * What the leader found when it checked the operation against the base revision. The finding is replicated, since
     * replicas of different versions may check differently.
     */
    readonly problem: string | undefined;
}

/** What a log record does. */
export type Command =
    /** First record of a leader's term; commits the records of earlier terms. */
    | { readonly kind: "no-op"; }
    /** The change is a `ChangeCommand` in the log of the catalogue. */
    | { readonly kind: "change"; readonly change: unknown; }
    | { readonly kind: "members"; readonly members: GroupMembers; };

/** One record of the replicated log. */
export interface LogRecord {
    readonly index: number;
    readonly term: number;
    readonly command: Command;
}

/** Result of a change in the state machine. A resend gets the same result. */
export interface ChangeResult {
    readonly changeId: string;
    readonly operationDigest: string;
    readonly outcome: ApplyOutcome;
    readonly revision: number;
    readonly detail: string;
    readonly winner: AuditRecord | undefined;
    /** Entry groups that must each hold the change by majority; undefined when the current list applies. */
    readonly requiredGroups: readonly EntryGroup[] | undefined;
}

/** Entries of one region. */
export interface EntryGroup {
    readonly region: string;
    readonly entryIds: readonly string[];
}

/** State of the group at a log index; replaces the records up to it. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly members: GroupMembers;
    readonly state: Uint8Array;
}

/** What a control VM has on its disk. */
export interface PersistedState {
    readonly term: number;
    readonly votedFor: VoterId | undefined;
    readonly snapshot: Snapshot | undefined;
    /** Records in order; some may be at or below the snapshot's index. */
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
        /** Highest index known to match the leader's log; with `isMatch` false, where the leader should try next. */
        readonly matchIndex: number;
        readonly round: number;
        readonly revision: number;
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
}

/** Part of a snapshot from the leader. */
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

/** What can happen to a control VM. */
export type ControlEvent =
    | { readonly kind: "message"; readonly from: VoterId; readonly message: ReplicationMessage; }
    | { readonly kind: "propose"; readonly requestId: number; readonly command: Command; }
    /** Asks for a quorum round that starts after this event. */
    | { readonly kind: "read"; readonly requestId: number; }
    /** Starts a new group; ignored by a VM that already has one. */
    | { readonly kind: "found"; readonly members: GroupMembers; }
    /** A VM that is not a member asks to become one. */
    | { readonly kind: "join"; readonly member: Member; }
    /** A member is about to stop. */
    | { readonly kind: "leaving"; readonly memberId: VoterId; };

/** How a proposal or a read ended. */
export type ControlAnswer =
    | { readonly kind: "applied"; readonly index: number; readonly result: unknown; }
    | { readonly kind: "confirmed"; }
    /** The proposal was not taken. */
    | { readonly kind: "refused"; readonly leaderId: VoterId | undefined; }
    /** Leadership was lost; whether the proposal becomes durable is not known. */
    | { readonly kind: "lost"; };

/**
 * What a control VM wants done. All disk effects of a batch are done, in order, before any other effect of the batch;
 * when one of them fails, no other effect may be done and the VM stops.
 */
export type ControlEffect =
    | { readonly kind: "save-vote"; readonly term: number; readonly votedFor: VoterId | undefined; }
    /** Replaces all records from the first one's index on. */
    | { readonly kind: "append"; readonly records: readonly LogRecord[]; }
    /** Replaces the snapshot and the log; durable when done. */
    | { readonly kind: "save-snapshot"; readonly snapshot: Snapshot; readonly records: readonly LogRecord[]; }
    /** Makes the appended records durable. */
    | { readonly kind: "sync"; }
    | { readonly kind: "send"; readonly to: VoterId; readonly message: ReplicationMessage; }
    | { readonly kind: "answer"; readonly requestId: number; readonly answer: ControlAnswer; }
    | { readonly kind: "log"; readonly level: "info" | "warn"; readonly text: string; };
