import type { VoterId } from "../core/ids.js";

interface WaitingRead {
    readonly requestId: number;
    readonly round: number;
}

/**
 * Rounds in which a leader asks all members whether it still leads. A read waits for a round that started after the
 * read was asked for, since an answer to an earlier question says nothing about a leader elected in between.
 */
export class QuorumRounds {
    /** Number of the last round that was started. */
    started = 0;
    private completed = 0;
    private waiting: WaitingRead[] = [];
    private readonly answered = new Map<VoterId, number>();

    /** Takes a read; returns true when a new round has to be sent for it now. */
    addRead(requestId: number): boolean {
        const isRunning = this.completed < this.started;
        this.waiting.push({ requestId, round: this.started + 1 });
        if (!isRunning) {
            this.started++;
        }
        return !isRunning;
    }

    noteAnswer(from: VoterId, round: number): void {
        this.answered.set(from, Math.max(round, this.answered.get(from) ?? 0));
    }

    /** Ends the running round when a quorum answered it; returns true when the next one has to be sent. */
    advance(isQuorum: (hasAnswered: (id: VoterId) => boolean) => boolean): boolean {
        if (this.completed === this.started || !isQuorum(id => (this.answered.get(id) ?? 0) >= this.started)) {
            return false;
        }
        this.completed = this.started;
        const isNextNeeded = this.waiting.some(read => read.round > this.completed);
        if (isNextNeeded) {
            this.started++;
        }
        return isNextNeeded;
    }

    /** Removes and returns the reads whose round is complete. */
    takeConfirmed(): readonly number[] {
        const confirmed = this.waiting.filter(read => read.round <= this.completed);
        this.waiting = this.waiting.filter(read => read.round > this.completed);
        return confirmed.map(read => read.requestId);
    }

    /** Removes and returns all waiting reads. */
    takeAll(): readonly number[] {
        const all = this.waiting.map(read => read.requestId);
        this.waiting = [];
        return all;
    }
}
