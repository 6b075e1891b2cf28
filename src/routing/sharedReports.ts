import type { ServiceName } from "../core/ids.js";
import type { ServiceRoute } from "./serviceRoute.js";
import type { ReportParams } from "./slotMessages.js";

const reportIntervalMs = 100;

/** Load reports of a service that entries pass to each other, for policies that read them. */
export class SharedReports {
    private sentAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly name: ServiceName, private readonly local: ServiceRoute) {}

    /** Returns the reports that are newer than the last call's; undefined when it is not time or there are none. */
    takeNew(nowMs: number): ReportParams | undefined {
        if (nowMs - this.sentAtMs < reportIntervalMs) {
            return undefined;
        }
        const fresh = [...this.local.health.rows.values()].filter(row => row.reportedAtMs > this.sentAtMs);
        this.sentAtMs = nowMs;
        const reports = fresh.map(row => ({
            upstreamId: row.id,
            inFlight: row.reportedInFlight,
            ageMs: nowMs - row.reportedAtMs,
        }));
        return reports.length > 0 ? { service: this.name, reports } : undefined;
    }

    receive(params: ReportParams, nowMs: number): void {
        for (const report of params.reports) {
            this.local.recordReport(report.upstreamId, report.inFlight, nowMs - report.ageMs, nowMs);
        }
    }
}
