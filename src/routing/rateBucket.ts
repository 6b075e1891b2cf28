/**
 * Share of a second's requests that may pass in one burst. A bucket starts full, since a new owner would refuse requests
 * below the limit otherwise; with a second burst after a takeover, the excess in any second stays below 5%.
 */
const burstSeconds = 0.02;

/** Token bucket for requests per second. The rate is given with each call, so a change holds at once. */
export class RateBucket {
    private tokens = Number.POSITIVE_INFINITY;
    private filledAtMs: number;

    constructor(nowMs: number) {
        this.filledAtMs = nowMs;
    }

    /** Takes one request; returns 0, or the milliseconds until the next one would pass. */
    take(ratePerSecond: number, nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - this.filledAtMs);
        const burst = Math.max(1, ratePerSecond * burstSeconds);
        this.tokens = Math.min(burst, this.tokens + elapsedMs * ratePerSecond / 1000);
        this.filledAtMs = Math.max(this.filledAtMs, nowMs);
        if (this.tokens >= 1) {
            this.tokens--;
            return 0;
        }
        return ratePerSecond > 0 ? (1 - this.tokens) * 1000 / ratePerSecond : 1000;
    }
}
