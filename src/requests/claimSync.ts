import type { EntryList } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import { ClaimMethod, type Incarnations, type SyncAnswer, type SyncRequest } from "./claimMessages.js";
import type { ClaimTable } from "./claimTable.js";
import type { Outbox } from "./outbox.js";
import { replicaSetSizeOf, syncQuorumOf } from "./replicaSet.js";

const resendIntervalMs = 250;
const maxClaimsPerPage = 500;
const maxBytesPerPage = 512 * 1024;

/** Options of `ClaimSync`. */
export interface ClaimSyncOptions {
    readonly selfId: EntryId;
    readonly incarnation: number;
    /** Time after the start until every claim granted by an earlier incarnation has expired. */
    readonly abstentionMs: number;
    /** Whether the list is newer than this process, so that no earlier incarnation granted claims under it. */
    readonly isNewList: (list: EntryList) => boolean;
    /** Returns the active entry lists. */
    readonly entryLists: (nowMs: number) => readonly EntryList[];
}

interface SyncSource {
    cursor: number;
    incarnation: number | undefined;
    nextSendAtMs: number;
    state: "reading" | "read";
}

/**
 * Recovery of a restarted replica. Until it has read the claims of enough other replicas of a replica set, it abstains
 * from granting claims of that set. Its sync requests carry its new incarnation, which voids grants of the old one.
 */
export class ClaimSync {
    private readonly sources = new Map<EntryId, SyncSource>();
    private readonly incarnations = new Map<EntryId, number>();
    private startedAtMs: number | undefined;

    constructor(
        private readonly options: ClaimSyncOptions,
        private readonly table: ClaimTable,
        private readonly outbox: Outbox,
    ) {
        this.incarnations.set(options.selfId, options.incarnation);
    }

    /** Whether this replica abstains from granting claims with these replica sets. */
    isAbstaining(replicaSets: readonly (readonly EntryId[])[], nowMs: number): boolean {
        if (this.isAbstentionOver(nowMs) || replicaSets.every(set => this.hasRead(set))) {
            return false;
        }
        const lists = this.options.entryLists(nowMs);
        return lists.length === 0 || lists.some(list => this.hasEarlierGrants(list));
    }

    /** Returns the newest known incarnations of the given entries. */
    knownIncarnations(ids: Iterable<EntryId>): Incarnations {
        const known: Record<EntryId, number> = {};
        for (const id of ids) {
            const incarnation = this.incarnations.get(id);
            if (incarnation !== undefined) {
                known[id] = incarnation;
            }
        }
        return known;
    }

    /** Records an incarnation of an entry unless a newer one is known. */
    recordIncarnation(id: EntryId, incarnation: number): void {
        if (incarnation > (this.incarnations.get(id) ?? -1)) {
            this.incarnations.set(id, incarnation);
        }
    }

    /** Requests the claims of other replicas until this replica need not abstain for any set. */
    tick(nowMs: number): void {
        this.startedAtMs ??= nowMs;
        if (this.hasReadAll(nowMs)) {
            return;
        }
        const ids = new Set(this.options.entryLists(nowMs).flatMap(list => this.withoutSelf(list.entryIds)));
        for (const id of ids) {
            const source = this.findOrAddSource(id, nowMs);
            if (source.state !== "read" && nowMs >= source.nextSendAtMs) {
                this.requestPage(id, source, nowMs);
            }
        }
    }

    /** Answers a `claim.sync` request of a restarted replica. */
    onRequest(from: EntryId, request: SyncRequest, nowMs: number): void {
        this.recordIncarnation(from, request.incarnation);
        const isAbstaining = !this.hasReadAll(nowMs);
        const page = isAbstaining
            ? { rows: [], nextCursor: undefined }
            : this.table.readPage(from, request.cursor, maxClaimsPerPage, maxBytesPerPage, nowMs);
        const answer: SyncAnswer = {
            forIncarnation: request.incarnation,
            incarnation: this.options.incarnation,
            cursor: request.cursor,
            isAbstaining,
            ...page,
        };
        this.outbox.send(from, ClaimMethod.synced, answer);
    }

    /** Handles a page of another replica's claims. */
    onAnswer(from: EntryId, answer: SyncAnswer, nowMs: number): void {
        this.recordIncarnation(from, answer.incarnation);
        if (answer.forIncarnation !== this.options.incarnation) {
            return;
        }
        const source = this.findOrAddSource(from, nowMs);
        if (source.state === "read") {
            return;
        }
        if (answer.isAbstaining) {
            return;
        }
        this.applyPage(from, source, answer, nowMs);
    }

    private applyPage(from: EntryId, source: SyncSource, answer: SyncAnswer, nowMs: number): void {
        if (answer.cursor !== source.cursor) {
            return;
        }
        if (answer.cursor > 0 && answer.incarnation !== source.incarnation) {
            source.cursor = 0;
            return this.requestPage(from, source, nowMs);
        }
        source.incarnation = answer.incarnation;
        for (const incoming of answer.rows) {
            this.table.install(incoming, nowMs);
        }
        if (answer.nextCursor === undefined) {
            source.state = "read";
            return;
        }
        source.cursor = answer.nextCursor;
        this.requestPage(from, source, nowMs);
    }

    private requestPage(id: EntryId, source: SyncSource, nowMs: number): void {
        source.nextSendAtMs = nowMs + resendIntervalMs;
        const request: SyncRequest = { incarnation: this.options.incarnation, cursor: source.cursor };
        this.outbox.send(id, ClaimMethod.sync, request);
    }

    private findOrAddSource(id: EntryId, nowMs: number): SyncSource {
        let source = this.sources.get(id);
        if (source === undefined) {
            source = { cursor: 0, incarnation: undefined, nextSendAtMs: nowMs, state: "reading" };
            this.sources.set(id, source);
        }
        return source;
    }

    private withoutSelf(ids: readonly EntryId[]): EntryId[] {
        return ids.filter(id => id !== this.options.selfId);
    }

    private isAbstentionOver(nowMs: number): boolean {
        return this.startedAtMs !== undefined && nowMs - this.startedAtMs >= this.options.abstentionMs;
    }

    private hasRead(set: readonly EntryId[]): boolean {
        const others = this.withoutSelf(set);
        const readCount = others.filter(id => this.sources.get(id)?.state === "read").length;
        return readCount >= syncQuorumOf(set.length);
    }

    // A restarted replica counts this replica's answer for every replica set that includes both, so this replica must
    // have read enough replicas of any set that can be chosen from the lists.
    private hasReadAll(nowMs: number): boolean {
        const lists = this.options.entryLists(nowMs);
        return this.isAbstentionOver(nowMs) ||
            (lists.length > 0 && lists.every(list => !this.hasEarlierGrants(list) || this.hasReadList(list)));
    }

    // An entry that was added to the list, like every entry of a new cluster, has no earlier grants to recover.
    private hasEarlierGrants(list: EntryList): boolean {
        return list.entryIds.includes(this.options.selfId) && !this.options.isNewList(list);
    }

    private hasReadList(list: EntryList): boolean {
        const others = this.withoutSelf(list.entryIds);
        const setSize = replicaSetSizeOf(list.entryIds.length);
        const unreadCount = others.filter(id => this.sources.get(id)?.state !== "read").length;
        return setSize - 1 - unreadCount >= syncQuorumOf(setSize);
    }
}
