/** Ratio of the worth of a request to that of one of the next less urgent priority with the same work. */
const priorityRatio = 2;
/** Share of the worth that a request keeps when it is answered late; callers of the platform credit 0.04 to 0.15. */
const lateShare = 0.1;
/**
 * Share of the worth that a first rejection loses. Callers retry once, and with demand of twice the capacity about every
 * second retry is served; a second rejection loses all.
 */
const firstRejectionLoss = 0.5;
/** Shortest expected work; protects the order from estimates near zero. */
const minWorkMs = 1;

/** The properties of a request that decide what its rejection loses. */
export interface ValuedRequest {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** When the target latency of the request passes. */
    readonly targetAtMs: number;
    /** Expected instance time. */
    readonly workMs: number;
    /** Whether its caller was rejected before. */
    readonly wasRejected: boolean;
}

/** Returns the worth of an answer in time, relative to that of the most urgent priority. */
export function weighPriority(priority: number): number {
    return priorityRatio ** -Math.max(0, priority);
}

/** Returns whether a request would be late even if it were placed now on an idle instance of normal speed. */
export function isTooLate({ targetAtMs, workMs }: ValuedRequest, nowMs: number): boolean {
    return nowMs + workMs > targetAtMs;
}

/** Returns the worth that a rejection loses for each millisecond of instance time that it frees. */
export function computeLossPerMs(request: ValuedRequest, nowMs: number): number {
    const timeliness = isTooLate(request, nowMs) ? lateShare : 1;
    const finality = request.wasRejected ? 1 : firstRejectionLoss;
    return weighPriority(request.priority) * timeliness * finality / Math.max(minWorkMs, request.workMs);
}
