import type { RandomSource } from "../core/random.js";

/** Why a request was refused without having run. */
export const RefusalCause = {
    /** Upstreams refused the request although they had reported free capacity; another one may accept it. */
    shed: "shed",
    /** No upstream had free capacity before the end of the request's wait. */
    noCapacity: "no-room",
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
}

/** Minimum and jitter of a caller's delay before an immediate retry; jitter separates callers refused together. */
const promptRetryAfterMs = 1;
const promptJitterMs = 10;
/** Time from a refusal until the caller's retry arrives, without the delay: a new connection and two one-way trips. */
const callerRetryTripMs = 50;
/**
 * Minimum and jitter of a caller's delay before a retry that waits for capacity, as shares of its remaining time.
 * Callers wait at most a third of their time; in a burst longer than a second, earlier retries are refused.
 */
const capacityRetryAfterShare = 0.15;
const capacityJitterShare = 0.17;
const minCapacityRetryAfterMs = 100;

/**
 * Draws the delay in milliseconds after which a refused caller retries. The caller of a shed request retries
 * immediately while the request can be on time, since another upstream may accept it now; others retry later, with
 * jitter, when the load may have dropped.
 */
export function drawRetryAfterMs(request: RefusedRequest, random: RandomSource): number {
    const { cause, untilTargetMs, baselineMs, untilDeadlineMs } = request;
    const canBeOnTime = untilTargetMs > callerRetryTripMs + baselineMs;
    if (cause === RefusalCause.shed && canBeOnTime) {
        return promptRetryAfterMs + random.nextUnit() * promptJitterMs;
    }
    return Math.max(
        minCapacityRetryAfterMs,
        untilDeadlineMs * (capacityRetryAfterShare + random.nextUnit() * capacityJitterShare),
    );
}
