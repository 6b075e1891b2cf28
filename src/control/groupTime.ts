import type { CatalogueState } from "./catalogueState.js";

/**
 * Time of the group for retention: the time in the replicated state plus the monotonic time since this VM saw it. It
 * never runs faster than real time, so that a wall clock that jumps cannot end a retention early.
 */
export class GroupTime {
    private seenMs = -1;
    private seenAtMs = 0;

    constructor(private readonly state: CatalogueState) {}

    /** Takes note of the time in the replicated state. */
    observe(nowMs: number): void {
        if (this.state.groupTimeMs !== this.seenMs) {
            this.seenMs = this.state.groupTimeMs;
            this.seenAtMs = nowMs;
        }
    }

    /** Returns the time for a new record. */
    read(nowMs: number): number {
        this.observe(nowMs);
        return Math.round(this.seenMs + nowMs - this.seenAtMs);
    }
}
