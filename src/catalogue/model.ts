import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";

/** Priority classes of services, highest first. */
export const ServiceClass = {
    interactive: "interactive",
    standard: "standard",
    batch: "batch",
} as const;

export type ServiceClass = typeof ServiceClass[keyof typeof ServiceClass];

/** Routing policies of services. */
export const PolicyName = {
    random: "random",
    roundRobin: "round-robin",
    leastOutstanding: "least-outstanding",
    twoChoices: "two-choices",
    slotGrants: "slot-grants",
} as const;

export type PolicyName = typeof PolicyName[keyof typeof PolicyName];

/** Limits of a service. They apply to all entries together, except those per entry. */
export interface ServiceLimits {
    readonly maxInFlight: number;
    readonly requestsPerSecond: number;
    /** Maximum number of requests queued at one entry. */
    readonly maxQueuedPerEntry: number;
    /** Maximum number of one caller's requests in flight and queued at one entry. */
    readonly maxPerCallerPerEntry: number;
    readonly maxBodyBytes: number;
    /** Deadline of requests that do not specify one. */
    readonly defaultDeadlineMs: number;
}

/** Hedging of idempotent requests. */
export interface HedgingOptions {
    readonly enabled: boolean;
    /** Quantile of the recent latency after which the second attempt starts. */
    readonly afterQuantile: number;
}

/** One service of the catalogue. */
export interface Service {
    readonly name: ServiceName;
    readonly owner: string;
    readonly class: ServiceClass;
    readonly limits: ServiceLimits;
    readonly policy: PolicyName;
    /** Time of the upstreams that probes may use, in milliseconds per second over all entries together. */
    readonly measuringBudgetMsPerSecond: number;
    /** Time of the upstream that one probe uses. */
    readonly probeCostMs: number;
    /** Maximum ratio of retries and hedges to requests. */
    readonly retryRatio: number;
    readonly hedging: HedgingOptions;
    readonly idempotentMethods: readonly string[];
    /** Time over which the load share of a new instance rises to its full value. */
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

/** State of an upstream set by an operator; it overrides the state that the upstream reports. */
export interface UpstreamOverride {
    readonly service: ServiceName;
    readonly upstreamId: UpstreamId;
    readonly state: "draining";
}

/** Command in the operators' runbooks and the figwharf operation that it runs. */
export interface RunbookCommand {
    readonly name: string;
    readonly operation: string;
    /** Arguments of the operation; `{1}`, `{2}` ... are placeholders for the arguments of the command. */
    readonly arguments: readonly string[];
}

/** A revision of the list of entry VMs, over which the claims of idempotency keys are distributed. */
export interface EntryList {
    readonly revision: number;
    readonly entryIds: readonly EntryId[];
    readonly availabilityZones: readonly string[];
}

/** The complete configuration at one revision. */
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
