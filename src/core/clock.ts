/** Source of time. Injected, so that a test or an embedding program can control it. */
export interface Clock {
    /** Wall-clock time; for audit records, logs and detecting that the VM was suspended. */
    now(): Date;
    /** Milliseconds since an arbitrary origin; never decreases. */
    monotonicMs(): number;
}

/** One moment as monotonic and wall-clock time. */
export interface Instant {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** Reads both times of a clock. */
export function readInstant(clock: Clock): Instant {
    return { monotonicMs: clock.monotonicMs(), wallMs: clock.now().getTime() };
}

/**
 * Returns the milliseconds since an instant, by monotonic or wall-clock time, whichever shows more. Expiry is checked
 * with this age, because monotonic time stops while a VM is suspended and the wall clock can be set back.
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

/** Clock for tests and simulations that advances only on request. */
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

    /** Advances only wall-clock time, as the suspension of a VM does. */
    suspend(durationMs: number): void {
        this.originMs += durationMs;
    }
}
