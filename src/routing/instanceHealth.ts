import type { UpstreamId } from "../core/ids.js";
import type { UpstreamRow } from "../membership/view.js";
import { createInstanceStats, EjectionCause, type InstanceStats } from "./instanceRow.js";

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
    readonly instance: InstanceStats;
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
    readonly instances = new Map<UpstreamId, InstanceStats>();
    private readonly running = new Map<string, RunningAttempt>();
    /** Running attempts that are not overdue, oldest first. */
    private readonly onTime = new Map<string, RunningAttempt>();
    private cachedMedianMs = 0;
    private medianAtMs = Number.NEGATIVE_INFINITY;

    /** Returns the statistics of an upstream; they are reset for a new incarnation, which lost all running attempts. */
    getInstance(upstream: UpstreamRow): InstanceStats {
        const { id, incarnation } = upstream.announcement;
        const known = this.instances.get(id);
        if (known !== undefined && known.incarnation === incarnation) {
            return known;
        }
        const instance = createInstanceStats(id, incarnation);
        this.instances.set(id, instance);
        return instance;
    }

    /** Records the start of an attempt; on an ejected instance it is the trial. */
    start(key: string, instance: InstanceStats, nowMs: number): void {
        const isTrial = instance.ejectedUntilMs > 0 && instance.trialKey === undefined;
        if (isTrial) {
            instance.trialKey = key;
        }
        const attempt = { instance, startedAtMs: nowMs, isTrial, isOverdue: false };
        instance.outstanding++;
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
        attempt.instance.outstanding--;
        this.recordOutcome(attempt, kind, latencyMs, failureMs, nowMs);
        if (attempt.instance.trialKey === key) {
            attempt.instance.trialKey = undefined;
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
    isAvailable(instance: InstanceStats, nowMs: number): boolean {
        if (instance.ejectedUntilMs === 0) {
            return nowMs >= instance.shedBackoffUntilMs;
        }
        return nowMs >= instance.ejectedUntilMs && instance.trialKey === undefined;
    }

    /** Median of the instances' latency estimates in milliseconds; 0 without samples. */
    medianMs(nowMs: number): number {
        if (nowMs - this.medianAtMs >= medianCacheMs) {
            const known = [...this.instances.values()].filter(stats => stats.sampleCount > 0).map(stats =>
                stats.latencyMs
            );
            known.sort((a, b) => a - b);
            this.cachedMedianMs = known[Math.floor(known.length / 2)] ?? 0;
            this.medianAtMs = nowMs;
        }
        return this.cachedMedianMs;
    }

    /** Records a probe result. On an ejected instance, success allows a trial attempt and failure ejects for longer. */
    recordProbe(id: UpstreamId, isSuccess: boolean, nowMs: number): void {
        const instance = this.instances.get(id);
        if (instance === undefined) {
            return;
        }
        instance.isProbePending = false;
        instance.probedAtMs = nowMs;
        if (instance.ejectedUntilMs > 0 && isSuccess) {
            instance.ejectedUntilMs = nowMs;
        }
        else if (instance.ejectedUntilMs > 0) {
            this.eject(instance, EjectionCause.failing, nowMs);
        }
    }

    /** Removes upstreams that are no longer known and have no attempts in flight. */
    prune(isKnown: (id: UpstreamId) => boolean): void {
        for (const instance of this.instances.values()) {
            if (instance.outstanding === 0 && !isKnown(instance.id)) {
                this.instances.delete(instance.id);
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
        const { instance } = attempt;
        if (kind === SampleKind.shed) {
            instance.consecutiveSheds++;
            instance.lastShedAtMs = nowMs;
            instance.shedBackoffUntilMs = nowMs +
                Math.min(maxShedBackoffMs, baseShedBackoffMs * 2 ** instance.consecutiveSheds);
            return;
        }
        if (kind === SampleKind.unused || kind === SampleKind.cancelled) {
            return;
        }
        instance.consecutiveSheds = 0;
        if (kind === SampleKind.failed) {
            instance.consecutiveFailures++;
            this.addSample(attempt, Math.max(latencyMs, failureMs), nowMs);
            return;
        }
        instance.consecutiveFailures = 0;
        if (!attempt.isOverdue) {
            this.addSample(attempt, latencyMs, nowMs);
        }
    }

    private addSample(attempt: RunningAttempt, latencyMs: number, nowMs: number): void {
        const { instance } = attempt;
        const medianMs = this.medianMs(nowMs);
        // Without the cap, one failure with a deadline of seconds would outweigh hundreds of successful responses.
        const sampleMs = medianMs > 0 ? Math.min(latencyMs, medianMs * maxSampleMedianRatio) : latencyMs;
        const priorMs = instance.sampleCount > 0 ? instance.latencyMs : medianMs || sampleMs;
        instance.latencyMs = priorMs + latencySmoothing * (sampleMs - priorMs);
        instance.sampleCount++;
        const isBad = instance.consecutiveFailures > 0 || medianMs > 0 && latencyMs > medianMs * overdueMedianRatio;
        instance.consecutiveBadSamples = isBad ? instance.consecutiveBadSamples + 1 : 0;
        this.updateEjection(attempt, isBad, medianMs, nowMs);
    }

    private updateEjection(attempt: RunningAttempt, isBad: boolean, medianMs: number, nowMs: number): void {
        const { instance } = attempt;
        const cause = instance.consecutiveFailures > 0 ? EjectionCause.failing : EjectionCause.slow;
        if (instance.ejectedUntilMs > 0) {
            if (attempt.isTrial && isBad) {
                this.eject(instance, cause, nowMs);
            }
            else if (attempt.isTrial) {
                this.readmit(instance, medianMs, nowMs);
            }
        }
        else if (
            instance.consecutiveBadSamples >= badSamplesToEject && instance.latencyMs > medianMs * slowMedianRatio &&
            this.isEjectionAllowed()
        ) {
            this.eject(instance, cause, nowMs);
        }
    }

    private isEjectionAllowed(): boolean {
        let ejectedCount = 0;
        for (const instance of this.instances.values()) {
            ejectedCount += instance.ejectedUntilMs > 0 ? 1 : 0;
        }
        return ejectedCount + 1 <= this.instances.size * maxEjectedShare;
    }

    private eject(instance: InstanceStats, cause: EjectionCause, nowMs: number): void {
        const isFailing = cause === EjectionCause.failing;
        const baseMs = isFailing ? baseFailureEjectionMs : slowEjectionMedians * this.medianMs(nowMs);
        const maxMs = isFailing ? maxFailureEjectionMs : maxSlowEjectionMs;
        const decayed = Math.floor((nowMs - instance.readmittedAtMs) / ejectionDecayMs);
        if (instance.ejectedUntilMs === 0) {
            instance.ejectionCount = Math.max(0, instance.ejectionCount - decayed);
        }
        instance.ejectedUntilMs = nowMs + Math.min(maxMs, baseMs * 2 ** instance.ejectionCount);
        instance.ejectionCount++;
        instance.ejectionCause = cause;
        instance.trialKey = undefined;
    }

    private readmit(instance: InstanceStats, medianMs: number, nowMs: number): void {
        instance.ejectedUntilMs = 0;
        instance.readmittedAtMs = nowMs;
        if (instance.ejectionCause === EjectionCause.slow) {
            // Slowness passes within fractions of a second and can be normal variance: ejections must not accumulate.
            instance.ejectionCount = 0;
        }
        instance.latencyMs = medianMs;
        instance.consecutiveBadSamples = 0;
        instance.consecutiveFailures = 0;
    }
}
