import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";

/** What an entry saw of an instance's rate limit. */
export interface LimitReport {
    readonly id: UpstreamId;
    /** Start time of the incarnation that named the limit. */
    readonly bornAtMs: number;
    /** Requests a second from all entries together; undefined once the limit has been withdrawn. */
    readonly perSecond: number | undefined;
    /** Age of the observation when it was reported, in milliseconds. */
    readonly ageMs: number;
}

/** An entry that may get shares of limits. */
export interface EntryDemand {
    readonly id: EntryId;
    readonly availabilityZone: string;
    /** Services that callers of the entry recently requested. */
    readonly services: readonly ServiceName[];
}

/** A rate limit with the share that one entry may use. */
export interface LimitRow extends LimitReport {
    /** In [0, 1]; the shares of all entries add up to at most 1. */
    readonly share: number;
}

/** Rate limits for one entry, as its control VM knows them. */
export interface EntryLimits {
    /** Changes with the rows. */
    readonly version: number;
    /** Time for which the shares may still be used. */
    readonly validMs: number;
    /** Undefined if the entry has this version already. */
    readonly rows: readonly LimitRow[] | undefined;
    /** Cold instances, with `rows`; undefined if none, and from versions without them. */
    readonly cold?: readonly ColdRow[];
}

/** What an entry saw of the warmup of an instance. */
export interface ColdReport {
    readonly id: UpstreamId;
    readonly bornAtMs: number;
    /** Rest of the warmup when it was reported. */
    readonly warmupMs: number;
}

/** Permits with which a holder starts. `grant` identifies the holding; `ageMs` is its age or more. */
export type StartRow = readonly [permits: number, grant: number, ageMs: number];

/** The limit of a cold instance with the share that one entry may use. */
export interface ColdRow extends ColdReport {
    readonly perSecond: number;
    readonly share: number;
    readonly start?: StartRow;
}

/** The limit of a cold instance for a control VM. */
export interface MemberColdRow extends ColdReport {
    readonly perSecond: number;
    readonly isOnlyReported: boolean;
    /** Shares by position of the entry in the report. */
    readonly shares: readonly (readonly [position: number, share: number, start?: StartRow])[];
}

/** Part of a limit's burst that grows with it, in seconds of the limit, and the constant part. */
const burstSeconds = 2;
const burstBase = 3;
/** Requests that each holder of a share can accumulate at least; with fewer, uneven demand leaves the share idle. */
const minBurstPerHolder = 2;
/** Rate up to which a lower limit is tested, since only an answer can show that it has risen. */
const minRatePerSecond = 0.1;

/** Returns the requests a second that all entries together may send to an instance with a limit. */
export function usableRatePerSecond(limitPerSecond: number): number {
    return Math.max(limitPerSecond, minRatePerSecond);
}

/** Returns the requests that all entries together may accumulate for an instance with a limit. */
export function usableBurst(limitPerSecond: number): number {
    return burstSeconds * limitPerSecond + burstBase;
}

/**
 * Returns the maximum number of entries that can share a limit. Each needs a burst of whole requests: smaller parts
 * rounded up would exceed the limit, and rounded down would leave it idle.
 */
export function maxHolders(limitPerSecond: number): number {
    return Math.max(1, Math.floor(usableBurst(limitPerSecond) / minBurstPerHolder));
}
