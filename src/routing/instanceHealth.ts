import type { UpstreamId } from "../core/ids.js";
import type { UpstreamRow } from "../membership/view.js";
import { createInstanceStats, EjectionCause, type InstanceStats } from "./instanceStats.js";

const latencySmoothing = 0.3;
/** An instance is ejected only if its smoothed latency exceeds this multiple of the median. */
const ejectionMedianRatio = 2.5;
/** An attempt that takes longer than this multiple of the median is a bad sample, and overdue while it is in flight. */
const badSampleMedianRatio = 3;
/** Cap of a latency sample, as a multiple of the median. */
const sampleCapMedianRatio = 10;
/** Consecutive bad samples before an instance can be ejected. */
const badSamplesToEject = 2;
const medianCacheMs = 20;
/** First ejection of a slow instance, in median latencies: long enough for most of its attempts in flight to end. */
const firstSlowEjectionMedians = 8;
const maxSlowEjectionMs = 5000;
const baseFailureEjectionMs = 200;
const maxFailureEjectionMs = 30_000;
const baseShedBackoffMs = 5;
const maxShedBackoffMs = 1000;
/** The ejection count, which sets the backoff, is reduced by one for each such period since the readmission. */
const ejectionCountDecayMs = 1000;
/** Largest share of a service's instances that can be ejected at once; when all fail, the others share the traffic. */
const maxEjectedShare = 0.5;

/** Outcome of an attempt, as a sample of its instance's health. */
export const SampleKind = {
    ok: "ok",
    failed: "failed",
    /** The instance refused the request before running it. */
    shed: "shed",
    /** This entry cancelled the attempt; ignored, because the latency is only a lower bound. */
    cancelled: "cancelled",
    /** The attempt was never sent; ignored. */
    unused: "unused",
} as const;

export type SampleKind = typeof SampleKind[keyof typeof SampleKind];

interface InFlightAttempt {
    readonly stats: InstanceStats;
    readonly startedAtMs: number;
    readonly isTrial: boolean;
    isOverdue: boolean;
}

/**
 * Latency estimates and outlier ejection for the instances of one service.
 * An attempt counts as slow as soon as it takes longer than a multiple of the median; otherwise a slow instance would
 * keep its share of the traffic until its slow attempts end.
 */
export class InstanceHealth {
    readonly statsById = new Map<UpstreamId, InstanceStats>();
    private readonly attemptsInFlight = new Map<string, InFlightAttempt>();
    /** Attempts in flight that are not overdue, oldest first. */
    private readonly onTime = new Map<string, InFlightAttempt>();
    private cachedMedianMs = 0;
    private medianAtMs = Number.NEGATIVE_INFINITY;

    /** Returns an instance's statistics; new ones for a new incarnation, because the old one's attempts are lost. */
    getStats(upstream: UpstreamRow): InstanceStats {
        const { id, incarnation } = upstream.announcement;
        const known = this.statsById.get(id);
        if (known !== undefined && known.incarnation === incarnation) {
            return known;
        }
        const stats = createInstanceStats(id, incarnation);
        this.statsById.set(id, stats);
        return stats;
    }

    /** Records the start of the attempt `key`; the first one on an ejected instance is its trial. */
    start(key: string, stats: InstanceStats, nowMs: number): void {
        const isTrial = stats.ejectedUntilMs > 0 && stats.trialKey === undefined;
        if (isTrial) {
            stats.trialKey = key;
        }
        const attempt = { stats, startedAtMs: nowMs, isTrial, isOverdue: false };
        stats.outstanding++;
        this.attemptsInFlight.set(key, attempt);
        this.onTime.set(key, attempt);
    }

    /** Records the end of an attempt. A failure counts with a latency of at least `failureMs`. */
    finish(key: string, kind: SampleKind, latencyMs: number, failureMs: number, nowMs: number): void {
        const attempt = this.attemptsInFlight.get(key);
        if (attempt === undefined) {
            return;
        }
        this.attemptsInFlight.delete(key);
        this.onTime.delete(key);
        attempt.stats.outstanding--;
        this.recordOutcome(attempt, kind, latencyMs, failureMs, nowMs);
        if (attempt.stats.trialKey === key) {
            attempt.stats.trialKey = undefined;
        }
    }

    /** Records a slow sample for each attempt in flight that became overdue. */
    checkOverdue(nowMs: number): void {
        const limitMs = this.medianMs(nowMs) * badSampleMedianRatio;
        if (limitMs === 0) {
            return;
        }
        for (const [key, attempt] of this.onTime) {
            if (nowMs - attempt.startedAtMs < limitMs) {
                return;
            }
            this.onTime.delete(key);
            attempt.isOverdue = true;
            this.addSample(attempt, nowMs - attempt.startedAtMs, nowMs);
        }
    }

    /** Whether the instance accepts attempts now: not in shed backoff and not ejected, or due for its trial attempt. */
    isAvailable(stats: InstanceStats, nowMs: number): boolean {
        if (stats.ejectedUntilMs === 0) {
            return nowMs >= stats.shedBackoffUntilMs;
        }
        return nowMs >= stats.ejectedUntilMs && stats.trialKey === undefined;
    }

    /** Median of the instances' latency estimates in milliseconds; 0 without samples. */
    medianMs(nowMs: number): number {
        if (nowMs - this.medianAtMs >= medianCacheMs) {
            const latenciesMs = [...this.statsById.values()].filter(stats => stats.sampleCount > 0).map(stats =>
                stats.latencyMs
            );
            latenciesMs.sort((a, b) => a - b);
            this.cachedMedianMs = latenciesMs[Math.floor(latenciesMs.length / 2)] ?? 0;
            this.medianAtMs = nowMs;
        }
        return this.cachedMedianMs;
    }

    /** Records a probe result. For an ejected instance, success makes its trial due and failure ejects it again. */
    recordProbe(id: UpstreamId, isSuccess: boolean, nowMs: number): void {
        const stats = this.statsById.get(id);
        if (stats === undefined) {
            return;
        }
        stats.isProbePending = false;
        stats.probedAtMs = nowMs;
        if (stats.ejectedUntilMs > 0 && isSuccess) {
            stats.ejectedUntilMs = nowMs;
        }
        else if (stats.ejectedUntilMs > 0) {
            this.eject(stats, EjectionCause.failing, nowMs);
        }
    }

    /** Removes the statistics of instances that are no longer known and have no attempts in flight. */
    prune(isKnown: (id: UpstreamId) => boolean): void {
        for (const stats of this.statsById.values()) {
            if (stats.outstanding === 0 && !isKnown(stats.id)) {
                this.statsById.delete(stats.id);
            }
        }
    }

    private recordOutcome(
        attempt: InFlightAttempt,
        kind: SampleKind,
        latencyMs: number,
        failureMs: number,
        nowMs: number,
    ): void {
        const { stats } = attempt;
        if (kind === SampleKind.shed) {
            stats.consecutiveSheds++;
            stats.lastShedAtMs = nowMs;
            stats.shedBackoffUntilMs = nowMs +
                Math.min(maxShedBackoffMs, baseShedBackoffMs * 2 ** stats.consecutiveSheds);
            return;
        }
        if (kind === SampleKind.unused || kind === SampleKind.cancelled) {
            return;
        }
        stats.consecutiveSheds = 0;
        if (kind === SampleKind.failed) {
            stats.consecutiveFailures++;
            this.addSample(attempt, Math.max(latencyMs, failureMs), nowMs);
            return;
        }
        stats.consecutiveFailures = 0;
        if (!attempt.isOverdue) {
            this.addSample(attempt, latencyMs, nowMs);
        }
    }

    private addSample(attempt: InFlightAttempt, latencyMs: number, nowMs: number): void {
        const { stats } = attempt;
        const medianMs = this.medianMs(nowMs);
        // Without the cap, one failure with a deadline of seconds would outweigh many successful responses.
        const sampleMs = medianMs > 0 ? Math.min(latencyMs, medianMs * sampleCapMedianRatio) : latencyMs;
        const priorMs = stats.sampleCount > 0 ? stats.latencyMs : medianMs || sampleMs;
        stats.latencyMs = priorMs + latencySmoothing * (sampleMs - priorMs);
        stats.sampleCount++;
        const isBad = stats.consecutiveFailures > 0 || medianMs > 0 && latencyMs > medianMs * badSampleMedianRatio;
        stats.consecutiveBadSamples = isBad ? stats.consecutiveBadSamples + 1 : 0;
        this.updateEjection(attempt, isBad, medianMs, nowMs);
    }

    private updateEjection(attempt: InFlightAttempt, isBad: boolean, medianMs: number, nowMs: number): void {
        const { stats } = attempt;
        const cause = stats.consecutiveFailures > 0 ? EjectionCause.failing : EjectionCause.slow;
        if (stats.ejectedUntilMs > 0) {
            if (attempt.isTrial && isBad) {
                this.eject(stats, cause, nowMs);
            }
            else if (attempt.isTrial) {
                this.readmit(stats, medianMs, nowMs);
            }
        }
        else if (
            stats.consecutiveBadSamples >= badSamplesToEject && stats.latencyMs > medianMs * ejectionMedianRatio &&
            this.isEjectionAllowed()
        ) {
            this.eject(stats, cause, nowMs);
        }
    }

    private isEjectionAllowed(): boolean {
        let ejectedCount = 0;
        for (const stats of this.statsById.values()) {
            ejectedCount += stats.ejectedUntilMs > 0 ? 1 : 0;
        }
        return ejectedCount + 1 <= this.statsById.size * maxEjectedShare;
    }

    private eject(stats: InstanceStats, cause: EjectionCause, nowMs: number): void {
        const isFailing = cause === EjectionCause.failing;
        const baseMs = isFailing ? baseFailureEjectionMs : firstSlowEjectionMedians * this.medianMs(nowMs);
        const maxMs = isFailing ? maxFailureEjectionMs : maxSlowEjectionMs;
        const decayCount = Math.floor((nowMs - stats.readmittedAtMs) / ejectionCountDecayMs);
        if (stats.ejectedUntilMs === 0) {
            stats.ejectionCount = Math.max(0, stats.ejectionCount - decayCount);
        }
        stats.ejectedUntilMs = nowMs + Math.min(maxMs, baseMs * 2 ** stats.ejectionCount);
        stats.ejectionCount++;
        stats.ejectionCause = cause;
        stats.trialKey = undefined;
    }

    private readmit(stats: InstanceStats, medianMs: number, nowMs: number): void {
        stats.ejectedUntilMs = 0;
        stats.readmittedAtMs = nowMs;
        if (stats.ejectionCause === EjectionCause.slow) {
            // Slowness passes within fractions of a second and can be normal variance: ejections must not accumulate.
            stats.ejectionCount = 0;
        }
        stats.latencyMs = medianMs;
        stats.consecutiveBadSamples = 0;
        stats.consecutiveFailures = 0;
    }
}
