/** Part of the slots from which an instance counts as nearly full; with four or six slots, one may be free. */
const nearlyFullShare = 0.75;
/**
 * Time until one more request is tried. A try that meets a reset loses a non-idempotent request, while a limit that is
 * one too low costs one slot; 15 s is the time within which deployments must recover from overload.
 */
const baseRecoveryMs = 15_000;
/** The recovery time doubles with each further reset, up to this. */
const maxRecoveryMs = 240_000;

/** Learned limit on the requests at an instance that resets connections when it is full. */
export interface ConcurrencyLimit {
    /** Most requests, running and waiting, of all entries together. */
    readonly maxOutstanding: number;
    /** When the limit rises by one. */
    readonly recoversAtMs: number;
    readonly recoveryMs: number;
}

/** Returns whether an instance was nearly full, so that a reset was probably caused by its load. */
export function isNearlyFull(outstanding: number, slots: number): boolean {
    return outstanding >= Math.ceil(nearlyFullShare * Math.max(1, slots));
}

/** Lowers the limit after a reset; `outstanding` includes the request or probe that was reset. */
export function lowerLimit(
    limit: ConcurrencyLimit | undefined,
    outstanding: number,
    slots: number,
    nowMs: number,
): ConcurrencyLimit {
    const current = limit === undefined ? slots : getMaxOutstanding(limit, slots, nowMs);
    const recoveryMs = limit === undefined ? baseRecoveryMs : Math.min(maxRecoveryMs, 2 * limit.recoveryMs);
    return {
        maxOutstanding: Math.max(1, Math.min(current, outstanding, slots) - 1),
        recoversAtMs: nowMs + recoveryMs,
        recoveryMs,
    };
}

/**
 * Raises the limit to the number of requests that an instance reports while it answers, but never to all of its slots,
 * at which it resets connections.
 */
export function raiseLimit(limit: ConcurrencyLimit, outstanding: number, slots: number): ConcurrencyLimit {
    const maxOutstanding = Math.max(limit.maxOutstanding, Math.min(outstanding, slots - 1));
    return maxOutstanding === limit.maxOutstanding ? limit : { ...limit, maxOutstanding };
}

/** Returns the most requests that may be at the instance now. */
export function getMaxOutstanding(limit: ConcurrencyLimit, slots: number, nowMs: number): number {
    const recovered = nowMs < limit.recoversAtMs ? 0 : 1 + Math.floor((nowMs - limit.recoversAtMs) / limit.recoveryMs);
    return Math.min(Math.max(1, slots), limit.maxOutstanding + recovered);
}
