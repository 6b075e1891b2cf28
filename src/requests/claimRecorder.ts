import type { EntryId } from "../core/ids.js";
import { type ClaimId, ClaimMethod, type ClaimOutcome, type ClaimRecord } from "./claimMessages.js";
import type { Outbox } from "./outbox.js";

const resendIntervalMs = 200;
const maxSends = 10;

interface Recording {
    readonly record: ClaimRecord;
    readonly unacknowledged: Set<EntryId>;
    sendCount: number;
    nextSendAtMs: number;
}

/** Sends the outcomes of this entry's claims to the replicas, and remembers which claims have finished. */
export class ClaimRecorder {
    private readonly recordings = new Map<ClaimId, Recording>();
    /** Times at which finished claims expire, oldest claim first. */
    private readonly finished = new Map<ClaimId, number>();

    constructor(private readonly retentionMs: number, private readonly outbox: Outbox) {}

    /** Number of finished claims that are remembered. */
    get size(): number {
        return this.finished.size;
    }

    /** Sends the outcome to the replicas until all have acknowledged it or `maxSends` is reached. */
    start(record: ClaimRecord, replicas: readonly EntryId[], nowMs: number): void {
        this.finished.set(record.claimId, nowMs + this.retentionMs + record.lifetimeMs);
        const recording: Recording = {
            record,
            unacknowledged: new Set(replicas),
            sendCount: 0,
            nextSendAtMs: nowMs,
        };
        if (replicas.length > 0) {
            this.recordings.set(record.claimId, recording);
            this.send(recording, nowMs);
        }
    }

    acknowledge(from: EntryId, claimId: ClaimId): void {
        const recording = this.recordings.get(claimId);
        recording?.unacknowledged.delete(from);
        if (recording?.unacknowledged.size === 0) {
            this.recordings.delete(claimId);
        }
    }

    /** Returns the outcome of a claim that is still being sent to the replicas. */
    findOutcome(claimId: ClaimId): ClaimOutcome | undefined {
        return this.recordings.get(claimId)?.record.outcome;
    }

    /** Whether the claim is remembered as finished. */
    isFinished(claimId: ClaimId): boolean {
        return this.finished.has(claimId);
    }

    tick(nowMs: number): void {
        for (const [claimId, recording] of this.recordings) {
            if (nowMs < recording.nextSendAtMs) {
                continue;
            }
            if (recording.sendCount >= maxSends) {
                this.recordings.delete(claimId);
            }
            else {
                this.send(recording, nowMs);
            }
        }
        for (const [claimId, claimExpiresAtMs] of this.finished) {
            if (claimExpiresAtMs > nowMs) {
                break;
            }
            this.finished.delete(claimId);
        }
    }

    private send(recording: Recording, nowMs: number): void {
        recording.sendCount++;
        recording.nextSendAtMs = nowMs + resendIntervalMs * recording.sendCount;
        for (const id of recording.unacknowledged) {
            this.outbox.send(id, ClaimMethod.record, recording.record);
        }
    }
}
