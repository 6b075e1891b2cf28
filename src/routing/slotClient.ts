import type { AttemptId, EntryId, UpstreamId } from "../core/ids.js";
import type { RequestMetadata } from "../requests/model.js";

const minTimeoutMs = 10;
const maxTimeoutMs = 50;
const initialRoundTripMs = 5;
const roundTripSmoothing = 0.1;
const roundTripsPerTimeout = 4;
/** The owner repeats its `queued` answers every 50 ms. */
const queuedTimeoutMs = 150;
const unresponsiveRetryMs = 50;
/**
 * An entry refuses requests itself for this long after the owner refused one at a limit, so that overload of a service
 * does not saturate its owner. The burst of the rate limit compensates for the pause.
 */
const limitBackoffMs = 5;

/** An attempt whose slot request the owner has not decided. */
export interface PendingAttempt {
    readonly attemptId: AttemptId;
    readonly request: RequestMetadata;
    readonly avoid: readonly UpstreamId[];
    readonly requestedAtMs: number;
    isQueued: boolean;
}

/** Tracks this entry's slot requests to a service's owner, and whether the owner answers in time. */
export class SlotClient {
    private readonly pending = new Map<AttemptId, PendingAttempt>();
    private roundTripMs = initialRoundTripMs;
    private lastAnswerAtMs = Number.NEGATIVE_INFINITY;
    private isUnresponsive = false;
    private retryAtMs = 0;
    private limitedUntilMs = 0;
    private limitRevision = -1;

    constructor(readonly ownerId: EntryId) {}

    /** Timeout in milliseconds of a slot request without an answer. */
    get timeoutMs(): number {
        return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, this.roundTripMs * roundTripsPerTimeout));
    }

    /** Whether to send a slot request; an unresponsive owner gets one at a time, to detect its recovery. */
    isOwnerAvailable(nowMs: number): boolean {
        return !this.isUnresponsive || nowMs >= this.retryAtMs && this.pending.size === 0;
    }

    /** Records that the owner refused a request because of a limit. */
    recordLimit(revision: number, nowMs: number): void {
        this.limitRevision = revision;
        this.limitedUntilMs = nowMs + limitBackoffMs;
    }

    /** Whether the backoff after a refusal applies; a new catalogue revision may have changed the limits. */
    isLimited(revision: number, nowMs: number): boolean {
        return revision === this.limitRevision && nowMs < this.limitedUntilMs;
    }

    add(attempt: PendingAttempt): void {
        this.pending.set(attempt.attemptId, attempt);
    }

    /** Handles the owner's answer. Returns the attempt that it decides; undefined if queued or no longer pending. */
    handleAnswer(attemptId: AttemptId, isQueued: boolean, nowMs: number): PendingAttempt | undefined {
        this.lastAnswerAtMs = nowMs;
        this.isUnresponsive = false;
        const attempt = this.pending.get(attemptId);
        if (attempt === undefined) {
            return undefined;
        }
        if (!attempt.isQueued) {
            this.roundTripMs += roundTripSmoothing * (nowMs - attempt.requestedAtMs - this.roundTripMs);
        }
        if (isQueued) {
            attempt.isQueued = true;
            return undefined;
        }
        this.pending.delete(attemptId);
        return attempt;
    }

    /** Removes a pending attempt; returns false when it was not pending. */
    remove(attemptId: AttemptId): boolean {
        return this.pending.delete(attemptId);
    }

    /** Removes and returns the attempts whose slot requests timed out. */
    takeTimedOut(nowMs: number): readonly PendingAttempt[] {
        const timedOut = [...this.pending.values()].filter(attempt => this.isTimedOut(attempt, nowMs));
        timedOut.forEach(attempt => this.pending.delete(attempt.attemptId));
        if (timedOut.length > 0) {
            this.isUnresponsive = true;
            this.retryAtMs = nowMs + unresponsiveRetryMs;
        }
        return timedOut;
    }

    /** Removes and returns all pending attempts, for requests to a new owner. */
    takeAll(): readonly PendingAttempt[] {
        const all = [...this.pending.values()];
        this.pending.clear();
        return all;
    }

    private isTimedOut(attempt: PendingAttempt, nowMs: number): boolean {
        if (attempt.isQueued) {
            return nowMs - Math.max(this.lastAnswerAtMs, attempt.requestedAtMs) > queuedTimeoutMs;
        }
        return nowMs - attempt.requestedAtMs > this.timeoutMs;
    }
}
