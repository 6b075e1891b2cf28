import type { ServiceName } from "../core/ids.js";
import type { LocalRouting } from "./localRouting.js";
import type { ReportParams } from "./slotMessages.js";

const reportIntervalMs = 100;

/** Exchanges load reports of a service between entries, for policies that use them. */
export class SharedReports {
    private sentAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly name: ServiceName, private readonly local: LocalRouting) {}

    /** Returns the reports since the last interval; undefined before this one has elapsed or without new reports. */
    takeNew(nowMs: number): ReportParams | undefined {
        if (nowMs - this.sentAtMs < reportIntervalMs) {
            return undefined;
        }
        const updated = [...this.local.health.statsById.values()].filter(stats => stats.reportedAtMs > this.sentAtMs);
        this.sentAtMs = nowMs;
        const reports = updated.map(stats => ({
            upstreamId: stats.id,
            inFlight: stats.reportedInFlight,
            ageMs: nowMs - stats.reportedAtMs,
        }));
        return reports.length > 0 ? { service: this.name, reports } : undefined;
    }

    receive(params: ReportParams, nowMs: number): void {
        for (const report of params.reports) {
            this.local.recordReport(report.upstreamId, report.inFlight, nowMs - report.ageMs, nowMs);
        }
    }
}
