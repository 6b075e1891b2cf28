import type { ServiceName } from "../core/ids.js";

const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const deviationFactor = 4;
const marginFactor = 2;
const minTimeoutMs = 100;
const maxTimeoutMs = 2000;
const initialTimeoutMs = 1000;

interface LatencyEstimate {
    meanMs: number;
    deviationMs: number;
}

/** Smoothed time to the response head by service, from which the silence timeout of attempts is derived. */
export class LatencyEstimates {
    private readonly byService = new Map<ServiceName, LatencyEstimate>();

    add(service: ServiceName, latencyMs: number): void {
        const estimate = this.byService.get(service);
        if (estimate === undefined) {
            this.byService.set(service, { meanMs: latencyMs, deviationMs: latencyMs / 2 });
            return;
        }
        estimate.deviationMs += deviationGain * (Math.abs(latencyMs - estimate.meanMs) - estimate.deviationMs);
        estimate.meanMs += meanGain * (latencyMs - estimate.meanMs);
    }

    /** Returns the milliseconds after which an attempt without a response head counts as silent. */
    silenceTimeoutMs(service: ServiceName): number {
        const estimate = this.byService.get(service);
        if (estimate === undefined) {
            return initialTimeoutMs;
        }
        const timeoutMs = marginFactor * (estimate.meanMs + deviationFactor * estimate.deviationMs);
        return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
    }
}
