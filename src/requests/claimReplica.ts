import type { EntryId } from "../core/ids.js";
import type { PeerMessage } from "../entry/messages.js";
import {
    type ClaimAnswer,
    ClaimMethod,
    type ClaimRecord,
    type ClaimReference,
    type ClaimRequest,
    type SyncAnswer,
    type SyncRequest,
} from "./claimMessages.js";
import type { ClaimSync } from "./claimSync.js";
import type { ClaimTable } from "./claimTable.js";
import type { Outbox } from "./outbox.js";

/** Replica side of the claim protocol: answers claimants and restarted replicas. */
export class ClaimReplica {
    constructor(
        private readonly incarnation: number,
        private readonly table: ClaimTable,
        private readonly sync: ClaimSync,
        private readonly outbox: Outbox,
    ) {}

    /** Handles a message of a claimant or a replica; ignores other methods. */
    handle(from: EntryId, message: PeerMessage, nowMs: number): void {
        switch (message.method) {
            case ClaimMethod.request:
                this.outbox.send(from, ClaimMethod.answer, this.answer(message.params as ClaimRequest, nowMs));
                return;
            case ClaimMethod.release:
                return this.table.release(message.params as ClaimReference, nowMs);
            case ClaimMethod.record:
                return this.onRecord(from, message.params as ClaimRecord, nowMs);
            case ClaimMethod.sync:
                return this.sync.onRequest(from, message.params as SyncRequest, nowMs);
            case ClaimMethod.synced:
                return this.sync.onAnswer(from, message.params as SyncAnswer, nowMs);
        }
    }

    /** Returns this replica's answer to a claim. */
    answer(request: ClaimRequest, nowMs: number): ClaimAnswer {
        const isAbstaining = this.sync.isAbstaining(request.replicaSets, nowMs);
        return {
            claimId: request.claimId,
            reply: this.table.request(request, isAbstaining, nowMs),
            incarnation: this.incarnation,
            known: this.sync.knownIncarnations(request.replicaSets.flat()),
        };
    }

    private onRecord(from: EntryId, record: ClaimRecord, nowMs: number): void {
        this.table.record(record, nowMs);
        const { key, claimId } = record;
        const acknowledgement: ClaimReference = { key, claimId };
        this.outbox.send(from, ClaimMethod.recorded, acknowledgement);
    }
}
