import type { CatalogueState } from "./catalogueState.js";

/**
 * Group time, used for retention: the time in the replicated state plus the monotonic time since this VM observed it.
 * It never runs faster than real time, so a jump of the wall clock cannot end a retention period early.
 */
export class GroupTime {
    private replicatedMs = -1;
    private observedAtMs = 0;

    constructor(private readonly state: CatalogueState) {}

    /** Observes the time in the replicated state. */
    observe(nowMs: number): void {
        if (this.state.groupTimeMs !== this.replicatedMs) {
            this.replicatedMs = this.state.groupTimeMs;
            this.observedAtMs = nowMs;
        }
    }

    /** Returns the group time for a new record. */
    read(nowMs: number): number {
        this.observe(nowMs);
        return Math.round(this.replicatedMs + nowMs - this.observedAtMs);
    }
}
