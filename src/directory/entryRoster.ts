import type { EntryId } from "../core/ids.js";
import type { EntryReport } from "./messages.js";

/** An entry reports at least every 400 ms; after this silence it is not offered to callers. */
const silentAfterMs = 1000;

interface RosterRow {
    readonly report: EntryReport;
    readonly seenAtMs: number;
}

/** The entries that are attached to one control VM. */
export class EntryRoster {
    private readonly rows = new Map<EntryId, RosterRow>();

    note(report: EntryReport, nowMs: number): void {
        this.rows.set(report.id, { report, seenAtMs: nowMs });
    }

    count(nowMs: number): number {
        return this.listLive(nowMs).length;
    }

    /** Returns the addresses to offer to a caller: those of its availability zone, or else all. */
    listAddresses(availabilityZone: string | undefined, nowMs: number): readonly string[] {
        const serving = this.listLive(nowMs).filter(report => report.isServing);
        const near = serving.filter(report => report.availabilityZone === availabilityZone);
        return (near.length > 0 ? near : serving).map(report => report.address);
    }

    private listLive(nowMs: number): readonly EntryReport[] {
        for (const [id, row] of this.rows) {
            if (nowMs - row.seenAtMs > silentAfterMs) {
                this.rows.delete(id);
            }
        }
        return [...this.rows.values()].map(row => row.report);
    }
}
