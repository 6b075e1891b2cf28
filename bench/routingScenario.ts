import { SeededRandom } from "../src/core/random.js";

/** One request of a reproducible load. */
export interface Arrival {
    readonly atMs: number;
    /** Service time at an instance that is not slow. */
    readonly workMs: number;
}

/** Slow and failing instances over time. */
export interface Faults {
    /** Factor on the service time of a request that starts now. */
    slowdown(instance: number, atMs: number): number;
    isFailing(instance: number, atMs: number): boolean;
}

/** Size of a service: number of instances, and slots of each. */
export interface Fleet {
    readonly instances: number;
    readonly slots: number;
}

/** Mean service time of a request at an instance that is not slow. */
export const meanWorkMs = 5;

/**
 * Returns Poisson arrivals at a fraction of the fleet's slot capacity. Half of the mean service time is fixed; the
 * other half is the mean of an exponential distribution, as in the simulated upstreams.
 */
export function makeArrivals(
    fleet: Fleet,
    load: number,
    durationMs: number,
    seed: number,
    workMs = meanWorkMs,
): Arrival[] {
    const random = new SeededRandom(seed);
    const meanGapMs = workMs / (fleet.instances * fleet.slots * load);
    const exponential = (meanMs: number) => -meanMs * Math.log(1 - random.nextUnit());
    const arrivals: Arrival[] = [];
    for (let atMs = exponential(meanGapMs); atMs < durationMs; atMs += exponential(meanGapMs)) {
        arrivals.push({ atMs, workMs: workMs / 2 + exponential(workMs / 2) });
    }
    return arrivals;
}

/** No instance is slow or failing. */
export const noFaults: Faults = { slowdown: () => 1, isFailing: () => false };

/** Instances that are slow at the same time; each period has another random set. */
export interface Slowness {
    readonly factor: number;
    readonly periodMs: number;
    readonly instances: number;
}

/** Draws the slow instances of each period. */
export function drawSlowInstances(fleet: Fleet, slowness: Slowness, periods: number, seed: number): number[][] {
    const random = new SeededRandom(seed);
    return Array.from({ length: periods }, () => {
        const chosen = new Set<number>();
        while (chosen.size < slowness.instances) {
            chosen.add(random.nextInt(fleet.instances));
        }
        return [...chosen];
    });
}

/** Returns faults from the slow instances of each period; the last period never ends. */
export function makeSlownessFaults(slowByPeriod: readonly number[][], slowness: Slowness): Faults {
    const slowAt = (atMs: number) =>
        slowByPeriod[Math.min(slowByPeriod.length - 1, Math.floor(atMs / slowness.periodMs))];
    return {
        slowdown: (instance, atMs) => slowAt(atMs).includes(instance) ? slowness.factor : 1,
        isFailing: () => false,
    };
}

/** Returns faults where one instance fails every request immediately from `fromMs` on. */
export function makeFastFailure(instance: number, fromMs: number): Faults {
    return {
        slowdown: () => 1,
        isFailing: (index, atMs) => index === instance && atMs >= fromMs,
    };
}

/**
 * Returns the latencies of a central queue that knows the speed of each instance: each request, in order of arrival,
 * gets the slot that completes it first. This is the bound that policies are compared with.
 */
export function simulatePerfectKnowledge(fleet: Fleet, arrivals: readonly Arrival[], faults: Faults): number[] {
    const freeAtMs = Array.from({ length: fleet.instances * fleet.slots }, () => 0);
    const instanceOf = (slot: number) => Math.floor(slot / fleet.slots);
    return arrivals.map(({ atMs, workMs }) => {
        let best = { endMs: Number.POSITIVE_INFINITY, slot: 0 };
        for (let slot = 0; slot < freeAtMs.length; slot++) {
            const startMs = Math.max(atMs, freeAtMs[slot]);
            const endMs = startMs + workMs * faults.slowdown(instanceOf(slot), startMs);
            if (endMs < best.endMs && !faults.isFailing(instanceOf(slot), startMs)) {
                best = { endMs, slot };
            }
        }
        freeAtMs[best.slot] = best.endMs;
        return best.endMs - atMs;
    });
}

/** Returns the latency at a quantile in [0, 1]; 0 without samples. */
export function quantileOf(latenciesMs: readonly number[], quantile: number): number {
    const sorted = Float64Array.from(latenciesMs).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}
