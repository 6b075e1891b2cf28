/** Halvings of the number of probes at most. */
const maxHalvings = 4;

/**
 * Reduces load probes while none are answered in time. Machines, network or instances that are too busy to answer them
 * are not relieved by more of them.
 */
export class ProbeThrottle {
    private silentRounds = 0;

    /** Records a round of probes with the number of answers that arrived in time. */
    recordRound(answeredCount: number): void {
        this.silentRounds = answeredCount > 0 ? 0 : this.silentRounds + 1;
    }

    /** Records an answer that arrived after its round. */
    recordLateAnswer(): void {
        this.silentRounds = Math.max(0, this.silentRounds - 1);
    }

    /** Returns how many of the wanted probes a round sends; at least one. */
    limit(wantedCount: number): number {
        return Math.max(1, Math.floor(wantedCount / 2 ** Math.min(this.silentRounds, maxHalvings)));
    }
}
