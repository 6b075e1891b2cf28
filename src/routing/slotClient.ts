import type { AttemptId, EntryId, UpstreamId } from "../core/ids.js";
import type { RequestFacts } from "../requests/model.js";

const minTimeoutMs = 10;
const maxTimeoutMs = 50;
const initialRoundTripMs = 5;
const roundTripSmoothing = 0.1;
const timeoutPerRoundTrip = 4;
/** An owner repeats that a request is queued every 50 ms. */
const queuedSilenceMs = 150;
const silentRetryMs = 50;
/** Pause after a refusal, so that a flood of one service does not occupy its owner; bursts make up for it. */
const limitPauseMs = 5;

/** An attempt that waits for the owner's answer. */
export interface PendingAttempt {
    readonly attemptId: AttemptId;
    readonly request: RequestFacts;
    readonly avoid: readonly UpstreamId[];
    readonly askedAtMs: number;
    isQueued: boolean;
}

/** An entry's view of a service's owner: attempts that wait for it, and whether it answers in time. */
export class SlotClient {
    private readonly pending = new Map<AttemptId, PendingAttempt>();
    private roundTripMs = initialRoundTripMs;
    private heardAtMs = Number.NEGATIVE_INFINITY;
    private isSilent = false;
    private retryAtMs = 0;
    private limitedUntilMs = 0;
    private limitRevision = -1;

    constructor(readonly ownerId: EntryId) {}

    /** Time after which an unanswered request counts as unanswerable. */
    get timeoutMs(): number {
        return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, this.roundTripMs * timeoutPerRoundTrip));
    }

    /** Whether to ask the owner; one attempt at a time finds out whether a silent owner is back. */
    shouldAsk(nowMs: number): boolean {
        return !this.isSilent || nowMs >= this.retryAtMs && this.pending.size === 0;
    }

    /** The owner refused a request because of a limit. */
    noteLimit(revision: number, nowMs: number): void {
        this.limitRevision = revision;
        this.limitedUntilMs = nowMs + limitPauseMs;
    }

    /** Whether the owner would refuse; a new catalogue revision may have changed the limits. */
    isLimited(revision: number, nowMs: number): boolean {
        return revision === this.limitRevision && nowMs < this.limitedUntilMs;
    }

    add(attempt: PendingAttempt): void {
        this.pending.set(attempt.attemptId, attempt);
    }

    /** The owner answered. Returns the attempt unless it no longer waits or goes on waiting. */
    answer(attemptId: AttemptId, isQueued: boolean, nowMs: number): PendingAttempt | undefined {
        this.heardAtMs = nowMs;
        this.isSilent = false;
        const attempt = this.pending.get(attemptId);
        if (attempt === undefined) {
            return undefined;
        }
        if (!attempt.isQueued) {
            this.roundTripMs += roundTripSmoothing * (nowMs - attempt.askedAtMs - this.roundTripMs);
        }
        if (isQueued) {
            attempt.isQueued = true;
            return undefined;
        }
        this.pending.delete(attemptId);
        return attempt;
    }

    /** Whether an attempt waits; it stops waiting. */
    remove(attemptId: AttemptId): boolean {
        return this.pending.delete(attemptId);
    }

    /** Takes the attempts that have waited for too long without a sign of the owner. */
    takeTimedOut(nowMs: number): readonly PendingAttempt[] {
        const timedOut = [...this.pending.values()].filter(attempt => this.isTimedOut(attempt, nowMs));
        timedOut.forEach(attempt => this.pending.delete(attempt.attemptId));
        if (timedOut.length > 0) {
            this.isSilent = true;
            this.retryAtMs = nowMs + silentRetryMs;
        }
        return timedOut;
    }

    /** Takes all attempts that wait; the owner has changed. */
    takeAll(): readonly PendingAttempt[] {
        const all = [...this.pending.values()];
        this.pending.clear();
        return all;
    }

    private isTimedOut(attempt: PendingAttempt, nowMs: number): boolean {
        if (attempt.isQueued) {
            return nowMs - Math.max(this.heardAtMs, attempt.askedAtMs) > queuedSilenceMs;
        }
        return nowMs - attempt.askedAtMs > this.timeoutMs;
    }
}
