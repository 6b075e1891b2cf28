import type { Member } from "../control/messages.js";
import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import type { ServiceDemand, ZoneDemand } from "../overload/demand.js";
import type { EntryQuotas, MemberQuotas, QuotaReport, QuotaUse } from "../quotas/quotaMessages.js";
import type { EntrySuspects, SuspectReport, SuspectRow } from "../suspects/suspectMessages.js";
import type { DirectoryChange, DirectoryDelta, DirectoryResult } from "./directoryState.js";
import type { ColdReport, EntryDemand, EntryLimits, LimitReport, MemberColdRow } from "./rateLimits.js";

/** Methods of the calls between the processes of a directory. */
export const DirectoryMethod = {
    /** Entry to control VM: reports the state of the entry and waits for changes of the directory. */
    watch: "directory.watch",
    /** Entry to control VM: reports the state of the entry. */
    reportEntry: "directory.entry",
    /** Control VM to leader: forwards a change. */
    propose: "directory.propose",
    /** Control VM to leader: asks for the revision that a read must include. */
    readVersion: "directory.read-version",
    /** Control VM to leader: reports received heartbeats and the number of attached entries. */
    reportHeartbeats: "directory.heard",
    /** Control VM to control VM: asks for the entries attached to the other one, and waits for changes of them. */
    entryList: "directory.entries",
    /** Control VM to control VM: asks for the serving entries attached to the receiver. */
    listPeers: "directory.peers",
    /** Control VM to control VM: the sender asks to join the group. */
    join: "directory.join",
    /** Control VM to control VM: the sender is about to stop. */
    leaving: "directory.leaving",
} as const;

/** Incarnation of an instance whose responses announce that it leaves. */
export interface LeavingInstance {
    readonly id: UpstreamId;
    readonly bornAtMs: number;
}

/** State of an entry, as reported to a control VM. */
export interface EntryReport {
    readonly id: EntryId;
    /** For callers, `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Whether the entry may be offered to callers. */
    readonly isServing: boolean;
    /** Services that callers recently requested; undefined from versions without rate limits. */
    readonly services?: readonly ServiceName[];
    /** Rate limits that the entry saw and that the control VM does not show yet. */
    readonly limits?: readonly LimitReport[];
    /** Instances that told the entry that they leave and that the directory shows as ready; undefined if none. */
    readonly leaving?: readonly LeavingInstance[];
    /** Warmups that the entry saw and that the control VM does not show yet. */
    readonly cold?: readonly ColdReport[];
    /** Requests of organisations with quotas since the last report; undefined if there were none. */
    readonly quotas?: readonly QuotaUse[];
    /** Whether the entry cannot reach instances; callers should get other entries. Undefined if it can. */
    readonly isCutOff?: boolean;
    /** Recent demand for the services of which requests were rejected; undefined while there are none. */
    readonly demand?: readonly ServiceDemand[] | undefined;
    /** Instances that were lost with requests, and suspects that survived; undefined if there are none. */
    readonly suspects?: SuspectReport;
}

/** A serving entry through which another one can relay requests. */
export interface RelayPeer {
    /** For callers, `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
}

/** Parameters of `directory.watch`. */
export interface WatchParams {
    readonly entry: EntryReport;
    /** Revision of the entry's copy of the directory; 0 if it has none. */
    readonly version: number;
    /** Whether the entry accepts updates of its routes instead of whole tables. */
    readonly canUpdate?: boolean;
    /** Whether the entry accepts compressed routes; undefined from versions without them. */
    readonly canUnpack?: boolean;
    /** Version of the rate limits that the entry has; undefined from versions without them. */
    readonly limitsVersion?: number;
    /** Version of the quotas that the entry has; undefined if no organisation has one. */
    readonly quotasVersion?: number;
    /** Version of the suspects that the entry has; undefined from versions without them. */
    readonly suspectsVersion?: number;
    /** Whether the entry asks for peers through which it can relay requests; undefined if not. */
    readonly wantsPeers?: boolean;
    /** Longest wait for a change in milliseconds. */
    readonly waitMs: number;
}

/** Answer of `directory.watch`. */
export interface WatchAnswer {
    /** Whether the control VM has had recent contact with the leader; otherwise its state may be stale. */
    readonly isLed: boolean;
    /**
     * Age that the confirmation of the state had when the call was received; negative if it was confirmed after that.
     * Undefined if `isLed` is false, and from versions that confirmed it for the time of the call.
     */
    readonly confirmedAgeMs?: number;
    /** Undefined when nothing has changed. */
    readonly delta: DirectoryDelta | undefined;
    /** Entries attached to this control VM, including the sender. */
    readonly entryCount: number;
    /** Entries attached to all control VMs; undefined while not known, and from versions without this field. */
    readonly entryTotal?: number;
    /** Undefined while no instance has named a rate limit. */
    readonly limits?: EntryLimits;
    /** Undefined unless the entry named a version and organisations have quotas. */
    readonly quotas?: EntryQuotas;
    /** A few serving entries of each availability zone; undefined unless the entry asked for them. */
    readonly peers?: readonly RelayPeer[];
    /** Recent demand for the services of which requests were rejected, by zone; undefined while there are none. */
    readonly demand?: readonly ZoneDemand[] | undefined;
    /** Requests suspected of crashing instances; undefined if the entry has them or named no version. */
    readonly suspects?: EntrySuspects;
}

/** Answer of `directory.propose`: outcome of the forwarded change. */
export type ForwardedOutcome =
    /** The change was committed and applied; `result` tells whether it was accepted. */
    | { readonly kind: "applied"; readonly result: DirectoryResult; }
    /** The change was not proposed and will not be applied. */
    | { readonly kind: "refused"; }
    /** It is not known whether the change has been or will be applied. */
    | { readonly kind: "unknown"; };

/** Parameters of `directory.propose`. */
export interface ProposeParams {
    readonly change: DirectoryChange;
}

/** Parameters of `directory.heard`. */
export interface HeartbeatReport {
    /** Instances that sent heartbeats to the sender. */
    readonly ids: readonly UpstreamId[];
    /** Entries attached to the sender; undefined from versions without this field. */
    readonly entryCount?: number;
    /** Entries attached to the sender; undefined while it knows of no rate limit and none is configured. */
    readonly entries?: readonly EntryDemand[];
    /** Rate limits that entries saw since the last report. */
    readonly limits?: readonly LimitReport[];
    /** Warmups that entries saw and registrations do not show. */
    readonly cold?: readonly ColdReport[];
    /** Undefined unless organisations have quotas. */
    readonly quotas?: QuotaReport;
    /** What entries saw of crashes since the last report; undefined if nothing. */
    readonly suspects?: SuspectReport;
}

/** Answer of `directory.heard`. */
export interface HeartbeatReportAnswer {
    /** Entries attached to all control VMs; undefined unless the answering VM leads and knows the number. */
    readonly entryTotal: number | undefined;
    /** Undefined unless the answering VM leads. */
    readonly limits?: MemberLimits;
    /** Undefined unless the answering VM leads and organisations have quotas. */
    readonly quotas?: MemberQuotas;
    /** Requests suspected of crashing instances; undefined unless the answering VM leads, and from versions without them. */
    readonly suspects?: readonly SuspectRow[];
}

/** Rate limits with the shares of the entries that a control VM reported. */
export interface MemberLimits {
    /** Time for which the shares may be used, in milliseconds from the report. */
    readonly validMs: number;
    readonly rows: readonly MemberLimitRow[];
    /** Cold instances; undefined if none, and from versions without them. */
    readonly cold?: readonly MemberColdRow[];
}

/** One rate limit for a control VM. */
export interface MemberLimitRow extends LimitReport {
    /** Shares by position of the entry in the report. */
    readonly shares: readonly (readonly [position: number, share: number])[];
}

/** Parameters of `directory.entries`. */
export interface EntryListParams {
    /** Version of the list that the sender holds; 0 if it holds none. */
    readonly version: number;
    /** Longest wait for a change in milliseconds. */
    readonly waitMs: number;
}

/** An attached entry; `ageMs` is the time since it first reported this state. */
export type EntryRow = readonly [
    id: EntryId,
    address: string,
    availabilityZone: string,
    isServing: boolean,
    ageMs: number,
];

/** Answer of `directory.entries`. */
export interface EntryListAnswer {
    readonly version: number;
    /** Whether `rows` is the whole list and not only what changed. */
    readonly isFull?: boolean;
    /** Undefined when nothing has changed. */
    readonly rows?: readonly EntryRow[];
    /** Entries that are no longer attached; undefined with a whole list. */
    readonly removed?: readonly EntryId[];
}

/** Answer of `directory.join`: the members known to the answering VM. */
export interface JoinAnswer {
    readonly members: readonly Member[];
}
