import type { StatsD } from "hot-shots";
import type { Exchange } from "./exchange.js";

const latencyMetric = "request.latency_ms";
/** `status` tag of a request whose caller disconnected before the response head was written. */
const callerGone = "caller-gone";

/** Records the latency of an ended request, from the arrival of its head to the end of its response. */
export function measureRequest(exchange: Exchange, metrics: StatsD, nowMs: number): void {
    const { outgoing, service, receivedAtMs } = exchange;
    const status = outgoing.headersSent ? String(outgoing.statusCode) : callerGone;
    metrics.timing(latencyMetric, nowMs - receivedAtMs, { service, status });
}
