import type { ServiceName } from "../core/ids.js";

const bucketsPerWindow = 10;
/** Share of the operators' budget that is used; the rest covers clock drift between entries and late arrivals. */
const usableShare = 0.9;

/** Maximum time until all entries count a new one; follows from the intervals of watches and of reports. */
const entryCountLagMs = 3000;

/** Retry limits over all entries together, set by operators. */
export interface RetryLimits {
    /** Retries per request. */
    readonly ratio: number;
    /** Retries per window allowed in addition to the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Options of a retry budget. */
export interface SharedRetryBudgetOptions {
    readonly limits: RetryLimits;
    /** Returns the known number of entries that share the slack. */
    readonly countEntries: () => number;
    /** Returns whether the other entries count this one. */
    readonly isCounted: () => boolean;
    readonly startedAtMs: number;
}

/** What an entry's retries of a service are limited by at a moment. */
export interface RetryAllowance {
    /** Retries in the current window. */
    readonly retries: number;
    readonly allowedRetries: number;
    /** Number of entries by which the slack is divided; undefined while this entry has no share of it. */
    readonly slackEntries: number | undefined;
}

interface Bucket {
    readonly startMs: number;
    /** Highest number of entries that were known to share the slack. */
    maxEntries: number;
    requests: number;
    retries: number;
}

/**
 * Limits the retries of this entry. Each entry stays within the ratio of its own requests plus its share of the slack,
 * so the limit over all entries holds without coordination. A restarted control VM reports too few entries for a while,
 * so the slack is divided by the highest count in the window. A restarted entry has no slack at first, because its
 * earlier usage is lost and the others do not count it yet; neither has an entry that the control VMs no longer count.
 */
export class SharedRetryBudget {
    private readonly windows = new Map<ServiceName, Bucket[]>();

    constructor(private readonly options: SharedRetryBudgetOptions) {}

    /** Counts a request, which allows `ratio` retries. */
    countRequest(service: ServiceName, nowMs: number): void {
        this.getBucket(service, nowMs).requests++;
    }

    /** Takes one retry from the budget; returns false when it is exhausted. */
    take(service: ServiceName, nowMs: number): boolean {
        const bucket = this.getBucket(service, nowMs);
        const { retries, allowedRetries } = this.describe(service, nowMs);
        if (retries + 1 > allowedRetries) {
            return false;
        }
        bucket.retries++;
        return true;
    }

    /** Returns the current use and limit of a service's retries. */
    describe(service: ServiceName, nowMs: number): RetryAllowance {
        const { limits: { ratio, slack, windowMs }, isCounted, startedAtMs } = this.options;
        const window = this.windows.get(service) ?? [];
        // The oldest bucket is only partly inside the window: its retries count, its requests do not.
        const fullBuckets = window.filter(windowBucket => windowBucket.startMs > nowMs - windowMs);
        const requests = fullBuckets.reduce((sum, windowBucket) => sum + windowBucket.requests, 0);
        const retries = window.reduce((sum, windowBucket) => sum + windowBucket.retries, 0);
        const maxEntries = Math.max(1, ...window.map(windowBucket => windowBucket.maxEntries));
        const hasSlackShare = isCounted() && nowMs - startedAtMs >= windowMs + entryCountLagMs;
        const slackShare = hasSlackShare ? slack / maxEntries : 0;
        const allowedRetries = usableShare * (ratio * requests + slackShare);
        return { retries, allowedRetries, slackEntries: hasSlackShare ? maxEntries : undefined };
    }

    private getBucket(service: ServiceName, nowMs: number): Bucket {
        const { windowMs } = this.options.limits;
        const bucketMs = windowMs / bucketsPerWindow;
        const startMs = Math.floor(nowMs / bucketMs) * bucketMs;
        const window = (this.windows.get(service) ?? []).filter(windowBucket =>
            windowBucket.startMs + bucketMs > nowMs - windowMs
        );
        const last = window.at(-1);
        const bucket = last?.startMs === startMs ? last : { startMs, maxEntries: 1, requests: 0, retries: 0 };
        bucket.maxEntries = Math.max(bucket.maxEntries, this.options.countEntries());
        this.windows.set(service, last === bucket ? window : [...window, bucket]);
        return bucket;
    }
}
