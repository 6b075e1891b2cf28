import type { ControlVmId } from "../core/ids.js";

interface PendingRead {
    readonly requestId: number;
    readonly round: number;
}

/**
 * Message rounds by which a leader confirms with a quorum that it still leads. A read waits for a round that started
 * after the read arrived, since answers to an earlier round do not rule out a leader elected in between.
 */
export class QuorumRounds {
    /** Number of the latest round. */
    startedRound = 0;
    private completedRound = 0;
    private pendingReads: PendingRead[] = [];
    private readonly answeredRounds = new Map<ControlVmId, number>();

    /** Adds a read; returns true when the caller must send a new round now. */
    addRead(requestId: number): boolean {
        const isRunning = this.completedRound < this.startedRound;
        this.pendingReads.push({ requestId, round: this.startedRound + 1 });
        if (!isRunning) {
            this.startedRound++;
        }
        return !isRunning;
    }

    recordAnswer(from: ControlVmId, round: number): void {
        this.answeredRounds.set(from, Math.max(round, this.answeredRounds.get(from) ?? 0));
    }

    /** Completes the current round if a quorum answered it; returns true when the caller must send the next one. */
    advance(isQuorum: (hasAnswered: (id: ControlVmId) => boolean) => boolean): boolean {
        if (
            this.completedRound === this.startedRound ||
            !isQuorum(id => (this.answeredRounds.get(id) ?? 0) >= this.startedRound)
        ) {
            return false;
        }
        this.completedRound = this.startedRound;
        const isNextNeeded = this.pendingReads.some(read => read.round > this.completedRound);
        if (isNextNeeded) {
            this.startedRound++;
        }
        return isNextNeeded;
    }

    /** Removes and returns the reads whose round is complete. */
    takeConfirmed(): readonly number[] {
        const confirmed = this.pendingReads.filter(read => read.round <= this.completedRound);
        this.pendingReads = this.pendingReads.filter(read => read.round > this.completedRound);
        return confirmed.map(read => read.requestId);
    }

    /** Removes and returns all pending reads. */
    takeAll(): readonly number[] {
        const all = this.pendingReads.map(read => read.requestId);
        this.pendingReads = [];
        return all;
    }
}
