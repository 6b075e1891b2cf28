import type { ShutdownTimes } from "./options.js";

/** All requests are refused after at most this share of the grace period. */
const acceptingShareOfGrace = 0.5;
/** Share of the grace period after which the drain ends and connections are closed even if requests are in flight. */
const closingShareOfGrace = 0.9;

/** An answer that is due later than this before the close may not be sent completely. */
const answerReserveMs = 100;

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

/** Which requests an entry that stops can still answer before it closes their connections. */
export class ShutdownSchedule {
    private closesAtMs = Infinity;

    /** Begins the shutdown; connections are closed at `closesAtMs`. */
    begin(closesAtMs: number): void {
        this.closesAtMs = closesAtMs;
    }

    /** Returns whether a request that is answered at `answerAtMs` at the latest gets its answer before the close. */
    canAnswerBy(answerAtMs: number): boolean {
        return answerAtMs + answerReserveMs <= this.closesAtMs;
    }
}
