import type { Service } from "../catalogue/model.js";
import type { UpstreamRow } from "../membership/view.js";
import type { InstanceHealth } from "../routing/instanceHealth.js";
import { EjectionCause, type InstanceStats } from "../routing/instanceStats.js";
import type { ProbeBudget } from "./probeBudget.js";

const probeTimeoutMs = 1000;
/** An instance without samples or attempts is probed after this time. */
const unsampledProbeDelayMs = 1000;
/** A load report older than this is refreshed by a probe. */
const maxReportAgeMs = 50;

/** Selects the instances of a service to probe, at the entry that owns the service. */
export class Prober {
    /** When each upstream was first found without samples. */
    private readonly unsampledSinceMs = new Map<string, number>();

    constructor(private readonly health: InstanceHealth, private readonly budget: ProbeBudget) {}

    /** Returns the upstreams to probe now, within the budget, and spends their cost from it. */
    choose(
        service: Service,
        upstreams: readonly UpstreamRow[],
        usesSharedReports: boolean,
        nowMs: number,
    ): UpstreamRow[] {
        const due = upstreams.filter(upstream => this.isDue(upstream, usesSharedReports, nowMs));
        if (usesSharedReports) {
            due.sort((a, b) => this.health.getStats(a).reportedAtMs - this.health.getStats(b).reportedAtMs);
        }
        const chosen: UpstreamRow[] = [];
        for (const upstream of due) {
            if (!this.budget.trySpend(service.probeCostMs, nowMs)) {
                break;
            }
            this.markProbePending(this.health.getStats(upstream), nowMs);
            chosen.push(upstream);
        }
        return chosen;
    }

    /** A probe can change a decision only if the instance is ejected or unsampled, or the policy uses load reports. */
    private isDue(upstream: UpstreamRow, usesSharedReports: boolean, nowMs: number): boolean {
        const stats = this.health.getStats(upstream);
        if (stats.isProbePending && nowMs - stats.probedAtMs < probeTimeoutMs) {
            return false;
        }
        if (stats.ejectedUntilMs > 0) {
            // For a slow instance, a trial request detects recovery sooner and at no probe cost.
            const isFailing = stats.ejectionCause === EjectionCause.failing;
            return isFailing && nowMs >= stats.ejectedUntilMs && stats.trialKey === undefined;
        }
        return usesSharedReports ? nowMs - stats.reportedAtMs > maxReportAgeMs : this.isLongUnsampled(stats, nowMs);
    }

    private isLongUnsampled(stats: InstanceStats, nowMs: number): boolean {
        if (stats.sampleCount > 0 || stats.outstanding > 0 || stats.probedAtMs > Number.NEGATIVE_INFINITY) {
            this.unsampledSinceMs.delete(stats.id);
            return false;
        }
        const sinceMs = this.unsampledSinceMs.get(stats.id) ?? nowMs;
        this.unsampledSinceMs.set(stats.id, sinceMs);
        return nowMs - sinceMs >= unsampledProbeDelayMs;
    }

    private markProbePending(stats: InstanceStats, nowMs: number): void {
        stats.isProbePending = true;
        stats.probedAtMs = nowMs;
        if (stats.ejectedUntilMs > 0) {
            // No trial starts until the probe succeeds or times out.
            stats.ejectedUntilMs = nowMs + probeTimeoutMs;
        }
    }
}
