import type { EntryId } from "../core/ids.js";
import { type ClaimId, ClaimMethod, type ClaimOutcome, type ClaimRecord } from "./claimMessages.js";
import type { Outbox } from "./outbox.js";

const resendIntervalMs = 200;
const maxSends = 10;

interface RecordingRow {
    readonly record: ClaimRecord;
    readonly unacknowledged: Set<EntryId>;
    sendCount: number;
    nextSendAtMs: number;
}

/** Outcomes of this entry's claims on their way to the replicas. */
export class ClaimRecorder {
    private readonly recordings = new Map<ClaimId, RecordingRow>();
    /** Ends of the time for which finished claims are remembered; in falling age. */
    private readonly finished = new Map<ClaimId, number>();

    constructor(private readonly retentionMs: number, private readonly outbox: Outbox) {}

    /** Claims that were dispatched here and are remembered. */
    get size(): number {
        return this.finished.size;
    }

    /** Sends the outcome to the replicas until they have acknowledged it. */
    start(record: ClaimRecord, replicas: readonly EntryId[], nowMs: number): void {
        this.finished.set(record.claimId, nowMs + this.retentionMs + record.lifetimeMs);
        const row: RecordingRow = {
            record,
            unacknowledged: new Set(replicas),
            sendCount: 0,
            nextSendAtMs: nowMs,
        };
        if (replicas.length > 0) {
            this.recordings.set(record.claimId, row);
            this.send(row, nowMs);
        }
    }

    acknowledge(from: EntryId, claimId: ClaimId): void {
        const row = this.recordings.get(claimId);
        row?.unacknowledged.delete(from);
        if (row?.unacknowledged.size === 0) {
            this.recordings.delete(claimId);
        }
    }

    /** Returns the outcome of a claim that not all replicas have acknowledged. */
    findOutcome(claimId: ClaimId): ClaimOutcome | undefined {
        return this.recordings.get(claimId)?.record.outcome;
    }

    /** Whether the claim was dispatched here and has ended. */
    isFinished(claimId: ClaimId): boolean {
        return this.finished.has(claimId);
    }

    tick(nowMs: number): void {
        for (const [claimId, row] of this.recordings) {
            if (nowMs < row.nextSendAtMs) {
                continue;
            }
            if (row.sendCount >= maxSends) {
                this.recordings.delete(claimId);
            }
            else {
                this.send(row, nowMs);
            }
        }
        for (const [claimId, endsAtMs] of this.finished) {
            if (endsAtMs > nowMs) {
                break;
            }
            this.finished.delete(claimId);
        }
    }

    private send(row: RecordingRow, nowMs: number): void {
        row.sendCount++;
        row.nextSendAtMs = nowMs + resendIntervalMs * row.sendCount;
        for (const id of row.unacknowledged) {
            this.outbox.send(id, ClaimMethod.record, row.record);
        }
    }
}
