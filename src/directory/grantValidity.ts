import { ageMs, type Clock, type Instant } from "../core/clock.js";

/** Time for which something granted may be used, by the clock that shows more time. */
export class GrantValidity {
    private granted: { readonly at: Instant; readonly validMs: number; } | undefined;

    constructor(private readonly clock: Clock) {}

    /** Starts a validity of `validMs` from `at`, when the call that brought the grant was sent. */
    renew(at: Instant, validMs: number): void {
        this.granted = { at, validMs };
    }

    end(): void {
        this.granted = undefined;
    }

    /** Remaining time in milliseconds; 0 if nothing is granted. */
    get remainingMs(): number {
        const { granted } = this;
        return granted === undefined ? 0 : Math.max(0, granted.validMs - ageMs(granted.at, this.clock));
    }
}
