import type { RandomSource } from "../core/random.js";

/** Why a request was refused without having run. */
export const RefusalCause = {
    /** Each attempt failed without running the request; another upstream may accept it. */
    shed: "shed",
    /** No upstream had free capacity before the end of the request's wait. */
    noCapacity: "no-room",
    /** All upstreams have reached the request rates that they accept. */
    limited: "limited",
    /** All upstreams of the service have asked this entry for a pause. */
    backingOff: "backing-off",
    /** Instances ended while they ran requests like this one. */
    crashSuspect: "crash-suspect",
    /** The entry stops before the time of the request has passed; others accept it. */
    stopping: "stopping",
} as const;

export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause];

/** Inputs for the delay after which the caller of a refused request retries. */
export interface RefusedRequest {
    readonly cause: RefusalCause;
    /** Time until the target latency passes; negative afterwards. */
    readonly untilTargetMs: number;
    /** Expected duration at a cost of 1. */
    readonly baselineMs: number;
    /** Time until the caller's deadline. */
    readonly untilDeadlineMs: number;
    /** Time until an upstream may get another request; Infinity if that is not known, absent unless `limited`. */
    readonly permitDelayMs?: number | undefined;
    /** Time until the first upstream ends its back-off; absent unless `backingOff`. */
    readonly backOffDelayMs?: number | undefined;
}

/** Delay before the retry of a request that crashes instances; it stays refused for minutes. */
const suspectRetryAfterMs = 60_000;
/** Minimum and jitter of a caller's delay before an immediate retry; jitter separates callers refused together. */
const immediateRetryAfterMs = 1;
const immediateJitterMs = 10;
/** Time from a refusal until the retry arrives, without the retry delay: a new connection and two one-way trips. */
const callerRetryTripMs = 50;
/**
 * Minimum and jitter of a caller's delay before a retry that waits for capacity, as shares of its remaining time.
 * At most a third of that time passes before the retry; in a burst longer than a second, earlier retries are refused.
 */
const capacityRetryAfterShare = 0.15;
const capacityJitterShare = 0.17;
const minCapacityRetryAfterMs = 100;
/**
 * Maximum delay for a back-off, as a share of the caller's remaining time. Callers do not wait longer before a retry, and
 * other entries may still use the upstreams.
 */
const maxBackOffRetryShare = 1 / 3;
/** A caller that has waited this long, in ms, was probably refused before; an earlier retry follows no lack of capacity. */
export const minRejectedAgeMs = minCapacityRetryAfterMs;

/**
 * Draws the delay in milliseconds after which a refused caller retries. The caller of an entry that stops retries
 * immediately, as does that of a shed request while the request can be on time, since another upstream may accept it now;
 * others retry later, with jitter, when the load may have dropped or a limited upstream accepts a request again.
 */
export function drawRetryAfterMs(request: RefusedRequest, random: RandomSource): number {
    const { cause, untilTargetMs, baselineMs, untilDeadlineMs, permitDelayMs = Infinity, backOffDelayMs = 0 } = request;
    if (cause === RefusalCause.crashSuspect) {
        return suspectRetryAfterMs;
    }
    const canBeOnTime = untilTargetMs > callerRetryTripMs + baselineMs;
    if (cause === RefusalCause.stopping || (cause === RefusalCause.shed && canBeOnTime)) {
        return immediateRetryAfterMs + random.nextUnit() * immediateJitterMs;
    }
    return Math.max(
        minCapacityRetryAfterMs,
        Number.isFinite(permitDelayMs) ? permitDelayMs : 0,
        Math.min(backOffDelayMs + random.nextUnit() * immediateJitterMs, untilDeadlineMs * maxBackOffRetryShare),
        untilDeadlineMs * (capacityRetryAfterShare + random.nextUnit() * capacityJitterShare),
    );
}
