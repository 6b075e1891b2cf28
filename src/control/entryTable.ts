import type { Catalogue } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { EntryGroup } from "./messages.js";
import type { ConfigSyncParams, EntryStatus, UpstreamStatus } from "./operatorApi.js";

const silentAfterMs = 3000;
const forgetAfterMs = 60_000;

interface EntryRow {
    readonly params: ConfigSyncParams;
    readonly heardAtMs: number;
}

/** The entries as this control VM last heard them. */
export class EntryTable {
    private readonly rows = new Map<EntryId, EntryRow>();
    private readonly watchers = new Set<() => void>();

    /** Takes the parameters of a `config.sync`. */
    record(params: ConfigSyncParams, nowMs: number): void {
        const known = this.rows.get(params.entryId);
        if (known !== undefined && known.params.incarnation > params.incarnation) {
            return;
        }
        this.rows.set(params.entryId, { params, heardAtMs: nowMs });
        this.watchers.forEach(watcher => watcher());
    }

    /** Calls `watcher` after each sync until the returned function is called. */
    watch(watcher: () => void): () => void {
        this.watchers.add(watcher);
        return () => this.watchers.delete(watcher);
    }

    /** Returns how many of the entries hold a revision or a later one. */
    countHolding(entryIds: readonly EntryId[], revision: number): number {
        return entryIds.filter(id => (this.rows.get(id)?.params.revision ?? -1) >= revision).length;
    }

    /** Returns whether a majority of each group holds a revision or a later one. */
    isHeldByMajorities(groups: readonly EntryGroup[], revision: number): boolean {
        return groups.every(group => this.countHolding(group.entryIds, revision) * 2 > group.entryIds.length);
    }

    /** Drops entries that were not heard for a minute. */
    forgetSilent(nowMs: number): void {
        for (const [id, row] of this.rows) {
            if (nowMs - row.heardAtMs > forgetAfterMs) {
                this.rows.delete(id);
            }
        }
    }

    /** Returns the state of all entries that are in the catalogue or were heard. */
    listStatus(catalogue: Catalogue, nowMs: number): readonly EntryStatus[] {
        const ids = new Set([...Object.keys(catalogue.entryVms), ...this.rows.keys()]);
        return [...ids].sort().map(id => this.describe(id, catalogue, nowMs));
    }

    /** Returns the upstreams that the entries reported, each with its most recent evidence. */
    listUpstreams(nowMs: number): readonly UpstreamStatus[] {
        const found = new Map<string, UpstreamStatus>();
        for (const row of this.rows.values()) {
            for (const upstream of row.params.upstreams) {
                const key = JSON.stringify([upstream.service, upstream.id]);
                const evidenceAgeMs = Math.round(upstream.evidenceAgeMs + nowMs - row.heardAtMs);
                if (evidenceAgeMs < (found.get(key)?.evidenceAgeMs ?? Infinity)) {
                    found.set(key, { ...upstream, evidenceAgeMs });
                }
            }
        }
        return [...found.values()];
    }

    private describe(id: EntryId, catalogue: Catalogue, nowMs: number): EntryStatus {
        const row = this.rows.get(id);
        const params = row?.params;
        const heardAgoMs = row === undefined ? -1 : Math.round(nowMs - row.heardAtMs);
        return {
            id,
            availabilityZone: params?.availabilityZone ?? catalogue.entryVms[id]?.availabilityZone ?? "",
            revision: params?.revision ?? 0,
            incarnation: params?.incarnation ?? 0,
            isDraining: params?.isDraining ?? false,
            isConfirmed: params?.isConfirmed ?? false,
            heardAgoMs,
            measuringSpentMsPerSecond: params?.measuringSpentMsPerSecond ?? {},
            problems: [...params?.problems ?? [], ...listProblems(id, row, catalogue, heardAgoMs)],
        };
    }
}

function listProblems(
    id: EntryId,
    row: EntryRow | undefined,
    catalogue: Catalogue,
    heardAgoMs: number,
): readonly string[] {
    const problems: string[] = [];
    if (row === undefined) {
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
