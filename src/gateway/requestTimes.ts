import type { Route } from "../directory/model.js";
import type { WaitingRequest } from "./placement.js";

/** Share of the target latency during which a request accepts only placements that meet it. */
const onTimeOnlyShare = 0.35;
/** Maximum wait for a placement, as shares of the target latency and of the time that remains until the timeout. */
const maxWaitShareOfTarget = 0.4;
const maxWaitShareOfRemaining = 0.4;
/** Target latency of a route that defines none. */
const defaultTargetLatencyMs = 1000;

/** The entry answers this long after the request's timeout: longer than an upstream may take, so that it can answer first. */
const answerGraceMs = 180;

/** Time limits of a request, in monotonic milliseconds. */
export class RequestTimes {
    readonly targetLatencyMs: number;
    /** When the target latency passes, counted from the start of the caller's wait. */
    readonly targetAtMs: number;
    /** When the route's timeout or the caller's deadline passes, whichever is earlier. */
    readonly timeoutAtMs: number;

    /** `callerAgeMs` is the time that the caller had waited when the request arrived. */
    constructor(route: Route, receivedAtMs: number, callerAgeMs: number, deadlineAtMs: number) {
        this.targetLatencyMs = route.targetLatencyMs ?? defaultTargetLatencyMs;
        this.targetAtMs = receivedAtMs - callerAgeMs + this.targetLatencyMs;
        this.timeoutAtMs = Math.min(receivedAtMs + (route.timeoutMs ?? Infinity), deadlineAtMs);
    }

    /** When the entry answers a request to which no upstream has answered. */
    get latestAnswerAtMs(): number {
        return this.timeoutAtMs + answerGraceMs;
    }

    /** Returns the limits of a wait for a placement that starts at `startMs`. */
    computeWaitLimits(startMs: number, baselineMs: number): Omit<WaitingRequest, "priority"> {
        const { targetAtMs, targetLatencyMs, timeoutAtMs } = this;
        return {
            targetAtMs,
            // A request that would be late even at a cost of 1 does not wait for an on-time placement.
            onTimeOnlyUntilMs: Math.min(startMs + onTimeOnlyShare * targetLatencyMs, targetAtMs - baselineMs),
            waitUntilMs: Math.min(
                startMs + maxWaitShareOfTarget * targetLatencyMs,
                startMs + maxWaitShareOfRemaining * (timeoutAtMs - startMs),
            ),
            baselineMs,
        };
    }
}
