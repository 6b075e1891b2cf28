import type { Catalogue, EntryList } from "../catalogue/model.js";

// Entries learn of a new list within seconds of each other; claims made under the old one in between must still count.
const propagationMarginMs = 60_000;

interface ListRow {
    readonly list: EntryList;
    supersededAtMs: number | undefined;
}

/** Entry lists that count for claims: the current one, and each older one until all claims made under it have ended. */
export class CountingEntryLists {
    private rows: ListRow[] = [];
    private seenRevision = -1;

    constructor(private readonly catalogue: () => Catalogue, private readonly retentionMs: number) {}

    /** Returns the lists, oldest first. */
    list(nowMs: number): readonly EntryList[] {
        const catalogue = this.catalogue();
        if (catalogue.revision !== this.seenRevision) {
            this.seenRevision = catalogue.revision;
            this.merge(catalogue.entryLists, nowMs);
        }
        const keptMs = this.retentionMs + propagationMarginMs;
        if (this.rows.some(row => hasEnded(row, keptMs, nowMs))) {
            this.rows = this.rows.filter(row => !hasEnded(row, keptMs, nowMs));
        }
        return this.rows.map(row => row.list);
    }

    private merge(lists: readonly EntryList[], nowMs: number): void {
        const current = lists.at(-1);
        if (current === undefined) {
            return;
        }
        for (const list of lists) {
            if (!this.rows.some(row => row.list.revision === list.revision) && this.isNew(list, current)) {
                this.rows.push({ list, supersededAtMs: undefined });
            }
        }
        this.rows.sort((first, second) => first.list.revision - second.list.revision);
        for (const row of this.rows) {
            if (row.list.revision !== current.revision) {
                row.supersededAtMs ??= nowMs;
            }
        }
    }

    // A list that this entry has dropped as ended does not come back while the catalogue still names it.
    private isNew(list: EntryList, current: EntryList): boolean {
        const newest = this.rows.at(-1)?.list.revision ?? -1;
        return list.revision === current.revision || this.rows.length === 0 || list.revision > newest;
    }
}

function hasEnded(row: ListRow, keptMs: number, nowMs: number): boolean {
    return row.supersededAtMs !== undefined && nowMs - row.supersededAtMs >= keptMs;
}
