import type { ServiceName } from "../core/ids.js";

const bucketsPerWindow = 10;
/** Part of the operators' budget that is used; the rest covers the edges of windows and entries that come and go. */
const usedShare = 0.7;

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
    requests: number;
    resends: number;
}

/**
 * Limits the requests that this entry sends a second time. Each entry keeps to the ratio of its own requests and to its
 * share of the slack, so that the sum over all entries holds without a message between them.
 */
export class ResendBudget {
    private readonly windows = new Map<ServiceName, Bucket[]>();

    /** `countEntries` returns how many entries share the slack. */
    constructor(private readonly limits: ResendLimits, private readonly countEntries: () => number) {}

    /** Counts a request's first attempt. */
    countRequest(service: ServiceName, nowMs: number): void {
        this.bucket(service, nowMs).requests++;
    }

    /** Takes one resend; false when the budget is spent. */
    take(service: ServiceName, nowMs: number): boolean {
        const bucket = this.bucket(service, nowMs);
        const window = this.windows.get(service) ?? [];
        const requests = window.reduce((sum, row) => sum + row.requests, 0);
        const resends = window.reduce((sum, row) => sum + row.resends, 0);
        const { ratio, slack } = this.limits;
        const allowed = usedShare * (ratio * requests + slack / Math.max(1, this.countEntries()));
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
        const window = (this.windows.get(service) ?? []).filter(row => row.startMs > nowMs - windowMs);
        const last = window.at(-1);
        const bucket = last?.startMs === startMs ? last : { startMs, requests: 0, resends: 0 };
        this.windows.set(service, last === bucket ? window : [...window, bucket]);
        return bucket;
    }
}
