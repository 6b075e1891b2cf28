import type { EntryId } from "../core/ids.js";
import type { EntryState } from "./entryLists.js";
import type { EntryReport, RelayPeer } from "./messages.js";

/** Maximum age of the last report of an entry that is offered to callers; entries report at least every 400 ms. */
const maxOfferedAgeMs = 1000;
/** Maximum age, in ms, of the last report of an entry that is counted; others have and use no share of the budgets. */
export const maxCountedAgeMs = 2000;

interface AttachedEntry {
    readonly report: EntryReport;
    readonly reportedAtMs: number;
    /** Since when the entry has reported the same address, availability zone and serving state. */
    readonly sinceMs: number;
}

/** Entries that are attached to one control VM. */
export class AttachedEntries {
    private readonly entriesById = new Map<EntryId, AttachedEntry>();

    /** Records a report; returns whether it changes what lookups offer. */
    recordReport(report: EntryReport, nowMs: number): boolean {
        const previous = this.entriesById.get(report.id);
        const isSame = previous !== undefined && nowMs - previous.reportedAtMs <= maxOfferedAgeMs &&
            previous.report.isServing === report.isServing &&
            (previous.report.isCutOff ?? false) === (report.isCutOff ?? false) &&
            previous.report.address === report.address &&
            previous.report.availabilityZone === report.availabilityZone;
        const sinceMs = isSame ? previous.sinceMs : nowMs;
        this.entriesById.set(report.id, { report, reportedAtMs: nowMs, sinceMs });
        return !isSame;
    }

    count(nowMs: number): number {
        return this.listCounted(nowMs).length;
    }

    /** Lists the last reports of the entries that are counted. */
    listCounted(nowMs: number): readonly EntryReport[] {
        return this.listRecent(nowMs, maxCountedAgeMs).map(attached => attached.report);
    }

    /**
     * Lists the states of the entries that reported recently enough to be offered, serving or not. One that cannot reach
     * instances is not offered to new callers.
     */
    listStates(nowMs: number): readonly EntryState[] {
        return this.listRecent(nowMs, maxOfferedAgeMs).map(({ report, sinceMs }) => ({
            id: report.id,
            address: report.address,
            availabilityZone: report.availabilityZone,
            isServing: report.isServing && report.isCutOff !== true,
            isRelaying: report.isServing && report.isCutOff === true,
            sinceMs,
        }));
    }

    /** Lists the entries that can take relayed requests. */
    listPeers(nowMs: number): readonly RelayPeer[] {
        return this.listRecent(nowMs, maxOfferedAgeMs).map(({ report }) => report)
            .filter(report => report.isServing && report.isCutOff !== true)
            .map(({ address, availabilityZone }) => ({ address, availabilityZone }));
    }

    private listRecent(nowMs: number, maxAgeMs: number): readonly AttachedEntry[] {
        for (const [id, attached] of this.entriesById) {
            if (nowMs - attached.reportedAtMs > maxCountedAgeMs) {
                this.entriesById.delete(id);
            }
        }
        return [...this.entriesById.values()].filter(attached => nowMs - attached.reportedAtMs <= maxAgeMs);
    }
}
