import type { ControlVmId } from "../core/ids.js";
import type { AppendMessage, LogRecord, SnapshotMessage } from "./messages.js";
import type { ReplicaState } from "./replicaState.js";

/** Longer than a confirmation of the state can be of use. */
const answerRetentionMs = 5000;

interface IncomingSnapshot {
    readonly index: number;
    readonly term: number;
    readonly receivedChunks: Uint8Array[];
    sizeBytes: number;
}

/** Handles records and snapshots from the leader of the current term. */
export class Follower {
    /** Time as of which the state is confirmed to be current; -Infinity if it is not. */
    confirmedAtMs = -Infinity;
    private incoming: IncomingSnapshot | undefined;
    /** Times of recent answers, to recognize those of this process: the clock of an earlier one had another origin. */
    private answeredAtMs: number[] = [];
    private nowMs = 0;

    constructor(private readonly state: ReplicaState) {}

    append(from: ControlVmId, message: AppendMessage, nowMs: number): void {
        this.nowMs = nowMs;
        const { log } = this.state;
        const { previousIndex, records } = message;
        const isBelowBase = previousIndex < log.base;
        if (!isBelowBase && log.termAt(previousIndex) !== message.previousTerm) {
            this.answer(from, message, false, this.findRetryIndex(previousIndex));
            return;
        }
        this.incoming = undefined;
        this.state.append(this.selectNewRecords(records));
        const matchIndex = previousIndex + records.length;
        this.state.commitUpTo(Math.max(this.state.commitIndex, Math.min(message.commitIndex, matchIndex)));
        this.recordConfirmation(message);
        this.answer(from, message, true, matchIndex);
    }

    receiveChunk(from: ControlVmId, message: SnapshotMessage, nowMs: number): void {
        this.nowMs = nowMs;
        if (message.index <= this.state.commitIndex) {
            this.answer(from, message, true, message.index);
            return;
        }
        const incoming = this.ensureIncoming(message);
        if (message.offset === incoming.sizeBytes) {
            incoming.receivedChunks.push(message.data);
            incoming.sizeBytes += message.data.length;
            if (message.isLast) {
                this.install(from, message, incoming);
                return;
            }
        }
        this.state.send(from, {
            kind: "snapshot-answer",
            term: this.state.term,
            snapshotIndex: message.index,
            nextOffset: incoming.sizeBytes,
            round: message.round,
        });
    }

    /**
     * Ignores a confirmation while committed records are missing, and while the leader has committed no record of its
     * term: until then, the index in the message may not cover what earlier leaders committed. Leaders of earlier
     * versions confirm that, too.
     */
    private recordConfirmation({ term, commitIndex, confirmedAtMs }: AppendMessage): void {
        if (this.state.commitIndex < commitIndex || this.state.log.termAt(commitIndex) !== term) {
            return;
        }
        // The codec between processes may decode an undefined field as null.
        if (confirmedAtMs === undefined || confirmedAtMs === null) {
            // A leader of a version without confirmations: its contact confirms the state.
            this.confirmedAtMs = this.nowMs;
        }
        else if (this.answeredAtMs.includes(confirmedAtMs)) {
            this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
        }
    }

    private install(from: ControlVmId, message: SnapshotMessage, incoming: IncomingSnapshot): void {
        const { index, snapshotTerm: term, members } = message;
        this.incoming = undefined;
        this.state.install({ index, term, members, state: Buffer.concat(incoming.receivedChunks) });
        this.answer(from, message, true, index);
    }

    private ensureIncoming(message: SnapshotMessage): IncomingSnapshot {
        const { index, snapshotTerm: term } = message;
        if (this.incoming?.index !== index || this.incoming.term !== term) {
            this.incoming = { index, term, receivedChunks: [], sizeBytes: 0 };
        }
        return this.incoming;
    }

    /**
     * Returns the records from the first missing or conflicting one on. Without one it returns none, so that a delayed
     * message does not truncate the log.
     */
    private selectNewRecords(records: readonly LogRecord[]): readonly LogRecord[] {
        const { log } = this.state;
        const position = records.findIndex(record =>
            record.index > log.base && log.termAt(record.index) !== record.term
        );
        const selected = position === -1 ? [] : records.slice(position);
        if (selected.length > 0 && selected[0].index <= this.state.commitIndex) {
            throw new Error(`record ${selected[0].index} of the leader conflicts with a committed record`);
        }
        return selected;
    }

    /** Returns the last index of a shorter log, or that before the conflicting term, to skip a mismatch in one step. */
    private findRetryIndex(previousIndex: number): number {
        const { log, commitIndex } = this.state;
        if (previousIndex > log.lastIndex) {
            return log.lastIndex;
        }
        const conflictingTerm = log.termAt(previousIndex);
        let index = previousIndex - 1;
        while (index > commitIndex && log.termAt(index) === conflictingTerm) {
            index--;
        }
        return index;
    }

    private answer(
        to: ControlVmId,
        message: AppendMessage | SnapshotMessage,
        isMatch: boolean,
        matchIndex: number,
    ): void {
        const { term, machine } = this.state;
        const { round } = message;
        const sentAtMs = this.nowMs;
        this.answeredAtMs = this.answeredAtMs.filter(atMs => sentAtMs - atMs <= answerRetentionMs);
        if (this.answeredAtMs.at(-1) !== sentAtMs) {
            this.answeredAtMs.push(sentAtMs);
        }
        this.state.send(to, {
            kind: "append-answer",
            term,
            isMatch,
            matchIndex,
            round,
            revision: machine.revision,
            sentAtMs,
        });
    }
}
