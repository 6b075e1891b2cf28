import type { ControlVmId } from "../core/ids.js";

interface PendingRead {
    readonly requestId: number;
    readonly round: number;
}

interface StartedRound {
    readonly round: number;
    readonly atMs: number;
}

/**
 * Message rounds by which a leader confirms with a quorum that it still leads. A read waits for a round that started
 * after the read arrived, since answers to an earlier round do not rule out a leader elected in between.
 */
export class QuorumRounds {
    /** Number of the latest round. */
    startedRound = 0;
    /** Number of the latest round that a quorum answered. */
    completedRound = 0;
    /** Start of the latest round that a quorum answered: nobody else led at that time. -Infinity before the first. */
    confirmedAtMs = -Infinity;
    private running: StartedRound[] = [];
    private pendingReads: PendingRead[] = [];
    private readonly answeredRounds = new Map<ControlVmId, number>();

    /** `initialRounds` is the number of rounds that follow each other at once, before any heartbeat. */
    constructor(private readonly initialRounds = 0) {}

    /** Starts a round; the caller sends it. */
    start(nowMs: number): void {
        this.startedRound++;
        this.running.push({ round: this.startedRound, atMs: nowMs });
    }

    /** Adds a read; returns true when the caller must send a new round now. */
    addRead(requestId: number, nowMs: number): boolean {
        const isRunning = this.completedRound < this.startedRound;
        this.pendingReads.push({ requestId, round: this.startedRound + 1 });
        if (!isRunning) {
            this.start(nowMs);
        }
        return !isRunning;
    }

    recordAnswer(from: ControlVmId, round: number): void {
        this.answeredRounds.set(from, Math.max(round, this.answeredRounds.get(from) ?? 0));
    }

    /** Completes the rounds that a quorum answered; returns true when the caller must send another one now. */
    advance(isQuorum: (hasAnswered: (id: ControlVmId) => boolean) => boolean, nowMs: number): boolean {
        this.completeUpTo(this.findAnsweredRound(isQuorum));
        const isRunning = this.completedRound < this.startedRound;
        const isNextNeeded = this.completedRound < this.initialRounds ||
            this.pendingReads.some(read => read.round > this.completedRound);
        if (isRunning || !isNextNeeded) {
            return false;
        }
        this.start(nowMs);
        return true;
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

    /** Returns the latest round that a quorum answered, even if answers to later ones are on their way. */
    private findAnsweredRound(isQuorum: (hasAnswered: (id: ControlVmId) => boolean) => boolean): number {
        const rounds = [this.startedRound, ...this.answeredRounds.values()].sort((first, second) => second - first);
        return rounds.find(round => isQuorum(id => (this.answeredRounds.get(id) ?? 0) >= round)) ?? 0;
    }

    private completeUpTo(round: number): void {
        this.completedRound = Math.max(this.completedRound, round);
        const completed = this.running.filter(started => started.round <= this.completedRound);
        this.running = this.running.filter(started => started.round > this.completedRound);
        this.confirmedAtMs = completed.at(-1)?.atMs ?? this.confirmedAtMs;
    }
}
