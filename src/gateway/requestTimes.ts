import type { Route } from "../directory/model.js";
import type { WaitingRequest } from "./placement.js";

/** Part of the target latency during which a request looks only for room where it would be in time. */
const inTimeShare = 0.35;
/** Parts of the target latency and of the whole time after which a request without room is refused. */
const patienceShareOfTarget = 0.4;
const patienceShareOfTime = 0.4;
/** Target latency of a route that states none. */
const defaultTargetLatencyMs = 1000;
/** The moments that bound a request, in monotonic milliseconds. */
export class RequestTimes {
    readonly targetLatencyMs: number;
    /** Until when an answer is worth most to the caller. */
    readonly targetAtMs: number;
    /** When the caller gets an answer at the latest. */
    readonly timeoutAtMs: number;

    /** `callerAgeMs` is how long the caller has waited before the request arrived. */
    constructor(route: Route, receivedAtMs: number, callerAgeMs: number, deadlineAtMs: number) {
        this.targetLatencyMs = route.targetLatencyMs ?? defaultTargetLatencyMs;
        this.targetAtMs = receivedAtMs - callerAgeMs + this.targetLatencyMs;
        this.timeoutAtMs = Math.min(receivedAtMs + (route.timeoutMs ?? Infinity), deadlineAtMs);
    }

    /** Returns how long a request that begins to look for an upstream at `startMs` waits for one. */
    planWait(startMs: number, usualMs: number): Omit<WaitingRequest, "priority"> {
        const { targetAtMs, targetLatencyMs, timeoutAtMs } = this;
        return {
            targetAtMs,
            // A caller whose answer is late anyway does not wait for room where it would be in time.
            inTimeUntilMs: Math.min(startMs + inTimeShare * targetLatencyMs, targetAtMs - usualMs),
            untilMs: Math.min(
                startMs + patienceShareOfTarget * targetLatencyMs,
                startMs + patienceShareOfTime * (timeoutAtMs - startMs),
            ),
            usualMs,
        };
    }
}
