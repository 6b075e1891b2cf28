/** Weight of the newest duration. */
const newestWeight = 0.1;
/** Share of the target latency that a request takes before one was measured. */
const initialShareOfTarget = 0.45;

/** How long requests of each route usually take at an upstream that is as fast as usual. */
export class DurationEstimates {
    private readonly usualMs = new Map<string, number>();

    /** Takes the duration of a request at an upstream with this cost. */
    note(route: string, durationMs: number, cost: number): void {
        const sampleMs = durationMs / Math.max(1, cost);
        const known = this.usualMs.get(route) ?? sampleMs;
        this.usualMs.set(route, known + newestWeight * (sampleMs - known));
    }

    /** Returns the usual duration in milliseconds. */
    get(route: string, targetLatencyMs: number): number {
        return this.usualMs.get(route) ?? initialShareOfTarget * targetLatencyMs;
    }
}
