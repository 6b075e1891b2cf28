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
}

/** Shortest wait and spread of a caller that comes back at once; the spread keeps those refused together apart. */
const promptRetryMs = 1;
const promptSpreadMs = 10;
/** Time from a refusal until the caller's next request arrives: a new connection and two ways to the caller. */
const returnMs = 50;
/** Shortest wait and spread of a caller that comes back when room is expected. */
const roomRetryMs = 200;
const roomSpreadMs = 400;

/**
 * Returns when a refused caller is to come back. One that was shed comes back at once while its answer can still be in
 * time, since another upstream may take the request now; others come back apart, when the load may have passed.
 */
export function drawRetryAfterMs({ cause, untilTargetMs, usualMs }: RefusedRequest, random: RandomSource): number {
    const canBeInTime = untilTargetMs > returnMs + usualMs;
    return cause === RefusalCause.shed && canBeInTime
        ? promptRetryMs + random.nextUnit() * promptSpreadMs
        : roomRetryMs + random.nextUnit() * roomSpreadMs;
}
