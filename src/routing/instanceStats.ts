import type { UpstreamId } from "../core/ids.js";

/** Why an instance is ejected. */
export const EjectionCause = { slow: "slow", failing: "failing" } as const;

export type EjectionCause = typeof EjectionCause[keyof typeof EjectionCause];

/** Statistics of an upstream instance from attempts and load reports. Times are monotonic milliseconds. */
export interface InstanceStats {
    readonly id: UpstreamId;
    readonly incarnation: number;
    /** Attempts in flight from this entry, or grants of all entries at the owner. */
    outstanding: number;
    /** Smoothed latency in milliseconds, in which a failure counts as a slow response. */
    latencyMs: number;
    sampleCount: number;
    /** Failures since the last successful response. */
    consecutiveFailures: number;
    /** Failures and slow responses since the last response that was neither. */
    consecutiveBadSamples: number;
    consecutiveSheds: number;
    lastShedAtMs: number;
    /** The instance gets no attempts before this time, because it shed load. */
    shedBackoffUntilMs: number;
    /** 0 unless ejected. After this time, one trial attempt is sent, whose outcome readmits or ejects again. */
    ejectedUntilMs: number;
    ejectionCause: EjectionCause;
    /** Recent ejections, each of which doubles the duration of the next. */
    ejectionCount: number;
    readmittedAtMs: number;
    /** Key of the trial attempt in flight. */
    trialKey: string | undefined;
    isProbePending: boolean;
    probedAtMs: number;
    reportedInFlight: number;
    reportedAtMs: number;
    /** Attempts started by this entry since the last load report. */
    sentSinceReport: number;
}

/** Returns the statistics of an instance without samples. */
export function createInstanceStats(id: UpstreamId, incarnation: number): InstanceStats {
    return {
        id,
        incarnation,
        outstanding: 0,
        latencyMs: 0,
        sampleCount: 0,
        consecutiveFailures: 0,
        consecutiveBadSamples: 0,
        consecutiveSheds: 0,
        lastShedAtMs: Number.NEGATIVE_INFINITY,
        shedBackoffUntilMs: 0,
        ejectedUntilMs: 0,
        ejectionCause: EjectionCause.slow,
        ejectionCount: 0,
        readmittedAtMs: 0,
        trialKey: undefined,
        isProbePending: false,
        probedAtMs: Number.NEGATIVE_INFINITY,
        reportedInFlight: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
        sentSinceReport: 0,
    };
}
