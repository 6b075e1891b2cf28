import type { ShutdownTimes } from "./options.js";

/**
 * Requests are refused after at most this share of the grace period, so that each accepted one has the other half to
 * complete. With 0.6, a request that was accepted 3.2 s after the stop was cut off 2.2 s later.
 */
const acceptingShareOfGrace = 0.5;
/** Share of the grace period after which the drain ends and connections are closed even if requests are in flight. */
const closingShareOfGrace = 0.9;

/** Phases of a shutdown, in ms since the stop request. */
export interface ShutdownPhases {
    /** Until when requests are accepted. */
    readonly acceptingMs: number;
    /** Until when requests in flight may complete. */
    readonly closingMs: number;
}

/** Returns how long an entry that stops accepts requests of callers with cached addresses and completes them. */
export function computeShutdownPhases({ graceMs, addressLifetimeMs }: ShutdownTimes): ShutdownPhases {
    return {
        acceptingMs: Math.min(addressLifetimeMs, acceptingShareOfGrace * graceMs),
        closingMs: closingShareOfGrace * graceMs,
    };
}
