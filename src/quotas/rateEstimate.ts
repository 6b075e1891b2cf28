const msPerSecond = 1000;

/** Exponentially weighted average of events a second. */
export class RateEstimate {
    private perSecond = 0;

    constructor(private readonly timeConstantMs: number, private updatedAtMs: number) {}

    add(count: number, nowMs: number): void {
        this.perSecond = this.get(nowMs) + count * msPerSecond / this.timeConstantMs;
        this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
    }

    get(nowMs: number): number {
        return this.perSecond * Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / this.timeConstantMs);
    }
}
