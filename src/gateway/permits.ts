const msPerSecond = 1000;
const roundingTolerance = 1e-9;

/** Requests that may be sent, at a time in monotonic milliseconds. */
export interface Permits {
    count: number;
    settledAtMs: number;
}

/** How permits accrue. */
export interface Allowance {
    readonly ratePerSecond: number;
    /** Maximum number of permits; 0 without a share. */
    readonly burst: number;
}

/** Brings permits up to date. */
export function settlePermits(permits: Permits, { ratePerSecond, burst }: Allowance, nowMs: number): void {
    const accrued = Math.max(0, nowMs - permits.settledAtMs) * ratePerSecond / msPerSecond;
    permits.count = Math.min(burst, permits.count + accrued);
    permits.settledAtMs = nowMs;
}

/** Returns when the next request may be sent: in the past, in the future, or Infinity without a share. */
export function findPermitAtMs({ count, settledAtMs }: Permits, { ratePerSecond, burst }: Allowance): number {
    if (burst < 1 - roundingTolerance) {
        return Infinity;
    }
    const missing = 1 - roundingTolerance - count;
    return missing <= 0 ? -Infinity : settledAtMs + missing * msPerSecond / ratePerSecond;
}

/** Returns how many requests may be sent until a time. */
export function countPermitsUntil(
    { count, settledAtMs }: Permits,
    { ratePerSecond, burst }: Allowance,
    untilMs: number,
): number {
    const accrued = count + Math.max(0, untilMs - settledAtMs) * ratePerSecond / msPerSecond;
    return burst < 1 - roundingTolerance ? 0 : Math.floor(accrued + roundingTolerance);
}
