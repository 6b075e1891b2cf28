const windowSize = 512;
const minSamples = 20;
const quantileCacheMs = 50;

/** Sliding window over the latest latencies of a service, for quantiles. */
export class LatencyWindow {
    private readonly samplesMs: number[] = [];
    private nextIndex = 0;
    private sortedMs: readonly number[] = [];
    private sortedAtMs = Number.NEGATIVE_INFINITY;

    add(latencyMs: number): void {
        this.samplesMs[this.nextIndex] = latencyMs;
        this.nextIndex = (this.nextIndex + 1) % windowSize;
    }

    /** Latency in milliseconds at the quantile in [0, 1]; undefined below `minSamples`. */
    quantileMs(quantile: number, nowMs: number): number | undefined {
        if (this.samplesMs.length < minSamples) {
            return undefined;
        }
        if (nowMs - this.sortedAtMs >= quantileCacheMs) {
            this.sortedMs = [...this.samplesMs].sort((a, b) => a - b);
            this.sortedAtMs = nowMs;
        }
        const index = Math.floor(quantile * this.sortedMs.length);
        return this.sortedMs[Math.min(index, this.sortedMs.length - 1)];
    }
}
