const windowSize = 512;
const minSamples = 20;
const quantileLifetimeMs = 50;

/** The newest latencies of a service, for quantiles. */
export class LatencyWindow {
    private readonly samplesMs: number[] = [];
    private next = 0;
    private sortedMs: readonly number[] = [];
    private sortedAtMs = Number.NEGATIVE_INFINITY;

    add(latencyMs: number): void {
        this.samplesMs[this.next] = latencyMs;
        this.next = (this.next + 1) % windowSize;
    }

    /** Latency in milliseconds at the quantile in [0, 1]; undefined with too few samples. */
    quantileMs(quantile: number, nowMs: number): number | undefined {
        if (this.samplesMs.length < minSamples) {
            return undefined;
        }
        if (nowMs - this.sortedAtMs >= quantileLifetimeMs) {
            this.sortedMs = [...this.samplesMs].sort((a, b) => a - b);
            this.sortedAtMs = nowMs;
        }
        const index = Math.floor(quantile * this.sortedMs.length);
        return this.sortedMs[Math.min(index, this.sortedMs.length - 1)];
    }
}
