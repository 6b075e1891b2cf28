import type { UpstreamId } from "../core/ids.js";
import type { UpstreamRow } from "../membership/view.js";
import { createInstanceStats, EjectionCause, type InstanceStats } from "./instanceStats.js";

const latencySmoothing = 0.3;
const slowMedianRatio = 2.5;
const overdueMedianRatio = 3;
const maxSampleMedianRatio = 10;
const badSamplesToEject = 2;
const medianCacheMs = 20;
/** First ejection of a slow instance, in median latencies; most of its running requests have ended by then. */
const slowEjectionMedians = 8;
const maxSlowEjectionMs = 5000;
const baseFailureEjectionMs = 200;
const maxFailureEjectionMs = 30_000;
const baseShedBackoffMs = 5;
const maxShedBackoffMs = 1000;
const ejectionDecayMs = 1000;
const maxEjectedShare = 0.5;

/** How an attempt counts for the health of its instance. */
export const SampleKind = {
    ok: "ok",
    failed: "failed",
    /** The instance refused the request before running it. */
    shed: "shed",
    /** The attempt was cancelled by this entry; its latency is a lower bound. */
    cancelled: "cancelled",
    /** The attempt was never sent. */
    unused: "unused",
} as const;

export type SampleKind = typeof SampleKind[keyof typeof SampleKind];

interface RunningAttempt {
    readonly stats: InstanceStats;
    readonly startedAtMs: number;
    readonly isTrial: boolean;
    isOverdue: boolean;
}

/**
 * Latency estimates and outlier ejection for the instances of one service.
 * An attempt that runs longer than a multiple of the median counts as slow immediately; otherwise a slow instance would
 * keep its share of the traffic until its slowest attempt ends.
 */
export class InstanceHealth {
    readonly statsById = new Map<UpstreamId, InstanceStats>();
    private readonly running = new Map<string, RunningAttempt>();
    /** Running attempts that are not overdue, oldest first. */
    private readonly onTime = new Map<string, RunningAttempt>();
    private cachedMedianMs = 0;
    private medianAtMs = Number.NEGATIVE_INFINITY;

    /** Returns the statistics of an upstream; they are reset for a new incarnation, which lost all running attempts. */
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

    /** Records the start of an attempt; on an ejected instance it is the trial. */
    start(key: string, stats: InstanceStats, nowMs: number): void {
        const isTrial = stats.ejectedUntilMs > 0 && stats.trialKey === undefined;
        if (isTrial) {
            stats.trialKey = key;
        }
        const attempt = { stats, startedAtMs: nowMs, isTrial, isOverdue: false };
        stats.outstanding++;
        this.running.set(key, attempt);
        this.onTime.set(key, attempt);
    }

    /** Records the end of an attempt. `failureMs` is the latency that a failure counts as. */
    finish(key: string, kind: SampleKind, latencyMs: number, failureMs: number, nowMs: number): void {
        const attempt = this.running.get(key);
        if (attempt === undefined) {
            return;
        }
        this.running.delete(key);
        this.onTime.delete(key);
        attempt.stats.outstanding--;
        this.recordOutcome(attempt, kind, latencyMs, failureMs, nowMs);
        if (attempt.stats.trialKey === key) {
            attempt.stats.trialKey = undefined;
        }
    }

    /** Records a slow sample for each running attempt that became overdue. */
    checkOverdue(nowMs: number): void {
        const limitMs = this.medianMs(nowMs) * overdueMedianRatio;
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

    /** Records a probe result. On an ejected instance, success allows a trial attempt and failure ejects for longer. */
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

    /** Removes upstreams that are no longer known and have no attempts in flight. */
    prune(isKnown: (id: UpstreamId) => boolean): void {
        for (const stats of this.statsById.values()) {
            if (stats.outstanding === 0 && !isKnown(stats.id)) {
                this.statsById.delete(stats.id);
            }
        }
    }

    private recordOutcome(
        attempt: RunningAttempt,
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

    private addSample(attempt: RunningAttempt, latencyMs: number, nowMs: number): void {
        const { stats } = attempt;
        const medianMs = this.medianMs(nowMs);
        // Without the cap, one failure with a deadline of seconds would outweigh hundreds of successful responses.
        const sampleMs = medianMs > 0 ? Math.min(latencyMs, medianMs * maxSampleMedianRatio) : latencyMs;
        const priorMs = stats.sampleCount > 0 ? stats.latencyMs : medianMs || sampleMs;
        stats.latencyMs = priorMs + latencySmoothing * (sampleMs - priorMs);
        stats.sampleCount++;
        const isBad = stats.consecutiveFailures > 0 || medianMs > 0 && latencyMs > medianMs * overdueMedianRatio;
        stats.consecutiveBadSamples = isBad ? stats.consecutiveBadSamples + 1 : 0;
        this.updateEjection(attempt, isBad, medianMs, nowMs);
    }

    private updateEjection(attempt: RunningAttempt, isBad: boolean, medianMs: number, nowMs: number): void {
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
            stats.consecutiveBadSamples >= badSamplesToEject && stats.latencyMs > medianMs * slowMedianRatio &&
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
        const baseMs = isFailing ? baseFailureEjectionMs : slowEjectionMedians * this.medianMs(nowMs);
        const maxMs = isFailing ? maxFailureEjectionMs : maxSlowEjectionMs;
        const decayed = Math.floor((nowMs - stats.readmittedAtMs) / ejectionDecayMs);
        if (stats.ejectedUntilMs === 0) {
            stats.ejectionCount = Math.max(0, stats.ejectionCount - decayed);
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
