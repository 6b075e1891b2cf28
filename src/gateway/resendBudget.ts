import type { ServiceName } from "../core/ids.js";

const bucketsPerWindow = 10;
/** Part of the operators' budget that is used; the rest covers entries whose clocks run apart and late arrivals. */
const usedShare = 0.9;

/** Longest time until all entries know of one that has started. Source: the intervals of watches and of reports. */
const countLagMs = 3000;

/** What operators allow over all entries together. */
export interface ResendLimits {
    /** Resends per request. */
    readonly ratio: number;
    /** Resends in a window beyond the ratio. */
    readonly slack: number;
    readonly windowMs: number;
}

/** What a resend budget works with. */
export interface ResendBudgetOptions {
    readonly limits: ResendLimits;
    /** Returns how many entries share the slack, as far as they are known. */
    readonly countEntries: () => number;
    /** Returns whether the others count this entry. */
    readonly isCounted: () => boolean;
    readonly startedAtMs: number;
}

interface Bucket {
    readonly startMs: number;
    /** Most entries that were known to share the slack. */
    entries: number;
    requests: number;
    resends: number;
}

/**
 * Limits the requests that this entry sends a second time. Each entry keeps to the ratio of its own requests and to its
 * share of the slack, so that the sum over all entries holds without a message between them. A control VM that has
 * restarted names too few entries for a while, so the highest count of the window divides the slack. An entry that has
 * restarted does not know what it used before, and the others don't know of it yet, so it has no slack at first; nor has
 * one that the control VMs have ceased to count.
 */
export class ResendBudget {
    private readonly windows = new Map<ServiceName, Bucket[]>();

    constructor(private readonly options: ResendBudgetOptions) {}

    /** Counts a request's first attempt. */
    countRequest(service: ServiceName, nowMs: number): void {
        this.bucket(service, nowMs).requests++;
    }

    /** Takes one resend; false when the budget is spent. */
    take(service: ServiceName, nowMs: number): boolean {
        const bucket = this.bucket(service, nowMs);
        const { limits: { ratio, slack, windowMs }, isCounted, startedAtMs } = this.options;
        const window = this.windows.get(service) ?? [];
        // The oldest bucket lies only partly in the window: its resends count, its requests do not.
        const inside = window.filter(row => row.startMs > nowMs - windowMs);
        const requests = inside.reduce((sum, row) => sum + row.requests, 0);
        const resends = window.reduce((sum, row) => sum + row.resends, 0);
        const entries = Math.max(1, ...window.map(row => row.entries));
        const hasShare = isCounted() && nowMs - startedAtMs >= windowMs + countLagMs;
        const slackShare = hasShare ? slack / entries : 0;
        const allowed = usedShare * (ratio * requests + slackShare);
        if (resends + 1 > allowed) {
            return false;
        }
        bucket.resends++;
        return true;
    }

    private bucket(service: ServiceName, nowMs: number): Bucket {
        const { windowMs } = this.options.limits;
        const bucketMs = windowMs / bucketsPerWindow;
        const startMs = Math.floor(nowMs / bucketMs) * bucketMs;
        const window = (this.windows.get(service) ?? []).filter(row => row.startMs + bucketMs > nowMs - windowMs);
        const last = window.at(-1);
        const bucket = last?.startMs === startMs ? last : { startMs, entries: 1, requests: 0, resends: 0 };
        bucket.entries = Math.max(bucket.entries, this.options.countEntries());
        this.windows.set(service, last === bucket ? window : [...window, bucket]);
        return bucket;
    }
}
