import type { Catalogue, EntryVm, RunbookCommand, Service, UpstreamOverride } from "../catalogue/model.js";
import type { ControlVmId, EntryId, ServiceName, UpstreamId } from "../core/ids.js";

/** Declarations of one folder; they replace all earlier declarations. */
export interface Declarations {
    readonly services: readonly Service[];
    readonly entryVms: readonly EntryVm[];
    readonly runbookCommands: readonly RunbookCommand[];
}

/** Operation of a catalogue change. */
export type ChangeOperation =
    | {
        readonly kind: "declare";
        readonly declarations: Declarations;
        /** Entry VMs that keep their state in the catalogue, because their declarations set none. */
        readonly keepStateOf?: readonly EntryId[];
    }
    | { readonly kind: "set-upstream-override"; readonly override: UpstreamOverride; }
    | { readonly kind: "clear-upstream-override"; readonly service: ServiceName; readonly upstreamId: UpstreamId; }
    | { readonly kind: "set-entry-vm-state"; readonly entryId: EntryId; readonly state: "active" | "draining"; }
    | {
        readonly kind: "set-service-limit";
        readonly service: ServiceName;
        readonly limit: string;
        readonly value: number;
    };

/** Parameters of `catalogue.apply`. The operator's name comes from the token. */
export interface ApplyParams {
    readonly changeId: string;
    /** Revision on which the change is based. */
    readonly baseRevision: number;
    readonly operation: ChangeOperation;
}

/** Outcome of a change. */
export const ApplyOutcome = {
    /** Durable at a majority of voters and held by a majority of the entries of each region. */
    accepted: "accepted",
    /** Durable at a majority of voters, not yet known to be held by a majority of the entries of each region. */
    pending: "pending",
    /** The base revision is not the current one; `winner` is the change that followed the base revision, if known. */
    conflict: "conflict",
    /** The change is invalid. */
    rejected: "rejected",
    /** The change may or may not be durable; resending the same command determines its outcome. */
    unknown: "unknown",
} as const;

export type ApplyOutcome = typeof ApplyOutcome[keyof typeof ApplyOutcome];

/** Audit record of a change that reached the log: accepted, in conflict or rejected. */
export interface AuditRecord {
    readonly revision: number;
    readonly changeId: string;
    readonly operator: string;
    /** Remote address of the operator. */
    readonly from: string;
    /** ISO 8601 time at the leader that proposed the change. */
    readonly at: string;
    readonly operation: ChangeOperation["kind"];
    /** Changed fields: path, before and after as JSON. */
    readonly difference: readonly FieldDifference[];
    readonly outcome: ApplyOutcome;
    readonly detail: string;
}

/** One changed field; `before` or `after` is undefined when the field does not exist on that side. */
export interface FieldDifference {
    readonly path: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/** Answer of `catalogue.apply`. */
export interface ApplyAnswer {
    readonly outcome: ApplyOutcome;
    readonly revision: number;
    readonly detail: string;
    readonly winner: AuditRecord | undefined;
    readonly entriesHolding: number;
    readonly entriesTotal: number;
}

/** Answer of `catalogue.show`; confirmed by a quorum. */
export interface ShowAnswer {
    readonly catalogue: Catalogue;
}

/** Parameters of `audit.list` and `catalogue.history`. */
export interface AuditFilter {
    readonly operator?: string;
    readonly changeId?: string;
    readonly sinceRevision?: number;
    readonly untilRevision?: number;
    readonly outcome?: ApplyOutcome;
    readonly limit?: number;
}

/** Answer of `audit.list` and `catalogue.history`, oldest first; confirmed by a quorum. */
export interface AuditAnswer {
    readonly records: readonly AuditRecord[];
}

/** State of an entry as of its last sync with the answering control VM. */
export interface EntryStatus {
    readonly id: EntryId;
    readonly availabilityZone: string;
    readonly revision: number;
    readonly incarnation: number;
    readonly isDraining: boolean;
    readonly isConfirmed: boolean;
    /** Age of the last sync; -1 if there was none. */
    readonly heardAgoMs: number;
    /** Cost of the entry's probes by service, in upstream milliseconds per second. */
    readonly measuringSpentMsPerSecond: Readonly<Record<ServiceName, number>>;
    readonly problems: readonly string[];
}

/** State of a control VM as seen by the answering control VM. */
export interface VoterStatus {
    readonly id: ControlVmId;
    readonly role: "leader" | "follower" | "candidate" | "learner" | "unknown";
    readonly term: number;
    readonly revision: number;
    /** Time since the last contact, or since the answering VM started if there was none. */
    readonly heardAgoMs: number;
    readonly problems: readonly string[];
}

/** Answer of `status`. */
export interface StatusAnswer {
    readonly answeredBy: ControlVmId;
    readonly isQuorumConfirmed: boolean;
    readonly revision: number;
    readonly voters: readonly VoterStatus[];
    readonly entries: readonly EntryStatus[];
    readonly upstreams: readonly UpstreamStatus[];
}

/** State of an upstream as reported by the entries. */
export interface UpstreamStatus {
    readonly service: ServiceName;
    readonly id: UpstreamId;
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: string;
    readonly slots: number;
    readonly incarnation: number;
    readonly evidenceAgeMs: number;
}

/** Methods of `POST /v1/rpc` on a control VM; their parameters and answers are the types above. */
export const OperatorMethod = {
    apply: "catalogue.apply",
    show: "catalogue.show",
    history: "catalogue.history",
    audit: "audit.list",
    status: "status",
} as const;

export type OperatorMethod = typeof OperatorMethod[keyof typeof OperatorMethod];

/** Parameters of `config.sync`, from an entry to a control VM. */
export interface ConfigSyncParams {
    readonly entryId: EntryId;
    readonly availabilityZone: string;
    readonly region: string;
    readonly incarnation: number;
    readonly revision: number;
    readonly isDraining: boolean;
    readonly isConfirmed: boolean;
    readonly measuringSpentMsPerSecond: Readonly<Record<ServiceName, number>>;
    readonly upstreams: readonly UpstreamStatus[];
    readonly problems: readonly string[];
}

/** Answer of `config.sync`. */
export interface ConfigSyncAnswer {
    /** True when a quorum of voters confirmed the leader after the call arrived. */
    readonly isQuorumConfirmed: boolean;
    readonly revision: number;
    /** Set when the control VM holds a higher revision than the entry. */
    readonly catalogue: Catalogue | undefined;
    /** Peer address of the leader, when this control VM is not the leader. */
    readonly leaderAddress: string | undefined;
}
