import type { RandomSource } from "../core/random.js";

/** Why a request was refused without having run. */
export const RefusalCause = {
    /** Upstreams refused the request although they had reported free capacity; another one may accept it. */
    shed: "shed",
    /** No upstream had free capacity before the end of the request's wait. */
    noCapacity: "no-room",
} as const;

export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause];

/** Inputs for the retry delay of a refused request. */
export interface RefusedRequest {
    readonly cause: RefusalCause;
    /** Time until the target latency passes; negative afterwards. */
    readonly untilTargetMs: number;
    /** Expected duration at a cost of 1. */
    readonly baselineMs: number;
    /** Time until the caller's deadline. */
    readonly untilDeadlineMs: number;
}

/** Minimum and jitter of an immediate retry; the jitter separates callers that were refused together. */
const promptRetryMs = 1;
const promptJitterMs = 10;
/** Time from a refusal until the retry arrives, without the delay: a new connection and two one-way trips. */
const retryTripMs = 50;
/**
 * Minimum and jitter of a retry that waits for capacity, as shares of the caller's remaining time. Callers wait at most
 * a third of their time (the platform's page on answers); in a burst longer than a second, earlier retries are refused.
 */
const capacityRetryShare = 0.15;
const capacityJitterShare = 0.17;
const minCapacityRetryMs = 100;

/**
 * Draws the retry delay of a refused caller in milliseconds. A shed request is retried immediately while it can be on
 * time, since another upstream may accept it now; others are retried with jitter, when the load may have dropped.
 */
export function drawRetryAfterMs(request: RefusedRequest, random: RandomSource): number {
    const { cause, untilTargetMs, baselineMs, untilDeadlineMs } = request;
    const canBeOnTime = untilTargetMs > retryTripMs + baselineMs;
    if (cause === RefusalCause.shed && canBeOnTime) {
        return promptRetryMs + random.nextUnit() * promptJitterMs;
    }
    return Math.max(
        minCapacityRetryMs,
        untilDeadlineMs * (capacityRetryShare + random.nextUnit() * capacityJitterShare),
    );
}
