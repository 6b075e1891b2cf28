import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";

/** Classes of service, in falling priority. */
export const ServiceClass = {
    interactive: "interactive",
    standard: "standard",
    batch: "batch",
} as const;

export type ServiceClass = typeof ServiceClass[keyof typeof ServiceClass];

/** Routing policies a service can choose. */
export const PolicyName = {
    random: "random",
    roundRobin: "round-robin",
    leastOutstanding: "least-outstanding",
    twoChoices: "two-choices",
    slotGrants: "slot-grants",
} as const;

export type PolicyName = typeof PolicyName[keyof typeof PolicyName];

/** Limits of a service. They hold over all entries together, except those that name the entry. */
export interface ServiceLimits {
    readonly maxInFlight: number;
    readonly requestsPerSecond: number;
    /** Requests that may wait at one entry. */
    readonly maxQueuedPerEntry: number;
    /** Requests in flight and waiting of one caller at one entry. */
    readonly maxPerCallerPerEntry: number;
    readonly maxBodyBytes: number;
    /** Deadline of a request that states none. */
    readonly defaultDeadlineMs: number;
}

/** Hedging of idempotent requests. */
export interface HedgingOptions {
    readonly enabled: boolean;
    /** A second attempt starts after this quantile of the recent latency. */
    readonly afterQuantile: number;
}

/** One service of the catalogue. */
export interface Service {
    readonly name: ServiceName;
    readonly owner: string;
    readonly class: ServiceClass;
    readonly limits: ServiceLimits;
    readonly policy: PolicyName;
    /** Upstream milliseconds per second that measuring may cost, over all entries together. */
    readonly measuringBudgetMsPerSecond: number;
    /** Upstream milliseconds that one probe costs. */
    readonly probeCostMs: number;
    /** Retries and hedges as a share of requests. */
    readonly retryRatio: number;
    readonly hedging: HedgingOptions;
    readonly idempotentMethods: readonly string[];
    /** Time over which a new instance gets its full share. */
    readonly rampMs: number;
}

/** One entry VM of the catalogue. */
export interface EntryVm {
    readonly id: EntryId;
    readonly region: string;
    readonly availabilityZone: string;
    /** `host:port` for callers and upstreams. */
    readonly address: string;
    /** `host:port` for the system's own processes. */
    readonly peerAddress: string;
    readonly state: "active" | "draining";
}

/** Operator's override of an upstream's own state. */
export interface UpstreamOverride {
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly state: "draining";
}

/** Command name of the operators' runbooks and the figwharf operation it stands for. */
export interface RunbookCommand {
    readonly name: string;
    readonly operation: string;
    /** Arguments of the operation; `{1}`, `{2}` ... stand for arguments of the command. */
    readonly arguments: readonly string[];
}

/** A revision of the list of entry VMs; claims of a key are spread over it. */
export interface EntryList {
    readonly revision: number;
    readonly entryIds: readonly EntryId[];
    readonly availabilityZones: readonly string[];
}

/** The whole configuration at one revision. */
export interface Catalogue {
    readonly revision: number;
    readonly services: Readonly<Record<ServiceName, Service>>;
    readonly entryVms: Readonly<Record<EntryId, EntryVm>>;
    readonly upstreamOverrides: readonly UpstreamOverride[];
    readonly runbookCommands: Readonly<Record<string, RunbookCommand>>;
    /** Entry lists by revision, oldest first; the last one is current. */
    readonly entryLists: readonly EntryList[];
}

/** The catalogue before the first change. */
export const emptyCatalogue: Catalogue = {
    revision: 0,
    services: {},
    entryVms: {},
    upstreamOverrides: [],
    runbookCommands: {},
    entryLists: [],
};
