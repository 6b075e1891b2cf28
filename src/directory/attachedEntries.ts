import { createHash } from "node:crypto";
import type { EntryId } from "../core/ids.js";
import type { EntryReport, RelayPeer } from "./messages.js";

/** Maximum age of the last report of an entry that is offered to callers; entries report at least every 400 ms. */
const maxOfferedAgeMs = 1000;
/** Maximum age, in ms, of the last report of an entry that is counted; others have and use no share of the budgets. */
export const maxCountedAgeMs = 2000;

interface AttachedEntry {
    readonly report: EntryReport;
    readonly reportedAtMs: number;
}

/** Entries that are attached to one control VM. */
export class AttachedEntries {
    private readonly entriesById = new Map<EntryId, AttachedEntry>();

    recordReport(report: EntryReport, nowMs: number): void {
        this.entriesById.set(report.id, { report, reportedAtMs: nowMs });
    }

    count(nowMs: number): number {
        return this.listCounted(nowMs).length;
    }

    /** Lists the last reports of the entries that are counted. */
    listCounted(nowMs: number): readonly EntryReport[] {
        return this.listRecent(nowMs, maxCountedAgeMs);
    }

    /**
     * Returns up to `maxAddresses` entry addresses for a caller, from its availability zone if there are any. If there
     * are more, a hash of the caller's IP address selects them: callers spread evenly, and each keeps the same entries.
     */
    listAddresses(
        availabilityZone: string | undefined,
        nowMs: number,
        maxAddresses: number,
        callerIp: string,
    ): readonly string[] {
        const offered = this.listRecent(nowMs, maxOfferedAgeMs).filter(report => report.isServing);
        const connected = offered.filter(report => report.isCutOff !== true);
        // An entry that is cut off still relays, which is better than no address.
        const serving = connected.length > 0 ? connected : offered;
        const inZone = serving.filter(report => report.availabilityZone === availabilityZone);
        const addresses = (inZone.length > 0 ? inZone : serving).map(report => report.address).sort();
        if (addresses.length <= maxAddresses) {
            return addresses;
        }
        const firstIndex = createHash("sha256").update(callerIp).digest().readUInt32BE(0);
        return Array.from({ length: maxAddresses }, (_, index) => addresses[(firstIndex + index) % addresses.length]);
    }

    /** Lists the entries that can take relayed requests. */
    listPeers(nowMs: number): readonly RelayPeer[] {
        return this.listRecent(nowMs, maxOfferedAgeMs)
            .filter(report => report.isServing && report.isCutOff !== true)
            .map(({ address, availabilityZone }) => ({ address, availabilityZone }));
    }

    private listRecent(nowMs: number, maxAgeMs: number): readonly EntryReport[] {
        for (const [id, attached] of this.entriesById) {
            if (nowMs - attached.reportedAtMs > maxCountedAgeMs) {
                this.entriesById.delete(id);
            }
        }
        return [...this.entriesById.values()].filter(attached => nowMs - attached.reportedAtMs <= maxAgeMs).map(
            attached => attached.report,
        );
    }
}
