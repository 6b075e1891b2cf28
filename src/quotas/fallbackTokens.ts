import { maxRequestsPerWindow, type Quota, type QuotaBounds } from "./quotaBounds.js";

const msPerSecond = 1000;
/** Deviations of the number of tokens in a window that must stay within the bound. */
const deviations = 3;

/**
 * Tokens of an entry without a grant. They accrue at the entry's fraction of the rate, from a random phase, and expire,
 * so that entries without requests do not accumulate tokens that a sudden demand could spend at once.
 */
export class FallbackTokens {
    private readonly intervalMs: number;
    private readonly firstAtMs: number;
    private usedCount = 0;

    /** `phase` is random in [0, 1); `startCount` tokens are available at once and do not expire. */
    constructor(
        quota: Quota,
        fraction: number,
        private readonly lifetimeMs: number,
        phase: number,
        nowMs: number,
        private startCount = 0,
    ) {
        this.intervalMs = msPerSecond / (quota.ratePerSecond * fraction);
        this.firstAtMs = nowMs + phase * this.intervalMs;
    }

    take(nowMs: number): boolean {
        if (this.startCount >= 1) {
            this.startCount--;
            return true;
        }
        const accruedCount = this.countUntil(nowMs);
        const nextIndex = Math.max(this.usedCount, this.countUntil(nowMs - this.lifetimeMs));
        if (nextIndex >= accruedCount) {
            return false;
        }
        this.usedCount = nextIndex + 1;
        return true;
    }

    private countUntil(atMs: number): number {
        return atMs < this.firstAtMs ? 0 : Math.floor((atMs - this.firstAtMs) / this.intervalMs) + 1;
    }
}

/**
 * Returns the longest life of tokens for which the number that accrues in it and in a window, and random deviations
 * from that number, stay within the bound.
 */
export function fallbackLifetimeMs(quota: Quota, bounds: QuotaBounds): number {
    const max = maxRequestsPerWindow(quota, bounds);
    const meanCount = ((Math.sqrt(deviations * deviations + 4 * max) - deviations) / 2) ** 2;
    return Math.max(0, meanCount * msPerSecond / quota.ratePerSecond - bounds.windowMs);
}
