import type { UpstreamOverride } from "../catalogue/model.js";
import type { ServiceName, UpstreamId } from "../core/ids.js";
import type { LoadReport } from "../requests/model.js";
import { type Announcement, type UpstreamRow, UpstreamState, type UpstreamView } from "./view.js";

/** An upstream is eligible only if it sent evidence of readiness (an announcement or load report) within this time. */
export const maxEvidenceAgeMs = 2500;
/** Longest lease that an announcement can request; a draining incarnation is retained for this long. */
export const maxLeaseMs = 60_000;

/** A row as sent to another entry, with ages instead of times, because the clocks of entries are not synchronized. */
export interface UpstreamDigestRow {
    readonly announcement: Announcement;
    /** Undefined without evidence of readiness. */
    readonly evidenceAgeMs: number | undefined;
    readonly readyAgeMs: number | undefined;
}

interface MutableRow {
    announcement: Announcement;
    evidenceAtMs: number;
    readySinceMs: number | undefined;
    refreshedAtMs: number;
}

const never = Number.NEGATIVE_INFINITY;

/** Table of upstream instances: their announcements and the evidence of their readiness. */
export class UpstreamTable implements UpstreamView {
    private readonly rows = new Map<ServiceName, Map<UpstreamId, MutableRow>>();
    private readonly renewed = new Set<MutableRow>();
    private readonly changed = new Set<MutableRow>();
    private readonly byAddress = new Map<string, MutableRow>();
    private overridden = new Set<string>();

    setOverrides(overrides: readonly UpstreamOverride[]): void {
        this.overridden = new Set(overrides.map(override => rowKey(override.service, override.upstreamId)));
    }

    eligibleUpstreams(service: ServiceName, nowMs: number): readonly UpstreamRow[] {
        const eligible: UpstreamRow[] = [];
        for (const row of this.rows.get(service)?.values() ?? []) {
            if (this.isEligible(row, nowMs)) {
                eligible.push(row);
            }
        }
        return eligible;
    }

    findUpstream(service: ServiceName, id: UpstreamId): UpstreamRow | undefined {
        return this.rows.get(service)?.get(id);
    }

    /** Returns the instance that last announced this address. */
    findByAddress(address: string): UpstreamRow | undefined {
        return this.byAddress.get(address);
    }

    /** Whether the address belongs to this instance and the instance may get new requests now. */
    isEligibleTarget(id: UpstreamId, address: string, nowMs: number): boolean {
        const row = this.byAddress.get(address);
        return row !== undefined && row.announcement.id === id && this.isEligible(row, nowMs);
    }

    allUpstreams(): readonly UpstreamRow[] {
        return [...this.rows.values()].flatMap(rows => [...rows.values()]);
    }

    /** Applies an announcement that the instance sent no earlier than `sentAtMs`. */
    announce(announcement: Announcement, sentAtMs: number, nowMs: number): void {
        const row = this.apply(announcement, nowMs);
        if (row === undefined) {
            return;
        }
        this.renewed.add(row);
        if (announcement.state === UpstreamState.ready) {
            this.addEvidence(row, sentAtMs);
        }
    }

    /** Applies a load report of a response that the instance sent no earlier than `sentAtMs`. */
    applyLoadReport(service: ServiceName, id: UpstreamId, load: LoadReport, sentAtMs: number): void {
        const row = this.rows.get(service)?.get(id);
        if (row === undefined || load.incarnation !== row.announcement.incarnation) {
            return;
        }
        if (load.state === UpstreamState.draining && row.announcement.state !== UpstreamState.draining) {
            row.announcement = { ...row.announcement, state: UpstreamState.draining };
            this.changed.add(row);
        }
        else if (load.state === UpstreamState.ready && row.announcement.state === UpstreamState.ready) {
            this.addEvidence(row, sentAtMs);
        }
    }

    /** Applies a row from another entry; `sentAtMs` is undefined when the age of the message is not known. */
    merge(digest: UpstreamDigestRow, sentAtMs: number | undefined, nowMs: number): void {
        const row = this.apply(digest.announcement, nowMs);
        if (row === undefined) {
            return;
        }
        this.changed.delete(row);
        if (sentAtMs === undefined || row.announcement.state !== UpstreamState.ready) {
            return;
        }
        if (digest.evidenceAgeMs !== undefined) {
            this.addEvidence(row, sentAtMs - digest.evidenceAgeMs);
        }
        if (digest.readyAgeMs !== undefined && row.readySinceMs !== undefined) {
            row.readySinceMs = Math.min(row.readySinceMs, sentAtMs - digest.readyAgeMs);
        }
    }

    /** Returns the rows that were added or changed state at this entry since the last call; peers need them at once. */
    takeChanges(nowMs: number): readonly UpstreamDigestRow[] {
        return takeDigest(this.changed, nowMs);
    }

    /** Returns the rows that announcements at this entry renewed since the last call. */
    takeRenewals(nowMs: number): readonly UpstreamDigestRow[] {
        return takeDigest(this.renewed, nowMs);
    }

    /** Returns all rows, for an entry that has just started. */
    digestAll(nowMs: number): readonly UpstreamDigestRow[] {
        return [...this.rows.values()].flatMap(rows => [...rows.values()].map(row => toDigest(row, nowMs)));
    }

    /** Removes rows whose lease has expired. */
    tick(nowMs: number): void {
        for (const [service, rows] of this.rows) {
            for (const [id, row] of rows) {
                if (nowMs - row.refreshedAtMs > retentionMs(row.announcement)) {
                    rows.delete(id);
                    this.removeAddress(row);
                    this.changed.delete(row);
                    this.renewed.delete(row);
                }
            }
            if (rows.size === 0) {
                this.rows.delete(service);
            }
        }
    }

    private isEligible(row: MutableRow, nowMs: number): boolean {
        const { state, service, id } = row.announcement;
        return state === UpstreamState.ready && nowMs - row.evidenceAtMs <= maxEvidenceAgeMs &&
            !this.isOverridden(service, id);
    }

    private isOverridden(service: ServiceName, id: UpstreamId): boolean {
        return this.overridden.size > 0 && this.overridden.has(rowKey(service, id));
    }

    /** Returns the updated row, or undefined when a newer incarnation is known. */
    private apply(announcement: Announcement, nowMs: number): MutableRow | undefined {
        const rows = this.rows.get(announcement.service) ?? new Map<UpstreamId, MutableRow>();
        this.rows.set(announcement.service, rows);
        const row = rows.get(announcement.id);
        if (row === undefined || announcement.incarnation > row.announcement.incarnation) {
            const created = { announcement, evidenceAtMs: never, readySinceMs: undefined, refreshedAtMs: nowMs };
            if (row !== undefined) {
                this.removeAddress(row);
            }
            rows.set(announcement.id, created);
            this.byAddress.set(announcement.address, created);
            this.changed.add(created);
            return created;
        }
        if (announcement.incarnation < row.announcement.incarnation) {
            return undefined;
        }
        row.refreshedAtMs = nowMs;
        this.applySameIncarnation(row, announcement);
        return row;
    }

    /** Draining is final for an incarnation, regardless of the order in which announcements arrive. */
    private applySameIncarnation(row: MutableRow, announcement: Announcement): void {
        const current = row.announcement;
        const isDraining = current.state === UpstreamState.draining || announcement.state === UpstreamState.draining;
        const newest = announcement.sequence >= current.sequence ? announcement : current;
        row.announcement = isDraining ? { ...newest, state: UpstreamState.draining } : newest;
        if (newest.address !== current.address) {
            this.removeAddress(row, current.address);
            this.byAddress.set(newest.address, row);
        }
        if (row.announcement.state !== current.state) {
            row.readySinceMs = undefined;
            this.changed.add(row);
        }
    }

    private removeAddress(row: MutableRow, address = row.announcement.address): void {
        if (this.byAddress.get(address) === row) {
            this.byAddress.delete(address);
        }
    }

    private addEvidence(row: MutableRow, sentAtMs: number): void {
        if (row.announcement.state === UpstreamState.ready) {
            row.evidenceAtMs = Math.max(row.evidenceAtMs, sentAtMs);
            row.readySinceMs ??= sentAtMs;
        }
    }
}

function rowKey(service: ServiceName, id: UpstreamId): string {
    return JSON.stringify([service, id]);
}

/** A draining incarnation is retained longer than its old messages can be in transit: one could add it as ready. */
function retentionMs(announcement: Announcement): number {
    return announcement.state === UpstreamState.draining ? maxLeaseMs : Math.min(announcement.leaseMs, maxLeaseMs);
}

function toDigest(row: MutableRow, nowMs: number): UpstreamDigestRow {
    return {
        announcement: row.announcement,
        evidenceAgeMs: row.evidenceAtMs === never ? undefined : nowMs - row.evidenceAtMs,
        readyAgeMs: row.readySinceMs === undefined ? undefined : nowMs - row.readySinceMs,
    };
}

function takeDigest(rows: Set<MutableRow>, nowMs: number): readonly UpstreamDigestRow[] {
    const digest = [...rows].map(row => toDigest(row, nowMs));
    rows.clear();
    return digest;
}
