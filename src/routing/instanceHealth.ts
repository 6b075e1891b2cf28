import type { UpstreamId } from "../core/ids.js";
import type { UpstreamRow } from "../membership/view.js";
import { createInstanceRow, EjectionCause, type InstanceRow } from "./instanceRow.js";

const smoothing = 0.3;
const slowRatio = 2.5;
const overdueRatio = 3;
const maxSampleRatio = 10;
const badSamplesToEject = 2;
const medianLifetimeMs = 20;
/** First ejection of a slow instance, in median latencies: its running requests have mostly ended by then. */
const slowEjectionMedians = 8;
const maxSlowEjectionMs = 5000;
const failureEjectionMs = 200;
const maxFailureEjectionMs = 30_000;
const shedPauseMs = 5;
const maxShedPauseMs = 1000;
const ejectionDecayMs = 1000;
const maxEjectedShare = 0.5;

/** How an attempt counts for the health of its instance. */
export const SampleKind = {
    ok: "ok",
    failed: "failed",
    /** The instance refused the request before running it. */
    shed: "shed",
    /** The attempt was given up here; its latency is a lower bound. */
    cancelled: "cancelled",
    /** The attempt was never sent. */
    unused: "unused",
} as const;

export type SampleKind = typeof SampleKind[keyof typeof SampleKind];

interface RunningAttempt {
    readonly row: InstanceRow;
    readonly startedAtMs: number;
    readonly isTrial: boolean;
    isOverdue: boolean;
}

/**
 * Latency estimates and ejection for the instances of one service.
 * An attempt that is still running after a multiple of the median counts as slow at once: waiting for its end would let
 * a slow instance keep its share for as long as its slowest attempt runs.
 */
export class InstanceHealth {
    readonly rows = new Map<UpstreamId, InstanceRow>();
    private readonly running = new Map<string, RunningAttempt>();
    /** Running attempts that are not overdue yet, oldest first. */
    private readonly onTime = new Map<string, RunningAttempt>();
    private cachedMedianMs = 0;
    private medianAtMs = Number.NEGATIVE_INFINITY;

    /** Returns the row of an upstream; a new incarnation starts afresh, without the attempts that the old one lost. */
    rowOf(upstream: UpstreamRow): InstanceRow {
        const { id, incarnation } = upstream.announcement;
        const known = this.rows.get(id);
        if (known !== undefined && known.incarnation === incarnation) {
            return known;
        }
        const row = createInstanceRow(id, incarnation);
        this.rows.set(id, row);
        return row;
    }

    /** An attempt gets a slot of the instance. */
    start(key: string, row: InstanceRow, nowMs: number): void {
        const isTrial = row.ejectedUntilMs > 0 && row.trialKey === undefined;
        if (isTrial) {
            row.trialKey = key;
        }
        const attempt = { row, startedAtMs: nowMs, isTrial, isOverdue: false };
        row.outstanding++;
        this.running.set(key, attempt);
        this.onTime.set(key, attempt);
    }

    /** The attempt ended. `failureMs` is the latency that a failure counts as. */
    finish(key: string, kind: SampleKind, latencyMs: number, failureMs: number, nowMs: number): void {
        const attempt = this.running.get(key);
        if (attempt === undefined) {
            return;
        }
        this.running.delete(key);
        this.onTime.delete(key);
        attempt.row.outstanding--;
        this.recordEnd(attempt, kind, latencyMs, failureMs, nowMs);
        if (attempt.row.trialKey === key) {
            attempt.row.trialKey = undefined;
        }
    }

    /** Counts attempts that are running for too long as slow. */
    checkOverdue(nowMs: number): void {
        const limitMs = this.medianMs(nowMs) * overdueRatio;
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

    /** Whether the instance may get work now: not ejected, or due for one trial attempt. */
    isAvailable(row: InstanceRow, nowMs: number): boolean {
        if (row.ejectedUntilMs === 0) {
            return nowMs >= row.shedUntilMs;
        }
        return nowMs >= row.ejectedUntilMs && row.trialKey === undefined;
    }

    /** Median of the instances' latency estimates in milliseconds; 0 while nothing is known. */
    medianMs(nowMs: number): number {
        if (nowMs - this.medianAtMs >= medianLifetimeMs) {
            const known = [...this.rows.values()].filter(row => row.sampleCount > 0).map(row => row.latencyMs);
            known.sort((a, b) => a - b);
            this.cachedMedianMs = known[Math.floor(known.length / 2)] ?? 0;
            this.medianAtMs = nowMs;
        }
        return this.cachedMedianMs;
    }

    /** The answer of a probe: a good one allows a trial attempt, a bad one ejects for longer. */
    recordProbe(id: UpstreamId, isGood: boolean, nowMs: number): void {
        const row = this.rows.get(id);
        if (row === undefined) {
            return;
        }
        row.isProbed = false;
        row.probedAtMs = nowMs;
        if (row.ejectedUntilMs > 0 && isGood) {
            row.ejectedUntilMs = nowMs;
        }
        else if (row.ejectedUntilMs > 0) {
            this.eject(row, EjectionCause.failing, nowMs);
        }
    }

    /** Drops rows of upstreams that are gone. */
    prune(isKnown: (id: UpstreamId) => boolean): void {
        for (const row of this.rows.values()) {
            if (row.outstanding === 0 && !isKnown(row.id)) {
                this.rows.delete(row.id);
            }
        }
    }

    private recordEnd(
        attempt: RunningAttempt,
        kind: SampleKind,
        latencyMs: number,
        failureMs: number,
        nowMs: number,
    ): void {
        const { row } = attempt;
        if (kind === SampleKind.shed) {
            row.shedCount++;
            row.shedAtMs = nowMs;
            row.shedUntilMs = nowMs + Math.min(maxShedPauseMs, shedPauseMs * 2 ** row.shedCount);
            return;
        }
        if (kind === SampleKind.unused || kind === SampleKind.cancelled) {
            return;
        }
        row.shedCount = 0;
        if (kind === SampleKind.failed) {
            row.failureRun++;
            this.addSample(attempt, Math.max(latencyMs, failureMs), nowMs);
            return;
        }
        row.failureRun = 0;
        if (!attempt.isOverdue) {
            this.addSample(attempt, latencyMs, nowMs);
        }
    }

    private addSample(attempt: RunningAttempt, latencyMs: number, nowMs: number): void {
        const { row } = attempt;
        const medianMs = this.medianMs(nowMs);
        // Without the cap, one failure at a deadline of seconds would outweigh hundreds of good responses.
        const sampleMs = medianMs > 0 ? Math.min(latencyMs, medianMs * maxSampleRatio) : latencyMs;
        const priorMs = row.sampleCount > 0 ? row.latencyMs : medianMs || sampleMs;
        row.latencyMs = priorMs + smoothing * (sampleMs - priorMs);
        row.sampleCount++;
        const isBad = row.failureRun > 0 || medianMs > 0 && latencyMs > medianMs * overdueRatio;
        row.badRun = isBad ? row.badRun + 1 : 0;
        this.judge(attempt, isBad, medianMs, nowMs);
    }

    private judge(attempt: RunningAttempt, isBad: boolean, medianMs: number, nowMs: number): void {
        const { row } = attempt;
        const cause = row.failureRun > 0 ? EjectionCause.failing : EjectionCause.slow;
        if (row.ejectedUntilMs > 0) {
            if (attempt.isTrial && isBad) {
                this.eject(row, cause, nowMs);
            }
            else if (attempt.isTrial) {
                this.readmit(row, medianMs, nowMs);
            }
        }
        else if (row.badRun >= badSamplesToEject && row.latencyMs > medianMs * slowRatio && this.mayEject()) {
            this.eject(row, cause, nowMs);
        }
    }

    private mayEject(): boolean {
        let ejectedCount = 0;
        for (const row of this.rows.values()) {
            ejectedCount += row.ejectedUntilMs > 0 ? 1 : 0;
        }
        return ejectedCount + 1 <= this.rows.size * maxEjectedShare;
    }

    private eject(row: InstanceRow, cause: EjectionCause, nowMs: number): void {
        const isFailing = cause === EjectionCause.failing;
        const baseMs = isFailing ? failureEjectionMs : slowEjectionMedians * this.medianMs(nowMs);
        const maxMs = isFailing ? maxFailureEjectionMs : maxSlowEjectionMs;
        const decayed = Math.floor((nowMs - row.readmittedAtMs) / ejectionDecayMs);
        if (row.ejectedUntilMs === 0) {
            row.ejectionCount = Math.max(0, row.ejectionCount - decayed);
        }
        row.ejectedUntilMs = nowMs + Math.min(maxMs, baseMs * 2 ** row.ejectionCount);
        row.ejectionCount++;
        row.ejectionCause = cause;
        row.trialKey = undefined;
    }

    private readmit(row: InstanceRow, medianMs: number, nowMs: number): void {
        row.ejectedUntilMs = 0;
        row.readmittedAtMs = nowMs;
        if (row.ejectionCause === EjectionCause.slow) {
            // Slowness passes within fractions of a second and normal scatter looks like it; its count must not add up.
            row.ejectionCount = 0;
        }
        row.latencyMs = medianMs;
        row.badRun = 0;
        row.failureRun = 0;
    }
}
