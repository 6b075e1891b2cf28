import type { Catalogue, Service } from "../catalogue/model.js";
import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";
import type { EntryEffect } from "../entry/messages.js";
import type { UpstreamRow } from "../membership/view.js";
import type { InstanceHealth } from "../routing/instanceHealth.js";
import { ProbeBudget, ProbeShare, probeTimeLifetimeMs } from "./probeBudget.js";
import { Prober } from "./prober.js";

/** Counter of the configured cost of the probes sent, in upstream milliseconds, tagged with the service. */
export const spentProbeTimeMetric = "measuring.spent_ms";

/** State and functions that `ServiceMeasuring` gets from its entry. */
export interface ServiceMeasuringContext {
    readonly selfId: EntryId;
    readonly catalogue: () => Catalogue;
    readonly listEligible: (service: ServiceName, nowMs: number) => readonly UpstreamRow[];
    readonly emit: (effect: EntryEffect) => void;
}

/**
 * Accrues an entry's share of a service's measuring budget. At the entry that owns the service, it spends the shares of
 * all entries on probes. Amounts are in upstream milliseconds: time of the upstreams, estimated by `probeCostMs`.
 */
export class ServiceMeasuring {
    private readonly budget = new ProbeBudget();
    private readonly share: ProbeShare;
    private prober: Prober | undefined;
    private probedHealth: InstanceHealth | undefined;

    constructor(
        private readonly name: ServiceName,
        private readonly context: ServiceMeasuringContext,
        startedAtMs: number,
    ) {
        this.share = new ProbeShare(startedAtMs);
    }

    /** Returns this entry's spending on probes in upstream milliseconds per second, averaged over the last 10 s. */
    spentMsPerSecond(nowMs: number): number {
        return this.budget.spentMsPerSecond(nowMs);
    }

    /** Removes and returns the probe time to transfer to the owner, in upstream milliseconds. */
    takeShare(service: Service, activeEntryIds: readonly EntryId[], nowMs: number): number {
        // Entries of the catalogue count even if they are not live: an unreachable entry also accrues its share.
        const ids = new Set([
            ...Object.keys(this.context.catalogue().entryVms),
            ...activeEntryIds,
            this.context.selfId,
        ]);
        this.share.accrue(service, ids.size, nowMs);
        return this.share.take();
    }

    /** Adds probe time from an entry that considers this one the owner. */
    addProbeTime(service: Service, probeMs: number, nowMs: number): void {
        this.budget.add(probeMs, probeTimeLifetimeMs(service), nowMs);
    }

    /** Records the result of a probe. */
    recordProbeResult(upstreamId: UpstreamId, isSuccess: boolean, nowMs: number): void {
        this.probedHealth?.recordProbe(upstreamId, isSuccess, nowMs);
    }

    /** Emits the due probes, and their cost as a metric. Called at the owner only. */
    probe(service: Service, health: InstanceHealth, usesSharedReports: boolean, nowMs: number): void {
        if (this.prober === undefined || this.probedHealth !== health) {
            this.prober = new Prober(health, this.budget);
            this.probedHealth = health;
        }
        const upstreams = this.context.listEligible(this.name, nowMs);
        for (const { announcement } of this.prober.choose(service, upstreams, usesSharedReports, nowMs)) {
            const { id, address } = announcement;
            this.context.emit({ kind: "probe", service: this.name, upstreamId: id, address });
            const tags = { service: this.name };
            this.context.emit({ kind: "count", metric: spentProbeTimeMetric, value: service.probeCostMs, tags });
        }
    }
}
