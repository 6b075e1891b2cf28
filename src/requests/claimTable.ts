import type { EntryId } from "../core/ids.js";
import type {
    ClaimId,
    ClaimKey,
    ClaimOutcome,
    ClaimRecord,
    ClaimReference,
    ClaimReply,
    ClaimRequest,
    SyncedClaim,
} from "./claimMessages.js";
import { type PackedOutcome, packOutcome, unpackOutcome } from "./packedOutcome.js";

const expiryIntervalMs = 1000;
const tombstoneMs = 30_000;
const maxTombstones = 20_000;
const maxInternedReplicaSets = 10_000;

/** Limits of the claims that a replica stores. */
export interface ClaimTableOptions {
    /** Time for which an outcome is kept after it was recorded. */
    readonly retentionMs: number;
    readonly maxStoredClaims: number;
    /** Maximum total size of retained outcomes; above it, outcomes are kept without their bodies. */
    readonly maxRetainedBytes: number;
}

interface StoredClaim {
    readonly key: ClaimKey;
    readonly sequence: number;
    claimId: ClaimId;
    holder: EntryId;
    readonly requestHash: string;
    readonly replicaSets: readonly (readonly EntryId[])[];
    outcome: PackedOutcome | undefined;
    expiresAtMs: number;
    /**
     * Other claims of the same key without an outcome, read from other replicas after a restart. Each of them may have
     * a majority, so the key is free only when all of them are released.
     */
    competingClaims: SyncedClaim[] | undefined;
}

/** Page of claims for a restarted replica. */
export interface ClaimPage {
    readonly rows: readonly SyncedClaim[];
    readonly nextCursor: number | undefined;
}

/** Claims that this entry stores as a replica. */
export class ClaimTable {
    private readonly claimsByKey = new Map<ClaimKey, StoredClaim>();
    private readonly tombstones = new Map<ClaimId, number>();
    private readonly internedReplicaSets = new Map<string, readonly (readonly EntryId[])[]>();
    private lastSequence = 0;
    private retainedBytes = 0;
    private nextExpiryAtMs = 0;

    constructor(private readonly options: ClaimTableOptions) {}

    get size(): number {
        return this.claimsByKey.size;
    }

    /** Grants the claim if its key is free. New claims get `abstain` while `isAbstaining`. */
    request(request: ClaimRequest, isAbstaining: boolean, nowMs: number): ClaimReply {
        const stored = this.findClaim(request.key, nowMs);
        if (stored !== undefined) {
            return replyOf(stored, request);
        }
        if (this.tombstones.has(request.claimId)) {
            return { kind: "released" };
        }
        if (isAbstaining) {
            return { kind: "abstain" };
        }
        if (this.claimsByKey.size >= this.options.maxStoredClaims) {
            return { kind: "full" };
        }
        this.addClaim(request, undefined, nowMs + request.lifetimeMs);
        return { kind: "granted" };
    }

    /** Removes a claim whose request will never be dispatched; a tombstone blocks delayed requests with its id. */
    release({ key, claimId }: ClaimReference, nowMs: number): void {
        this.addTombstone(claimId, nowMs);
        const stored = this.claimsByKey.get(key);
        if (stored === undefined || stored.outcome !== undefined) {
            return;
        }
        const remainingClaims = stored.competingClaims?.filter(competing => competing.claimId !== claimId);
        if (stored.claimId !== claimId) {
            stored.competingClaims = remainingClaims;
            return;
        }
        this.removeClaim(stored);
        for (const competing of remainingClaims ?? []) {
            this.install(competing, nowMs);
        }
    }

    /** Records the outcome of a claim. The first outcome of a key is final. */
    record(record: ClaimRecord, nowMs: number): void {
        const stored = this.findClaim(record.key, nowMs);
        if (stored?.outcome !== undefined) {
            return;
        }
        if (stored !== undefined) {
            this.removeClaim(stored);
        }
        if (this.claimsByKey.size < this.options.maxStoredClaims) {
            this.addClaim(record, this.pack(record.outcome), nowMs + this.options.retentionMs);
        }
    }

    /** Adds a claim that was read from another replica. */
    install(incoming: SyncedClaim, nowMs: number): void {
        const existing = this.findClaim(incoming.key, nowMs);
        if (existing?.outcome !== undefined || this.tombstones.has(incoming.claimId)) {
            return;
        }
        if (existing !== undefined && incoming.outcome === undefined) {
            return addCompetingClaim(existing, incoming);
        }
        if (existing !== undefined) {
            this.removeClaim(existing);
        }
        const outcome = incoming.outcome === undefined ? undefined : this.pack(incoming.outcome);
        this.addClaim(incoming, outcome, nowMs + incoming.lifetimeMs);
    }

    /** Returns the claims after the cursor that have `forEntry` as a replica, up to the limits of a page. */
    readPage(forEntry: EntryId, cursor: number, maxClaimCount: number, maxBytes: number, nowMs: number): ClaimPage {
        const rows: SyncedClaim[] = [];
        let bytes = 0;
        let lastSequence = cursor;
        for (const stored of this.claimsByKey.values()) {
            if (stored.sequence <= cursor || !stored.replicaSets.some(set => set.includes(forEntry))) {
                continue;
            }
            if (rows.length >= maxClaimCount || bytes > maxBytes) {
                return { rows, nextCursor: lastSequence };
            }
            if (stored.expiresAtMs > nowMs) {
                rows.push(toSyncedClaim(stored, nowMs));
                bytes += stored.outcome?.byteLength ?? 0;
            }
            lastSequence = stored.sequence;
        }
        return { rows, nextCursor: undefined };
    }

    /** Removes expired claims and tombstones. */
    tick(nowMs: number): void {
        if (nowMs < this.nextExpiryAtMs) {
            return;
        }
        this.nextExpiryAtMs = nowMs + expiryIntervalMs;
        for (const stored of this.claimsByKey.values()) {
            if (stored.expiresAtMs <= nowMs) {
                this.removeClaim(stored);
            }
        }
        for (const [claimId, expiresAtMs] of this.tombstones) {
            if (expiresAtMs > nowMs) {
                break;
            }
            this.tombstones.delete(claimId);
        }
    }

    private findClaim(key: ClaimKey, nowMs: number): StoredClaim | undefined {
        const stored = this.claimsByKey.get(key);
        if (stored !== undefined && stored.expiresAtMs <= nowMs) {
            this.removeClaim(stored);
            return undefined;
        }
        return stored;
    }

    private addClaim(request: ClaimRequest, outcome: PackedOutcome | undefined, expiresAtMs: number): void {
        this.lastSequence++;
        this.claimsByKey.set(request.key, {
            key: request.key,
            sequence: this.lastSequence,
            claimId: request.claimId,
            holder: request.holder,
            requestHash: request.requestHash,
            replicaSets: this.intern(request.replicaSets),
            outcome,
            expiresAtMs,
            competingClaims: undefined,
        });
        this.retainedBytes += outcome?.byteLength ?? 0;
    }

    private removeClaim(stored: StoredClaim): void {
        this.claimsByKey.delete(stored.key);
        this.retainedBytes -= stored.outcome?.byteLength ?? 0;
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

    // There are few distinct replica sets; sharing the arrays saves about 200 bytes per claim.
    private intern(replicaSets: readonly (readonly EntryId[])[]): readonly (readonly EntryId[])[] {
        const internKey = replicaSets.map(set => set.join(",")).join(";");
        const interned = this.internedReplicaSets.get(internKey);
        if (interned !== undefined) {
            return interned;
        }
        if (this.internedReplicaSets.size >= maxInternedReplicaSets) {
            this.internedReplicaSets.clear();
        }
        this.internedReplicaSets.set(internKey, replicaSets);
        return replicaSets;
    }
}

function addCompetingClaim(stored: StoredClaim, competing: SyncedClaim): void {
    const isKnown = stored.claimId === competing.claimId ||
        stored.competingClaims?.some(knownClaim => knownClaim.claimId === competing.claimId) === true;
    if (!isKnown) {
        stored.competingClaims = [...stored.competingClaims ?? [], competing];
    }
}

function replyOf(stored: StoredClaim, request: ClaimRequest): ClaimReply {
    if (stored.requestHash !== request.requestHash) {
        return { kind: "mismatch" };
    }
    if (stored.outcome !== undefined) {
        return { kind: "outcome", outcome: unpackOutcome(stored.outcome) };
    }
    if (stored.claimId === request.claimId) {
        return { kind: "granted" };
    }
    return { kind: "held", holder: stored.holder, claimId: stored.claimId };
}

function toSyncedClaim(stored: StoredClaim, nowMs: number): SyncedClaim {
    const { key, claimId, holder, requestHash, replicaSets, expiresAtMs } = stored;
    const outcome = stored.outcome === undefined ? undefined : unpackOutcome(stored.outcome);
    return { key, claimId, holder, requestHash, replicaSets, outcome, lifetimeMs: expiresAtMs - nowMs };
}
