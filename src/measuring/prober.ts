import type { Service } from "../catalogue/model.js";
import type { UpstreamRow } from "../membership/view.js";
import type { InstanceHealth } from "../routing/instanceHealth.js";
import { EjectionCause, type InstanceStats } from "../routing/instanceRow.js";
import type { ProbeBudget } from "./probeBudget.js";

const probeTimeoutMs = 1000;
const unsampledProbeDelayMs = 1000;
const maxReportAgeMs = 50;

/** Selects the instances of a service to probe. Used at the service's owner only. */
export class Prober {
    /** When each upstream was first found without samples. */
    private readonly unsampledSinceMs = new Map<string, number>();

    constructor(private readonly health: InstanceHealth, private readonly budget: ProbeBudget) {}

    /** Returns the upstreams to probe now and spends the cost from the budget. */
    choose(service: Service, upstreams: readonly UpstreamRow[], usesReports: boolean, nowMs: number): UpstreamRow[] {
        const due = upstreams.filter(upstream => this.isDue(upstream, usesReports, nowMs));
        if (usesReports) {
            due.sort((a, b) => this.health.getInstance(a).reportedAtMs - this.health.getInstance(b).reportedAtMs);
        }
        const chosen: UpstreamRow[] = [];
        for (const upstream of due) {
            if (!this.budget.trySpend(service.probeCostMs, nowMs)) {
                break;
            }
            this.markProbePending(this.health.getInstance(upstream), nowMs);
            chosen.push(upstream);
        }
        return chosen;
    }

    /** A probe can change a decision only for an ejected or unsampled instance, or a policy that uses load reports. */
    private isDue(upstream: UpstreamRow, usesReports: boolean, nowMs: number): boolean {
        const instance = this.health.getInstance(upstream);
        if (instance.isProbePending && nowMs - instance.probedAtMs < probeTimeoutMs) {
            return false;
        }
        if (instance.ejectedUntilMs > 0) {
            // For a slow instance, a trial request detects recovery sooner and at no probe cost.
            const isFailing = instance.ejectionCause === EjectionCause.failing;
            return isFailing && nowMs >= instance.ejectedUntilMs && instance.trialKey === undefined;
        }
        return usesReports ? nowMs - instance.reportedAtMs > maxReportAgeMs : this.isLongUnsampled(instance, nowMs);
    }

    private isLongUnsampled(instance: InstanceStats, nowMs: number): boolean {
        if (instance.sampleCount > 0 || instance.outstanding > 0 || instance.probedAtMs > Number.NEGATIVE_INFINITY) {
            this.unsampledSinceMs.delete(instance.id);
            return false;
        }
        const sinceMs = this.unsampledSinceMs.get(instance.id) ?? nowMs;
        this.unsampledSinceMs.set(instance.id, sinceMs);
        return nowMs - sinceMs >= unsampledProbeDelayMs;
    }

    private markProbePending(instance: InstanceStats, nowMs: number): void {
        instance.isProbePending = true;
        instance.probedAtMs = nowMs;
        if (instance.ejectedUntilMs > 0) {
            instance.ejectedUntilMs = nowMs + probeTimeoutMs;
        }
    }
}
