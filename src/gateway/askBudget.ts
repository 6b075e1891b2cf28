const msPerSecond = 1000;
/** Questions that can be saved up, and those that a process has at its start, in seconds of the rate. */
const savedSeconds = 10;
const initialSeconds = 4;

/** Token bucket for questions about the load of upstreams. */
export class AskBudget {
    private tokens: number | undefined;
    private filledAtMs: number | undefined;

    /** Takes up to `wanted` questions; returns how many may be asked. The rate is given with each call. */
    take(wanted: number, ratePerSecond: number, nowMs: number): number {
        const full = ratePerSecond * savedSeconds;
        const saved = this.tokens ?? ratePerSecond * initialSeconds;
        const added = Math.max(0, nowMs - (this.filledAtMs ?? nowMs)) * ratePerSecond / msPerSecond;
        const available = Math.min(full, saved + added);
        const granted = Math.min(wanted, Math.floor(available));
        this.tokens = available - granted;
        this.filledAtMs = nowMs;
        return granted;
    }
}
