import type { Catalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { EntryGroup } from "./messages.js";
import type { ConfigSyncParams, EntryStatus, UpstreamStatus } from "./operatorApi.js";

const silentAfterMs = 3000;
const removeAfterMs = 60_000;

interface EntryReport {
    readonly params: ConfigSyncParams;
    readonly receivedAtMs: number;
}

/** Entries as of their last sync with this control VM. */
export class EntryTable {
    private readonly reports = new Map<EntryId, EntryReport>();
    private readonly watchers = new Set<() => void>();

    /** Stores the parameters of a `config.sync`, unless a later incarnation of the entry has synced. */
    record(params: ConfigSyncParams, nowMs: number): void {
        const previous = this.reports.get(params.entryId);
        if (previous !== undefined && previous.params.incarnation > params.incarnation) {
            return;
        }
        this.reports.set(params.entryId, { params, receivedAtMs: nowMs });
        this.watchers.forEach(watcher => watcher());
    }

    /** Calls `watcher` after each sync until the returned function is called. */
    watch(watcher: () => void): () => void {
        this.watchers.add(watcher);
        return () => this.watchers.delete(watcher);
    }

    /** Returns the number of the given entries that hold a revision or a later one. */
    countHolding(entryIds: readonly EntryId[], revision: number): number {
        return entryIds.filter(id => (this.reports.get(id)?.params.revision ?? -1) >= revision).length;
    }

    /** Returns whether a majority of each group holds a revision or a later one. */
    isHeldByMajorities(groups: readonly EntryGroup[], revision: number): boolean {
        return groups.every(group => this.countHolding(group.entryIds, revision) * 2 > group.entryIds.length);
    }

    /** Removes entries that have not synced for a minute. */
    removeStale(nowMs: number): void {
        for (const [id, report] of this.reports) {
            if (nowMs - report.receivedAtMs > removeAfterMs) {
                this.reports.delete(id);
            }
        }
    }

    /** Returns the state of all entries that are in the catalogue or have synced. */
    listStatus(catalogue: Catalogue, nowMs: number): readonly EntryStatus[] {
        const ids = new Set([...Object.keys(catalogue.entryVms), ...this.reports.keys()]);
        return [...ids].sort().map(id => this.describe(id, catalogue, nowMs));
    }

    /** Returns the upstreams that the entries reported, each with its most recent evidence. */
    listUpstreams(nowMs: number): readonly UpstreamStatus[] {
        const latest = new Map<string, UpstreamStatus>();
        for (const report of this.reports.values()) {
            for (const upstream of report.params.upstreams) {
                const key = JSON.stringify([upstream.service, upstream.id]);
                const evidenceAgeMs = Math.round(upstream.evidenceAgeMs + nowMs - report.receivedAtMs);
                if (evidenceAgeMs < (latest.get(key)?.evidenceAgeMs ?? Infinity)) {
                    latest.set(key, { ...upstream, evidenceAgeMs });
                }
            }
        }
        return [...latest.values()];
    }

    private describe(id: EntryId, catalogue: Catalogue, nowMs: number): EntryStatus {
        const report = this.reports.get(id);
        const params = report?.params;
        const heardAgoMs = report === undefined ? -1 : Math.round(nowMs - report.receivedAtMs);
        return {
            id,
            availabilityZone: params?.availabilityZone ?? catalogue.entryVms[id]?.availabilityZone ?? "",
            revision: params?.revision ?? 0,
            incarnation: params?.incarnation ?? 0,
            isDraining: params?.isDraining ?? false,
            isConfirmed: params?.isConfirmed ?? false,
            heardAgoMs,
            measuringSpentMsPerSecond: params?.measuringSpentMsPerSecond ?? {},
            problems: [...params?.problems ?? [], ...listProblems(id, report, catalogue, heardAgoMs)],
        };
    }
}

function listProblems(
    id: EntryId,
    report: EntryReport | undefined,
    catalogue: Catalogue,
    heardAgoMs: number,
): readonly string[] {
    const problems: string[] = [];
    if (report === undefined) {
        problems.push("not heard by this control VM since it started");
    }
    else if (heardAgoMs > silentAfterMs) {
        problems.push(`not heard for ${heardAgoMs} ms`);
    }
    if (!Object.hasOwn(catalogue.entryVms, id)) {
        problems.push("not in the catalogue");
    }
    return problems;
}
