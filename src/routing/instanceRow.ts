import type { UpstreamId } from "../core/ids.js";

/** Why an instance is ejected. */
export const EjectionCause = { slow: "slow", failing: "failing" } as const;

export type EjectionCause = typeof EjectionCause[keyof typeof EjectionCause];

/** What an entry knows of an upstream instance from attempts and load reports. Times are monotonic milliseconds. */
export interface InstanceRow {
    readonly id: UpstreamId;
    readonly incarnation: number;
    /** Attempts in flight, or grants at the owner. */
    outstanding: number;
    /** Smoothed latency in milliseconds; a failure enters as a slow response. */
    latencyMs: number;
    sampleCount: number;
    /** Failures since the last good response. */
    failureRun: number;
    /** Failures and slow responses since the last good response. */
    badRun: number;
    shedCount: number;
    shedAtMs: number;
    /** Until then the instance gets no work, because it refused some. */
    shedUntilMs: number;
    /** 0 when the instance is not ejected; when this time has passed, one trial attempt decides. */
    ejectedUntilMs: number;
    ejectionCause: EjectionCause;
    ejectionCount: number;
    readmittedAtMs: number;
    /** The trial attempt in flight. */
    trialKey: string | undefined;
    isProbed: boolean;
    probedAtMs: number;
    reportedInFlight: number;
    reportedAtMs: number;
    /** Attempts sent from here since the load report. */
    sentSinceReport: number;
}

/** Returns the row of an instance of which nothing is known. */
export function createInstanceRow(id: UpstreamId, incarnation: number): InstanceRow {
    return {
        id,
        incarnation,
        outstanding: 0,
        latencyMs: 0,
        sampleCount: 0,
        failureRun: 0,
        badRun: 0,
        shedCount: 0,
        shedAtMs: Number.NEGATIVE_INFINITY,
        shedUntilMs: 0,
        ejectedUntilMs: 0,
        ejectionCause: EjectionCause.slow,
        ejectionCount: 0,
        readmittedAtMs: 0,
        trialKey: undefined,
        isProbed: false,
        probedAtMs: Number.NEGATIVE_INFINITY,
        reportedInFlight: 0,
        reportedAtMs: Number.NEGATIVE_INFINITY,
        sentSinceReport: 0,
    };
}
