import type { ServiceName } from "../core/ids.js";

const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const deviationFactor = 4;
const marginFactor = 2;
const minTimeoutMs = 100;
const maxTimeoutMs = 2000;
const initialTimeoutMs = 1000;

interface LatencyRow {
    meanMs: number;
    deviationMs: number;
}

/** Time to the response head by service; gives the time after which an attempt counts as silent. */
export class LatencyEstimates {
    private readonly rows = new Map<ServiceName, LatencyRow>();

    add(service: ServiceName, latencyMs: number): void {
        const row = this.rows.get(service);
        if (row === undefined) {
            this.rows.set(service, { meanMs: latencyMs, deviationMs: latencyMs / 2 });
            return;
        }
        row.deviationMs += deviationGain * (Math.abs(latencyMs - row.meanMs) - row.deviationMs);
        row.meanMs += meanGain * (latencyMs - row.meanMs);
    }

    /** Milliseconds after which an attempt without a response head counts as silent. */
    silenceTimeoutMs(service: ServiceName): number {
        const row = this.rows.get(service);
        if (row === undefined) {
            return initialTimeoutMs;
        }
        const timeoutMs = marginFactor * (row.meanMs + deviationFactor * row.deviationMs);
        return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
    }
}
