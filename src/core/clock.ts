/** Source of time. Passed in, so that a test or an embedding program can control it. */
export interface Clock {
    /** Wall-clock time; for audit records, logs and the detection of pauses. */
    now(): Date;
    /** Milliseconds from an arbitrary origin; never goes back. */
    monotonicMs(): number;
}

/** A moment as both clocks show it. */
export interface Instant {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** Returns the present moment. */
export function readInstant(clock: Clock): Instant {
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.now().getTime() };
}

/**
 * Returns the age of a moment, the larger one that either clock shows. A permission with a lifetime ends by this age:
 * the steady clock stands still while a VM is suspended, and the time of day can be set back.
 */
export function ageMs(instant: Instant, clock: Clock): number {
    const now = readInstant(clock);
    return Math.max(now.monotonicMs - instant.monotonicMs, now.wallMs - instant.wallMs);
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
    now(): Date {
        return new Date();
    }

    monotonicMs(): number {
        return performance.now();
    }
}

/** Clock that moves only when told to. */
export class ManualClock implements Clock {
    constructor(private elapsedMs = 0, private originMs = Date.UTC(2026, 0, 1)) {}

    now(): Date {
        return new Date(this.originMs + this.elapsedMs);
    }

    monotonicMs(): number {
        return this.elapsedMs;
    }

    advance(durationMs: number): void {
        this.elapsedMs += durationMs;
    }

    /** Moves only the wall clock, as the suspension of a VM does. */
    suspend(durationMs: number): void {
        this.originMs += durationMs;
    }
}
