import { Counter, Histogram, Registry } from "prom-client";
import { registerGauge } from "./gauges.js";

/** Limits of the latency histogram in seconds; from a fast answer to the longest usual deadline. */
const latencyBucketsSeconds = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5, 10];
/** Limits of the histogram of the time until a request is placed, in seconds. */
const placementBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 1];

/** Values that an entry reports when its metrics are read. */
export interface GatewayGauges {
    readonly inFlight: () => number;
    readonly directoryVersion: () => number;
    readonly routesVersion: () => number;
    readonly isConfirmed: () => boolean;
    readonly upstreams: () => number;
    readonly ejectedUpstreams: () => number;
}

/** Metrics of an entry that follows a directory. */
export class GatewayMetrics {
    readonly registry = new Registry();
    /** Finished requests by status and whether an upstream made the answer. */
    readonly requests = this.counter("figwharf_requests_total", "Finished requests", ["status", "source"]);
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
    readonly attempts = this.counter("figwharf_attempts_total", "Attempts at upstreams by how they ended", ["end"]);
    readonly resends = this.counter("figwharf_resends_total", "Requests sent to another upstream", ["service"]);
    readonly resendsDenied = this.counter("figwharf_resends_denied_total", "Resends the budget denied", ["service"]);
    readonly refusals = this.counter("figwharf_refusals_total", "Requests answered without an upstream", ["reason"]);
    readonly callersGone = this.counter("figwharf_callers_gone_total", "Requests whose caller left early", []);
    readonly ejections = this.counter("figwharf_ejections_total", "Upstreams left out after failures", ["service"]);
    readonly loadQuestions = this.counter("figwharf_load_questions_total", "Questions for the load of upstreams", [
        "end",
    ]);
    readonly controlLost = this.counter("figwharf_control_lost_total", "Losses of the control VM in use", []);

    constructor(gauges: GatewayGauges) {
        this.gauge("figwharf_requests_in_flight", "Requests in flight", gauges.inFlight);
        this.gauge("figwharf_directory_version", "Version of the directory that is held", gauges.directoryVersion);
        this.gauge("figwharf_routes_version", "Version of the routes in force", gauges.routesVersion);
        this.gauge(
            "figwharf_directory_confirmed",
            "1 while the directory is confirmed",
            () => gauges.isConfirmed() ? 1 : 0,
        );
        this.gauge("figwharf_upstreams", "Upstreams that are known", gauges.upstreams);
        this.gauge("figwharf_upstreams_ejected", "Upstreams that are left out at the moment", gauges.ejectedUpstreams);
    }

    private counter<Label extends string>(name: string, help: string, labelNames: readonly Label[]): Counter<Label> {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    private gauge(name: string, help: string, read: () => number): void {
        registerGauge(this.registry, name, help, read);
    }
}
