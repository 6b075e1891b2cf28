import type { StatsD } from "hot-shots";
import type { Exchange } from "./exchange.js";

const latencyMetric = "request.latency_ms";
/** Status of a request whose caller left before the response head. */
const callerGone = "caller-gone";

/** Sends the latency of a request that has ended, from its head to the end of its response. */
export function measureRequest(exchange: Exchange, metrics: StatsD, nowMs: number): void {
    const { outgoing, service, receivedAtMs } = exchange;
    const status = outgoing.headersSent ? String(outgoing.statusCode) : callerGone;
    metrics.timing(latencyMetric, nowMs - receivedAtMs, { service, status });
}
