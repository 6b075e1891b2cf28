import type { RandomSource } from "../core/random.js";

/** Why a request that has not run is given back to its caller. */
export const RefusalCause = {
    /** Upstreams refused the request although they had said that they had room; the next one may take it. */
    shed: "shed",
    /** No upstream had room until the request had to give up. */
    noRoom: "no-room",
} as const;

export type RefusalCause = typeof RefusalCause[keyof typeof RefusalCause];

/** What is known of a request when it is refused. */
export interface RefusedRequest {
    readonly cause: RefusalCause;
    /** Until the answer is worth less to the caller; negative when that moment has passed. */
    readonly untilTargetMs: number;
    /** How long such a request usually takes. */
    readonly usualMs: number;
    /** Until the caller's deadline. */
    readonly untilDeadlineMs: number;
}

/** Shortest wait and spread of a caller that comes back at once; the spread keeps those refused together apart. */
const promptRetryMs = 1;
const promptSpreadMs = 10;
/** Time from a refusal until the caller's next request arrives: a new connection and two ways to the caller. */
const returnMs = 50;
/**
 * Parts of a caller's time between which it comes back when room is expected. Callers wait at most a third of their time
 * (the platform's page on answers), and a burst that lasts longer than a second refuses those that come back sooner.
 */
const roomRetryShare = 0.15;
const roomSpreadShare = 0.17;
const minRoomRetryMs = 100;

/**
 * Returns when a refused caller is to come back. One that was shed comes back at once while its answer can still be in
 * time, since another upstream may take the request now; others come back apart, when the load may have passed.
 */
export function drawRetryAfterMs(request: RefusedRequest, random: RandomSource): number {
    const { cause, untilTargetMs, usualMs, untilDeadlineMs } = request;
    const canBeInTime = untilTargetMs > returnMs + usualMs;
    if (cause === RefusalCause.shed && canBeInTime) {
        return promptRetryMs + random.nextUnit() * promptSpreadMs;
    }
    return Math.max(minRoomRetryMs, untilDeadlineMs * (roomRetryShare + random.nextUnit() * roomSpreadShare));
}
