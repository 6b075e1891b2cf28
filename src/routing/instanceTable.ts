import type { ServiceName, UpstreamId } from "../core/ids.js";
import type { UpstreamRow } from "../membership/view.js";

/** What this entry knows of an upstream instance from its own attempts and from load reports. */
export interface InstanceRow {
    readonly id: UpstreamId;
    readonly incarnation: number;
    /** Attempts in flight from this entry. */
    outstanding: number;
    /** Smoothed latency in milliseconds; a failure enters as a slow response. */
    latencyMs: number;
    sampleCount: number;
    lastSampleAtMs: number;
    consecutiveFailures: number;
    /** Until then the instance gets less, because it refused work. */
    shedUntilMs: number;
    ejectedUntilMs: number;
    ejectionCount: number;
    reportedInFlight: number;
    reportedAtMs: number;
}

/** Instance rows by service and upstream id. */
export class InstanceTable {
    private readonly services = new Map<ServiceName, Map<UpstreamId, InstanceRow>>();

    /** Returns the row of an upstream; a new incarnation starts with a fresh row that keeps the attempts in flight. */
    rowOf(upstream: UpstreamRow): InstanceRow {
        const { service, id, incarnation } = upstream.announcement;
        const rows = this.rowsOf(service);
        const known = rows.get(id);
        if (known !== undefined && known.incarnation === incarnation) {
            return known;
        }
        const row = createRow(id, incarnation);
        row.outstanding = known?.outstanding ?? 0;
        rows.set(id, row);
        return row;
    }

    find(service: ServiceName, id: UpstreamId): InstanceRow | undefined {
        return this.services.get(service)?.get(id);
    }

    /** Rows of a service, by upstream id. */
    rowsOf(service: ServiceName): Map<UpstreamId, InstanceRow> {
        let rows = this.services.get(service);
        if (rows === undefined) {
            rows = new Map();
            this.services.set(service, rows);
        }
        return rows;
    }

    /** Drops rows of upstreams that are gone and have no attempt in flight. */
    prune(isKnown: (service: ServiceName, id: UpstreamId) => boolean): void {
        for (const [service, rows] of this.services) {
            for (const row of rows.values()) {
                if (row.outstanding === 0 && !isKnown(service, row.id)) {
                    rows.delete(row.id);
                }
            }
        }
    }
}

function createRow(id: UpstreamId, incarnation: number): InstanceRow {
    return {
        id,
        incarnation,
        outstanding: 0,
        latencyMs: 0,
        sampleCount: 0,
        lastSampleAtMs: 0,
        consecutiveFailures: 0,
        shedUntilMs: 0,
        ejectedUntilMs: 0,
        ejectionCount: 0,
        reportedInFlight: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
    };
}
