import type { EntryId } from "../core/ids.js";
import type {
    ClaimId,
    ClaimKey,
    ClaimOutcome,
    ClaimRecord,
    ClaimReference,
    ClaimReply,
    ClaimRequest,
    SyncRow,
} from "./claimMessages.js";
import { type PackedOutcome, packOutcome, unpackOutcome } from "./packedOutcome.js";

const expiryIntervalMs = 1000;
const tombstoneMs = 30_000;
const maxTombstones = 20_000;
const maxInternedSets = 10_000;

/** Limits of the claims that a replica keeps. */
export interface ClaimTableOptions {
    /** Time for which an outcome is kept after it was recorded. */
    readonly retentionMs: number;
    readonly maxRows: number;
    /** All retained outcomes together; beyond it, outcomes are kept without their bodies. */
    readonly maxRetainedBytes: number;
}

interface ClaimRow {
    readonly key: ClaimKey;
    readonly sequence: number;
    claimId: ClaimId;
    holder: EntryId;
    readonly requestHash: string;
    readonly replicaSets: readonly (readonly EntryId[])[];
    outcome: PackedOutcome | undefined;
    expiresAtMs: number;
    /**
     * Undecided claims of the same key that other replicas reported to this one after a restart. Any of them may have
     * its majority, so the key is free only when all of them are released.
     */
    rivals: SyncRow[] | undefined;
}

/** A page of rows for a replica that has restarted. */
export interface ClaimPage {
    readonly rows: readonly SyncRow[];
    readonly nextCursor: number | undefined;
}

/** Claims that this entry keeps as a replica. */
export class ClaimTable {
    private readonly rows = new Map<ClaimKey, ClaimRow>();
    private readonly tombstones = new Map<ClaimId, number>();
    private readonly replicaSets = new Map<string, readonly (readonly EntryId[])[]>();
    private lastSequence = 0;
    private retainedBytes = 0;
    private nextExpiryAtMs = 0;

    constructor(private readonly options: ClaimTableOptions) {}

    get size(): number {
        return this.rows.size;
    }

    /** Grants the claim to the first claimant of its key. `isAbstaining` withholds new grants. */
    request(request: ClaimRequest, isAbstaining: boolean, nowMs: number): ClaimReply {
        const row = this.findRow(request.key, nowMs);
        if (row !== undefined) {
            return replyOfRow(row, request);
        }
        if (this.tombstones.has(request.claimId)) {
            return { kind: "released" };
        }
        if (isAbstaining) {
            return { kind: "abstain" };
        }
        if (this.rows.size >= this.options.maxRows) {
            return { kind: "full" };
        }
        this.addRow(request, undefined, nowMs + request.lifetimeMs);
        return { kind: "granted" };
    }

    /** Forgets a claim that was not and will not be dispatched. A late request of the same claim is not granted. */
    release({ key, claimId }: ClaimReference, nowMs: number): void {
        this.addTombstone(claimId, nowMs);
        const row = this.rows.get(key);
        if (row === undefined || row.outcome !== undefined) {
            return;
        }
        const rivals = row.rivals?.filter(rival => rival.claimId !== claimId);
        if (row.claimId !== claimId) {
            row.rivals = rivals;
            return;
        }
        this.removeRow(row);
        for (const rival of rivals ?? []) {
            this.install(rival, nowMs);
        }
    }

    /** Keeps the outcome of a claim that was dispatched. The first outcome of a key stands. */
    record(record: ClaimRecord, nowMs: number): void {
        const row = this.findRow(record.key, nowMs);
        if (row?.outcome !== undefined) {
            return;
        }
        if (row !== undefined) {
            this.removeRow(row);
        }
        if (this.rows.size < this.options.maxRows) {
            this.addRow(record, this.pack(record.outcome), nowMs + this.options.retentionMs);
        }
    }

    /** Adds a claim that another replica holds. */
    install(row: SyncRow, nowMs: number): void {
        const present = this.findRow(row.key, nowMs);
        if (present?.outcome !== undefined || this.tombstones.has(row.claimId)) {
            return;
        }
        if (present !== undefined && row.outcome === undefined) {
            return addRival(present, row);
        }
        if (present !== undefined) {
            this.removeRow(present);
        }
        const outcome = row.outcome === undefined ? undefined : this.pack(row.outcome);
        this.addRow(row, outcome, nowMs + row.lifetimeMs);
    }

    /** Returns rows after the cursor of which the entry is a replica. */
    readPage(forEntry: EntryId, cursor: number, maxRows: number, maxBytes: number, nowMs: number): ClaimPage {
        const rows: SyncRow[] = [];
        let bytes = 0;
        let lastSequence = cursor;
        for (const row of this.rows.values()) {
            if (row.sequence <= cursor || !row.replicaSets.some(set => set.includes(forEntry))) {
                continue;
            }
            if (rows.length >= maxRows || bytes > maxBytes) {
                return { rows, nextCursor: lastSequence };
            }
            if (row.expiresAtMs > nowMs) {
                rows.push(toSyncRow(row, nowMs));
                bytes += row.outcome?.byteLength ?? 0;
            }
            lastSequence = row.sequence;
        }
        return { rows, nextCursor: undefined };
    }

    /** Removes claims whose time is over. */
    tick(nowMs: number): void {
        if (nowMs < this.nextExpiryAtMs) {
            return;
        }
        this.nextExpiryAtMs = nowMs + expiryIntervalMs;
        for (const row of this.rows.values()) {
            if (row.expiresAtMs <= nowMs) {
                this.removeRow(row);
            }
        }
        for (const [claimId, expiresAtMs] of this.tombstones) {
            if (expiresAtMs > nowMs) {
                break;
            }
            this.tombstones.delete(claimId);
        }
    }

    private findRow(key: ClaimKey, nowMs: number): ClaimRow | undefined {
        const row = this.rows.get(key);
        if (row !== undefined && row.expiresAtMs <= nowMs) {
            this.removeRow(row);
            return undefined;
        }
        return row;
    }

    private addRow(request: ClaimRequest, outcome: PackedOutcome | undefined, expiresAtMs: number): void {
        this.lastSequence++;
        this.rows.set(request.key, {
            key: request.key,
            sequence: this.lastSequence,
            claimId: request.claimId,
            holder: request.holder,
            requestHash: request.requestHash,
            replicaSets: this.intern(request.replicaSets),
            outcome,
            expiresAtMs,
            rivals: undefined,
        });
        this.retainedBytes += outcome?.byteLength ?? 0;
    }

    private removeRow(row: ClaimRow): void {
        this.rows.delete(row.key);
        this.retainedBytes -= row.outcome?.byteLength ?? 0;
    }

    private addTombstone(claimId: ClaimId, nowMs: number): void {
        this.tombstones.delete(claimId);
        this.tombstones.set(claimId, nowMs + tombstoneMs);
        if (this.tombstones.size > maxTombstones) {
            const [oldest] = this.tombstones.keys();
            this.tombstones.delete(oldest);
        }
    }

    private pack(outcome: ClaimOutcome): PackedOutcome {
        const packed = packOutcome(outcome);
        if (outcome.kind === "verdict" || this.retainedBytes + packed.byteLength <= this.options.maxRetainedBytes) {
            return packed;
        }
        return packOutcome({ kind: "response", response: { ...outcome.response, body: undefined } });
    }

    // Rows share few distinct sets; sharing the arrays saves about 200 bytes per row.
    private intern(replicaSets: readonly (readonly EntryId[])[]): readonly (readonly EntryId[])[] {
        const name = replicaSets.map(set => set.join(",")).join(";");
        const known = this.replicaSets.get(name);
        if (known !== undefined) {
            return known;
        }
        if (this.replicaSets.size >= maxInternedSets) {
            this.replicaSets.clear();
        }
        this.replicaSets.set(name, replicaSets);
        return replicaSets;
    }
}

function addRival(row: ClaimRow, rival: SyncRow): void {
    const isKnown = row.claimId === rival.claimId || row.rivals?.some(it => it.claimId === rival.claimId) === true;
    if (!isKnown) {
        row.rivals = [...row.rivals ?? [], rival];
    }
}

function replyOfRow(row: ClaimRow, request: ClaimRequest): ClaimReply {
    if (row.requestHash !== request.requestHash) {
        return { kind: "mismatch" };
    }
    if (row.outcome !== undefined) {
        return { kind: "outcome", outcome: unpackOutcome(row.outcome) };
    }
    if (row.claimId === request.claimId) {
        return { kind: "granted" };
    }
    return { kind: "held", holder: row.holder, claimId: row.claimId };
}

function toSyncRow(row: ClaimRow, nowMs: number): SyncRow {
    const { key, claimId, holder, requestHash, replicaSets, expiresAtMs } = row;
    const outcome = row.outcome === undefined ? undefined : unpackOutcome(row.outcome);
    return { key, claimId, holder, requestHash, replicaSets, outcome, lifetimeMs: expiresAtMs - nowMs };
}
