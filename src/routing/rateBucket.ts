/**
 * Burst size, in seconds of the rate. A bucket starts full, because a new owner would otherwise refuse requests below
 * the limit; including a second burst after a takeover, the excess in any second stays below 5%.
 */
const burstSeconds = 0.02;

/** Token bucket for requests per second. The rate is a parameter of each call, so changes apply immediately. */
export class RateBucket {
    private tokens = Number.POSITIVE_INFINITY;
    private refilledAtMs: number;

    constructor(nowMs: number) {
        this.refilledAtMs = nowMs;
    }

    /** Consumes one token; returns 0, or the milliseconds until a token is available. */
    take(ratePerSecond: number, nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
        const burst = Math.max(1, ratePerSecond * burstSeconds);
        this.tokens = Math.min(burst, this.tokens + elapsedMs * ratePerSecond / 1000);
        this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
        if (this.tokens >= 1) {
            this.tokens--;
            return 0;
        }
        return ratePerSecond > 0 ? (1 - this.tokens) * 1000 / ratePerSecond : 1000;
    }
}
