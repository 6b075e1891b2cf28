import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { registerGauge } from "./gauges.js";

/** Bucket bounds of the latency histogram in seconds, from a fast response to the longest usual deadline. */
const latencyBucketsSeconds = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5, 10];
/** Bucket bounds of the histogram of the time to the first dispatch, in seconds. */
const placementBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 1];

/** Gauge values of an entry, read at each scrape. */
export interface GatewayGauges {
    readonly inFlight: () => number;
    readonly directoryVersion: () => number;
    readonly routesVersion: () => number;
    readonly routesDigest?: () => number;
    readonly isConfirmed: () => boolean;
    readonly upstreams: () => number;
    readonly ejectedUpstreams: () => number;
    readonly limitedUpstreams: () => number;
    readonly evacuatedZones?: () => number;
    readonly coldUpstreams: () => number;
}

/** Metrics of an entry that watches a directory. */
export class GatewayMetrics {
    readonly registry = new Registry();
    /** Finished requests by status and by whether the response came from an upstream. */
    readonly requests = this.addCounter("figwharf_requests_total", "Finished requests", ["status", "source"]);
    readonly requestSeconds = new Histogram({
        name: "figwharf_request_seconds",
        help: "Time from the head of a request to the end of its answer, in seconds",
        labelNames: ["source"],
        buckets: latencyBucketsSeconds,
        registers: [this.registry],
    });
    readonly placementSeconds = new Histogram({
        name: "figwharf_placement_seconds",
        help: "Time from the head of a request to its first dispatch, in seconds",
        buckets: placementBucketsSeconds,
        registers: [this.registry],
    });
    readonly attempts = this.addCounter("figwharf_attempts_total", "Attempts at upstreams by how they ended", ["end"]);
    readonly retries = this.addCounter("figwharf_resends_total", "Requests sent to another upstream", ["service"]);
    readonly retriesDenied = this.addCounter("figwharf_resends_denied_total", "Resends the budget denied", ["service"]);
    readonly refusals = this.addCounter("figwharf_refusals_total", "Requests answered without an upstream", ["reason"]);
    readonly organisationRequests = this.addCounter(
        "figwharf_organisation_requests_total",
        "Requests with a valid key by organisation and by whether its quota admitted them",
        ["organisation", "outcome"],
    );
    readonly rejectedKeys = this.addCounter("figwharf_rejected_keys_total", "Requests without a valid key", ["reason"]);
    readonly shedRequests = this.addCounter(
        "figwharf_shed_requests_total",
        "Requests refused before their wait ended, while capacity was insufficient",
        ["service", "priority"],
    );
    readonly resetsWhenFull = this.addCounter(
        "figwharf_resets_when_full_total",
        "Connections that upstreams reset or closed while they were nearly full",
        ["service"],
    );
    readonly callerDisconnects = this.addCounter("figwharf_callers_gone_total", "Requests whose caller left early", []);
    readonly suspectedCrashes = this.addCounter(
        "figwharf_suspected_crashes_total",
        "Instances lost while a request of this entry was in flight on them",
        ["service"],
    );
    readonly internalErrors = this.addCounter(
        "figwharf_internal_errors_total",
        "Requests that ended with an exception in the entry",
        [],
    );
    readonly ejections = this.addCounter("figwharf_ejections_total", "Upstreams left out after failures", ["service"]);
    readonly loadProbes = this.addCounter("figwharf_load_questions_total", "Questions for the load of upstreams", [
        "end",
    ]);
    readonly limitedUpstreamMessages = this.addCounter(
        "figwharf_limited_upstream_messages_total",
        "Requests and load probes sent to upstreams with a rate limit",
        ["kind"],
    );
    readonly leavingUpstreams = this.addCounter(
        "figwharf_upstreams_leaving_total",
        "Upstreams whose responses announced that they leave",
        ["service"],
    );
    readonly backOffs = this.addCounter(
        "figwharf_upstream_back_offs_total",
        "Pauses that upstreams asked for when they rejected a message",
        ["service"],
    );
    readonly quotaDecisions = this.addCounter(
        "figwharf_quota_decisions_total",
        "Requests of organisations with a rate, by the decision of the quota",
        ["outcome"],
    );
    readonly relayedRequests = this.addCounter(
        "figwharf_relayed_requests_total",
        "Requests sent to other entries while instances could not be reached",
        ["end"],
    );
    readonly acceptedRelayedRequests = this.addCounter(
        "figwharf_relayed_requests_accepted_total",
        "Requests accepted from entries that cannot reach instances",
        [],
    );
    readonly cutOff = new Gauge({
        name: "figwharf_cut_off",
        help: "1 while instances cannot be reached or no new connections to them can be opened",
        registers: [this.registry],
    });
    readonly controlVmLosses = this.addCounter("figwharf_control_lost_total", "Losses of the control VM in use", []);

    constructor(gauges: GatewayGauges) {
        this.addGauge("figwharf_requests_in_flight", "Requests in flight", gauges.inFlight);
        this.addGauge("figwharf_directory_version", "Version of the directory that is held", gauges.directoryVersion);
        this.addGauge("figwharf_routes_version", "Version of the routes in force", gauges.routesVersion);
        this.addGauge(
            "figwharf_routes_digest",
            "Digest of the routes in force; the same where the routes are",
            gauges.routesDigest ?? (() => 0),
        );
        this.addGauge(
            "figwharf_directory_confirmed",
            "1 while the directory is confirmed",
            () => gauges.isConfirmed() ? 1 : 0,
        );
        this.addGauge("figwharf_upstreams", "Upstreams that are known", gauges.upstreams);
        this.addGauge(
            "figwharf_upstreams_ejected",
            "Upstreams that are left out at the moment",
            gauges.ejectedUpstreams,
        );
        this.addGauge("figwharf_upstreams_limited", "Upstreams with a rate limit", gauges.limitedUpstreams);
        this.addGauge(
            "figwharf_zones_evacuated",
            "Availability zones that are evacuated",
            gauges.evacuatedZones ?? (() => 0),
        );
        this.addGauge("figwharf_upstreams_cold", "Upstreams whose rate is limited by a warmup", gauges.coldUpstreams);
    }

    private addCounter<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    private addGauge(name: string, help: string, readValue: () => number): void {
        registerGauge(this.registry, name, help, readValue);
    }
}
