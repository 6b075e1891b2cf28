/** Source of time. Passed in, so that a test or an embedding program can control it. */
export interface Clock {
    /** Wall-clock time; for audit records and logs only. */
    now(): Date;
    /** Milliseconds from an arbitrary origin; never goes back. */
    monotonicMs(): number;
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
    constructor(private elapsedMs = 0, private readonly originMs = Date.UTC(2026, 0, 1)) {}

    now(): Date {
        return new Date(this.originMs + this.elapsedMs);
    }

    monotonicMs(): number {
        return this.elapsedMs;
    }

    advance(durationMs: number): void {
        this.elapsedMs += durationMs;
    }
}
