import type { Service } from "../catalogue/model.js";
import type { UpstreamRow } from "../membership/view.js";
import type { InstanceHealth } from "../routing/instanceHealth.js";
import { EjectionCause, type InstanceRow } from "../routing/instanceRow.js";
import type { ProbeBudget } from "./probeBudget.js";

const probeTimeoutMs = 1000;
const unknownAfterMs = 1000;
const staleReportMs = 50;

/** Chooses the instances of a service that are worth a probe. Runs at the service's owner. */
export class Prober {
    /** When each upstream was first seen without a sample. */
    private readonly unknownSinceMs = new Map<string, number>();

    constructor(private readonly health: InstanceHealth, private readonly budget: ProbeBudget) {}

    /** Returns the upstreams to probe now and takes the cost from the budget. */
    choose(service: Service, upstreams: readonly UpstreamRow[], usesReports: boolean, nowMs: number): UpstreamRow[] {
        const due = upstreams.filter(upstream => this.isDue(upstream, usesReports, nowMs));
        if (usesReports) {
            due.sort((a, b) => this.health.rowOf(a).reportedAtMs - this.health.rowOf(b).reportedAtMs);
        }
        const chosen: UpstreamRow[] = [];
        for (const upstream of due) {
            if (!this.budget.trySpend(service.probeCostMs, nowMs)) {
                break;
            }
            this.markProbed(this.health.rowOf(upstream), nowMs);
            chosen.push(upstream);
        }
        return chosen;
    }

    /** A probe can change a decision only for an ejected instance, an unknown one, or a policy that reads reports. */
    private isDue(upstream: UpstreamRow, usesReports: boolean, nowMs: number): boolean {
        const row = this.health.rowOf(upstream);
        if (row.isProbed && nowMs - row.probedAtMs < probeTimeoutMs) {
            return false;
        }
        if (row.ejectedUntilMs > 0) {
            // A trial request finds out sooner and for free whether a slow instance has recovered.
            const isFailing = row.ejectionCause === EjectionCause.failing;
            return isFailing && nowMs >= row.ejectedUntilMs && row.trialKey === undefined;
        }
        return usesReports ? nowMs - row.reportedAtMs > staleReportMs : this.isUnknown(row, nowMs);
    }

    private isUnknown(row: InstanceRow, nowMs: number): boolean {
        if (row.sampleCount > 0 || row.outstanding > 0 || row.probedAtMs > Number.NEGATIVE_INFINITY) {
            this.unknownSinceMs.delete(row.id);
            return false;
        }
        const sinceMs = this.unknownSinceMs.get(row.id) ?? nowMs;
        this.unknownSinceMs.set(row.id, sinceMs);
        return nowMs - sinceMs >= unknownAfterMs;
    }

    private markProbed(row: InstanceRow, nowMs: number): void {
        row.isProbed = true;
        row.probedAtMs = nowMs;
        if (row.ejectedUntilMs > 0) {
            row.ejectedUntilMs = nowMs + probeTimeoutMs;
        }
    }
}
