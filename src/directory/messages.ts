import type { Member } from "../control/messages.js";
import type { EntryId, UpstreamId } from "../core/ids.js";
import type { DirectoryChange, DirectoryDelta, DirectoryResult } from "./directoryState.js";

/** Calls between the processes of a directory. */
export const DirectoryMethod = {
    /** Entry to control: state of the entry, and a wait for what is new. */
    watch: "directory.watch",
    /** Entry to control: state of the entry, without a wait. */
    reportEntry: "directory.entry",
    /** Control to the leader: a change to be replicated. */
    propose: "directory.propose",
    /** Control to the leader: the version that a read must at least show. */
    readVersion: "directory.read-version",
    /** Control to the leader: the instances that were heard and the entries that are attached. */
    reportHeard: "directory.heard",
    /** Control to control: a VM that wants to be a member. */
    join: "directory.join",
    /** Control to control: a member that is about to stop. */
    leaving: "directory.leaving",
} as const;

/** State of an entry, as it tells a control VM. */
export interface EntryReport {
    readonly id: EntryId;
    /** For callers, `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Whether callers are to be sent there. */
    readonly isServing: boolean;
}

/** Parameters of `directory.watch`. */
export interface WatchParams {
    readonly entry: EntryReport;
    /** Version that the entry holds; 0 when it holds none. */
    readonly version: number;
    /** Whether the entry takes updates of the routes that it holds. */
    readonly canUpdate?: boolean;
    /** Longest wait for a change in milliseconds. */
    readonly waitMs: number;
}

/** Answer of `directory.watch`. */
export interface WatchAnswer {
    /** Whether the control VM heard from a leader lately; otherwise its state may be old. */
    readonly isLed: boolean;
    /** Undefined when nothing has changed. */
    readonly delta: DirectoryDelta | undefined;
    /** Entries attached to this control VM, the asking one included. */
    readonly entryCount: number;
    /** Entries attached to all control VMs; undefined while that is not known, and from earlier versions. */
    readonly entryTotal?: number;
}

/** Answer of `directory.propose`; `refused` and `unknown` as in `ProposalEnd`. */
export type ForwardedEnd =
    | { readonly kind: "applied"; readonly result: DirectoryResult; }
    | { readonly kind: "refused"; }
    | { readonly kind: "unknown"; };

/** Parameters of `directory.propose`. */
export interface ProposeParams {
    readonly change: DirectoryChange;
}

/** Parameters of `directory.heard`. */
export interface HeardParams {
    readonly ids: readonly UpstreamId[];
    /** Entries attached to the sender; undefined from earlier versions. */
    readonly entryCount?: number;
}

/** Answer of `directory.heard`. */
export interface HeardAnswer {
    /** As in `WatchAnswer`. */
    readonly entryTotal: number | undefined;
}

/** Answer of `directory.join`: the members that the asked VM knows. */
export interface JoinAnswer {
    readonly members: readonly Member[];
}
