/** Number of recent deadlines per route on which estimates are based. */
const deadlineWindowSize = 64;
/**
 * Quantile of the recent deadlines that is taken as the deadline of a caller's first request. The maximum would be set
 * by the few callers that wait longer than others. The median would be too low in a burst, when most requests can be
 * retries of refused callers.
 */
const initialDeadlineQuantile = 0.85;
/** Fewer deadlines give no usable quantile. */
const minDeadlines = 8;

interface DeadlineWindow {
    readonly deadlinesMs: number[];
    nextIndex: number;
}

/**
 * Estimates how long callers have already waited when their request arrives. The deadline of a caller that was refused
 * or was slow to connect is shorter than that of first requests on the route by the time that has passed.
 */
export class CallerAgeEstimator {
    private readonly windows = new Map<string, DeadlineWindow>();

    /** Records the deadline of a request; returns the estimated time that its caller has waited, in ms. */
    recordAndEstimateAgeMs(route: string, deadlineMs: number): number {
        const window = this.windows.get(route) ?? { deadlinesMs: [], nextIndex: 0 };
        this.windows.set(route, window);
        window.deadlinesMs[window.nextIndex] = deadlineMs;
        window.nextIndex = (window.nextIndex + 1) % deadlineWindowSize;
        if (window.deadlinesMs.length < minDeadlines) {
            return 0;
        }
        const sorted = [...window.deadlinesMs].sort((first, second) => first - second);
        return Math.max(0, sorted[Math.floor(initialDeadlineQuantile * (sorted.length - 1))] - deadlineMs);
    }
}
