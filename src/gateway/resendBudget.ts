import type { ServiceName } from "../core/ids.js";

const bucketsPerWindow = 10;
/** Part of the operators' budget that is used; the rest covers entries whose clocks run apart and late arrivals. */
const usedShare = 0.9;

/** What operators allow over all entries together. */
export interface ResendLimits {
    /** Resends per request. */
    readonly ratio: number;
    /** Resends in a window beyond the ratio. */
    readonly slack: number;
    readonly windowMs: number;
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
 * restarted names too few entries for a while, so the highest count of the window divides the slack; an entry that has
 * restarted does not know what it used before, so it has no slack until a window has passed.
 */
export class ResendBudget {
    private readonly windows = new Map<ServiceName, Bucket[]>();

    /** `countEntries` returns how many entries share the slack, as far as they are known. */
    constructor(
        private readonly limits: ResendLimits,
        private readonly countEntries: () => number,
        private readonly startedAtMs: number,
    ) {}

    /** Counts a request's first attempt. */
    countRequest(service: ServiceName, nowMs: number): void {
        this.bucket(service, nowMs).requests++;
    }

    /** Takes one resend; false when the budget is spent. */
    take(service: ServiceName, nowMs: number): boolean {
        const bucket = this.bucket(service, nowMs);
        const { ratio, slack, windowMs } = this.limits;
        const window = this.windows.get(service) ?? [];
        // The oldest bucket lies only partly in the window: its resends count, its requests do not.
        const inside = window.filter(row => row.startMs > nowMs - windowMs);
        const requests = inside.reduce((sum, row) => sum + row.requests, 0);
        const resends = window.reduce((sum, row) => sum + row.resends, 0);
        const entries = Math.max(1, ...window.map(row => row.entries));
        const slackShare = nowMs - this.startedAtMs < windowMs ? 0 : slack / entries;
        const allowed = usedShare * (ratio * requests + slackShare);
        if (resends + 1 > allowed) {
            return false;
        }
        bucket.resends++;
        return true;
    }

    private bucket(service: ServiceName, nowMs: number): Bucket {
        const { windowMs } = this.limits;
        const bucketMs = windowMs / bucketsPerWindow;
        const startMs = Math.floor(nowMs / bucketMs) * bucketMs;
        const window = (this.windows.get(service) ?? []).filter(row => row.startMs + bucketMs > nowMs - windowMs);
        const last = window.at(-1);
        const bucket = last?.startMs === startMs ? last : { startMs, entries: 1, requests: 0, resends: 0 };
        bucket.entries = Math.max(bucket.entries, this.countEntries());
        this.windows.set(service, last === bucket ? window : [...window, bucket]);
        return bucket;
    }
}
