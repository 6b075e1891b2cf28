import type { Catalogue, EntryList } from "../catalogue/model.js";

// Entries learn of a new list within seconds of each other; claims made under the old list meanwhile must stay valid.
const propagationMarginMs = 60_000;

interface TrackedList {
    readonly list: EntryList;
    supersededAtMs: number | undefined;
}

/** Entry lists in which a claim needs a majority: the current one, and older ones until their claims have expired. */
export class ActiveEntryLists {
    private trackedLists: TrackedList[] = [];
    private mergedRevision = -1;

    constructor(private readonly catalogue: () => Catalogue, private readonly retentionMs: number) {}

    /** Returns the lists, oldest first. */
    listActive(nowMs: number): readonly EntryList[] {
        const catalogue = this.catalogue();
        if (catalogue.revision !== this.mergedRevision) {
            this.mergedRevision = catalogue.revision;
            this.merge(catalogue.entryLists, nowMs);
        }
        const keptMs = this.retentionMs + propagationMarginMs;
        if (this.trackedLists.some(tracked => hasExpired(tracked, keptMs, nowMs))) {
            this.trackedLists = this.trackedLists.filter(tracked => !hasExpired(tracked, keptMs, nowMs));
        }
        return this.trackedLists.map(tracked => tracked.list);
    }

    private merge(lists: readonly EntryList[], nowMs: number): void {
        const current = lists.at(-1);
        if (current === undefined) {
            return;
        }
        for (const list of lists) {
            if (
                !this.trackedLists.some(tracked => tracked.list.revision === list.revision) && this.isNew(list, current)
            ) {
                this.trackedLists.push({ list, supersededAtMs: undefined });
            }
        }
        this.trackedLists.sort((first, second) => first.list.revision - second.list.revision);
        for (const tracked of this.trackedLists) {
            if (tracked.list.revision !== current.revision) {
                tracked.supersededAtMs ??= nowMs;
            }
        }
    }

    // A list that has expired here is not added again while the catalogue still contains it.
    private isNew(list: EntryList, current: EntryList): boolean {
        const newest = this.trackedLists.at(-1)?.list.revision ?? -1;
        return list.revision === current.revision || this.trackedLists.length === 0 || list.revision > newest;
    }
}

function hasExpired(tracked: TrackedList, keptMs: number, nowMs: number): boolean {
    return tracked.supersededAtMs !== undefined && nowMs - tracked.supersededAtMs >= keptMs;
}
