import { Counter, Registry } from "prom-client";
import { registerGauge } from "./gauges.js";

/** Gauge values of a control VM, read at each scrape. */
export interface DirectoryGauges {
    readonly isLeader: () => boolean;
    readonly isLed: () => boolean;
    readonly version: () => number;
    readonly routesVersion: () => number;
    readonly routesDigest?: () => number;
    readonly voters: () => number;
    readonly learners: () => number;
    readonly registrations: () => number;
    readonly attachedEntries: () => number;
    readonly totalEntries: () => number;
    readonly limitedInstances: () => number;
    readonly evacuatedZones?: () => number;
    readonly limitedOrganisations: () => number;
    readonly coldInstances: () => number;
    /** Bytes that wait to be sent to all peers of this VM. */
    readonly queuedBytes?: () => number;
    /** Those of the peer with the most. */
    readonly maxQueuedBytes?: () => number;
}

/** Metrics of a control VM that serves the directory. */
export class DirectoryMetrics {
    readonly registry = new Registry();
    readonly changes = new Counter({
        name: "figwharf_route_changes_total",
        help: "Changes of the routes that were answered here, by outcome",
        labelNames: ["outcome"] as const,
        registers: [this.registry],
    });
    readonly reads = new Counter({
        name: "figwharf_route_reads_total",
        help: "Reads of the routes, by whether they could be confirmed",
        labelNames: ["confirmed"] as const,
        registers: [this.registry],
    });
    readonly reports = new Counter({
        name: "figwharf_reports_total",
        help: "Messages of instances, by what came of them",
        labelNames: ["end"] as const,
        registers: [this.registry],
    });

    readonly routeAnswers = new Counter({
        name: "figwharf_route_answers_total",
        help: "Answers to entries that carry routes, by whether they carry the whole table or an update",
        labelNames: ["form"] as const,
        registers: [this.registry],
    });
    readonly unreadConnections = new Counter({
        name: "figwharf_unread_connections_total",
        help: "Connections of peers that closed before they had read everything",
        registers: [this.registry],
    });

    constructor(gauges: DirectoryGauges) {
        this.addGauge("figwharf_control_is_leader", "1 while this VM leads", () => gauges.isLeader() ? 1 : 0);
        this.addGauge("figwharf_control_is_led", "1 while this VM hears the leader", () => gauges.isLed() ? 1 : 0);
        this.addGauge("figwharf_directory_version", "Version of the directory that is applied", gauges.version);
        this.addGauge("figwharf_routes_version", "Version of the routes that is applied", gauges.routesVersion);
        this.addGauge(
            "figwharf_routes_digest",
            "Digest of the routes that is applied; the same where the routes are",
            gauges.routesDigest ?? (() => 0),
        );
        this.addGauge("figwharf_control_voters", "Control VMs that vote", gauges.voters);
        this.addGauge("figwharf_control_learners", "Control VMs that only receive the log", gauges.learners);
        this.addGauge("figwharf_registrations", "Instances that are registered", gauges.registrations);
        this.addGauge(
            "figwharf_entries_attached",
            "Entries that follow the directory through this VM",
            gauges.attachedEntries,
        );
        this.addGauge(
            "figwharf_entries",
            "Entries that follow the directory; NaN while not known",
            gauges.totalEntries,
        );
        this.addGauge(
            "figwharf_limited_instances",
            "Instances that name a rate limit, as this VM knows them",
            gauges.limitedInstances,
        );
        this.addGauge(
            "figwharf_zones_evacuated",
            "Availability zones that are evacuated",
            gauges.evacuatedZones ?? (() => 0),
        );
        this.addGauge(
            "figwharf_quota_limited_organisations",
            "Organisations that are at their quota; 0 at control VMs that do not lead",
            gauges.limitedOrganisations,
        );
        this.addGauge(
            "figwharf_cold_instances",
            "Instances whose rate is limited by a warmup, as this VM knows them",
            gauges.coldInstances,
        );
        this.addGauge(
            "figwharf_channel_queued_bytes",
            "Bytes that wait to be sent to other processes",
            gauges.queuedBytes ?? (() => 0),
        );
        this.addGauge(
            "figwharf_channel_queued_max_bytes",
            "Bytes that wait to be sent to the process for which most wait",
            gauges.maxQueuedBytes ?? (() => 0),
        );
    }

    private addGauge(name: string, help: string, readValue: () => number): void {
        registerGauge(this.registry, name, help, readValue);
    }
}
