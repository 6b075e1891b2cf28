const msPerSecond = 1000;
/** Capacity and initial level of the bucket, in seconds of the refill rate. */
const maxBurstSeconds = 10;
const initialBurstSeconds = 4;

/** Token bucket that limits load probes of upstreams. */
export class LoadProbeBudget {
    private tokens: number | undefined;
    private refilledAtMs: number | undefined;

    /** Takes up to `requestedCount` tokens at the current refill rate; returns how many probes may be sent. */
    take(requestedCount: number, ratePerSecond: number, nowMs: number): number {
        const capacity = ratePerSecond * maxBurstSeconds;
        const previousTokens = this.tokens ?? ratePerSecond * initialBurstSeconds;
        const refilledTokens = Math.max(0, nowMs - (this.refilledAtMs ?? nowMs)) * ratePerSecond / msPerSecond;
        const available = Math.min(capacity, previousTokens + refilledTokens);
        const granted = Math.min(requestedCount, Math.floor(available));
        this.tokens = available - granted;
        this.refilledAtMs = nowMs;
        return granted;
    }
}
