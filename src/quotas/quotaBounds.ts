import type { Organisation } from "../directory/model.js";

/** Limits on the requests that all entries together may forward in excess of an organisation's rate. */
export interface QuotaBounds {
    readonly windowMs: number;
    /** Share of a window's quota by which it may be exceeded. */
    readonly overshoot: number;
    /** Requests by which a window's quota may be exceeded in addition. */
    readonly tolerance: number;
}

export const defaultQuotaBounds: QuotaBounds = { windowMs: 5000, overshoot: 0.1, tolerance: 20 };

/** An organisation with a rate limit. */
export interface Quota {
    readonly organisation: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

const msPerSecond = 1000;
/**
 * Random arrivals at 0.9 times the rate need a bucket of about 15 requests for fewer than 1 refusal in 200, and more when
 * it is divided, so that of a smaller burst is enlarged, by up to this share of the tolerated excess. The rest of the excess is for what entries
 * admit before a rise in demand is known.
 */
const minBucketSize = 34;
const maxExtraBurst = 16;
const extraBurstShare = 0.7;

/** Lists the quotas of a configuration. */
export function listQuotas(organisations: readonly Organisation[] | undefined | null): readonly Quota[] {
    return (organisations ?? []).flatMap(({ name, ratePerSecond, burst }) =>
        (ratePerSecond ?? 0) > 0 ? [{ organisation: name, ratePerSecond: ratePerSecond ?? 0, burst: burst ?? 0 }] : []
    );
}

/** Returns the maximum number of requests that all entries together may forward in one window. */
export function maxRequestsPerWindow({ ratePerSecond, burst }: Quota, bounds: QuotaBounds): number {
    const quota = ratePerSecond * bounds.windowMs / msPerSecond + burst;
    return quota * (1 + bounds.overshoot) + bounds.tolerance;
}

/** Returns the size of the leader's token bucket. */
export function bucketSize(quota: Quota, bounds: QuotaBounds): number {
    const { ratePerSecond, burst } = quota;
    const excess = maxRequestsPerWindow(quota, bounds) - ratePerSecond * bounds.windowMs / msPerSecond - burst;
    return burst + Math.max(0, Math.min(maxExtraBurst, minBucketSize - burst, extraBurstShare * excess));
}
