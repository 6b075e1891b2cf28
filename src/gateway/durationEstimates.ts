/** Weight of the newest sample in the moving average. */
const smoothingFactor = 0.1;
/** Estimate before the first sample, as a share of the target latency. */
const initialShareOfTarget = 0.45;

/** Moving average per route of request durations, normalized to an upstream with a cost of 1. */
export class DurationEstimates {
    private readonly baselineMs = new Map<string, number>();

    /** Records the duration of a request that was placed at the given cost; costs below 1 count as 1. */
    recordDuration(route: string, durationMs: number, cost: number): void {
        const sampleMs = durationMs / Math.max(1, cost);
        const previousMs = this.baselineMs.get(route) ?? sampleMs;
        this.baselineMs.set(route, previousMs + smoothingFactor * (sampleMs - previousMs));
    }

    /** Returns the expected duration at a cost of 1 in milliseconds. */
    get(route: string, targetLatencyMs: number): number {
        return this.baselineMs.get(route) ?? initialShareOfTarget * targetLatencyMs;
    }
}
