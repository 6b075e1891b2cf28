/** Requests of a route whose deadlines are remembered. */
const rememberedDeadlines = 64;
/**
 * Rank among the remembered deadlines of the one that first requests state. Some callers wait longer than the others, so
 * the longest is not taken; in a burst most requests can be returning ones, so the middle is not taken either.
 */
const firstDeadlineRank = 0.85;
/** A rank says nothing of fewer deadlines. */
const minDeadlines = 8;

interface DeadlineWindow {
    readonly deadlinesMs: number[];
    next: number;
}

/**
 * Estimates how long callers have waited when their request arrives. A caller that was refused, or that had trouble to
 * connect, states a shorter deadline than the first requests of the route do, by the time that has passed.
 */
export class CallerAges {
    private readonly windows = new Map<string, DeadlineWindow>();

    /** Takes the deadline that a request of the route states; returns how long its caller has waited, in ms. */
    note(route: string, deadlineMs: number): number {
        const window = this.windows.get(route) ?? { deadlinesMs: [], next: 0 };
        this.windows.set(route, window);
        window.deadlinesMs[window.next] = deadlineMs;
        window.next = (window.next + 1) % rememberedDeadlines;
        if (window.deadlinesMs.length < minDeadlines) {
            return 0;
        }
        const sorted = [...window.deadlinesMs].sort((first, second) => first - second);
        return Math.max(0, sorted[Math.floor(firstDeadlineRank * (sorted.length - 1))] - deadlineMs);
    }
}
