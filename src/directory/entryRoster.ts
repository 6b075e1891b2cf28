import { createHash } from "node:crypto";
import type { EntryId } from "../core/ids.js";
import type { EntryReport } from "./messages.js";

/** An entry reports at least every 400 ms; after this silence it is not offered to callers. */
const silentAfterMs = 1000;
/** An entry that is silent for longer has no share of what all entries may use together, and takes none. */
export const countedMs = 2000;

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
        return this.listRecent(nowMs, countedMs).length;
    }

    /**
     * Returns up to `most` addresses to offer to a caller: those of its availability zone, or else of all. A caller's
     * IP address chooses its part of a longer list, so that all entries are offered alike and a caller finds its own again.
     */
    listAddresses(
        availabilityZone: string | undefined,
        nowMs: number,
        most: number,
        callerIp: string,
    ): readonly string[] {
        const serving = this.listRecent(nowMs, silentAfterMs).filter(report => report.isServing);
        const near = serving.filter(report => report.availabilityZone === availabilityZone);
        const addresses = (near.length > 0 ? near : serving).map(report => report.address).sort();
        if (addresses.length <= most) {
            return addresses;
        }
        const start = createHash("sha256").update(callerIp).digest().readUInt32BE(0);
        return Array.from({ length: most }, (_, index) => addresses[(start + index) % addresses.length]);
    }

    private listRecent(nowMs: number, maxAgeMs: number): readonly EntryReport[] {
        for (const [id, row] of this.rows) {
            if (nowMs - row.seenAtMs > countedMs) {
                this.rows.delete(id);
            }
        }
        return [...this.rows.values()].filter(row => nowMs - row.seenAtMs <= maxAgeMs).map(row => row.report);
    }
}
