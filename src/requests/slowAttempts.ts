import type { AttemptRunner } from "./attempts.js";
import { LatencyEstimates } from "./latencyEstimates.js";
import type { Outbox } from "./outbox.js";
import { type ActiveAttempt, type ActiveRequest, RequestStage } from "./requestTable.js";
import type { Router } from "./router.js";

const poolResetIntervalMs = 1000;
const maxTrackedResets = 1000;

/**
 * Starts second attempts of idempotent requests whose first one is slow: hedges, and failovers from silent attempts.
 * The first attempt continues, so that a service that is slow everywhere still answers; the slower one is cancelled.
 */
export class SlowAttempts {
    private readonly estimates = new LatencyEstimates();
    private readonly lastResetsAtMs = new Map<string, number>();

    constructor(
        private readonly router: Router,
        private readonly runner: AttemptRunner,
        private readonly outbox: Outbox,
    ) {}

    /** Updates the latency estimate when a response head has arrived. */
    onHead(attempt: ActiveAttempt, nowMs: number): void {
        this.estimates.add(attempt.request.metadata.service, nowMs - attempt.dispatchedAtMs);
    }

    /** Starts the second attempts that are due. */
    runTimers(request: ActiveRequest, nowMs: number): void {
        if (!request.isIdempotent || !request.metadata.isBodyReplayable || request.stage !== RequestStage.running) {
            return;
        }
        this.hedgeIfSlow(request, nowMs);
        for (const attempt of [...request.attempts.values()]) {
            this.failOverIfSilent(attempt, nowMs);
        }
    }

    private hedgeIfSlow(request: ActiveRequest, nowMs: number): void {
        if (request.hasHedged || request.attempts.size !== 1) {
            return;
        }
        const [attempt] = request.attempts.values();
        const delayMs = this.router.hedgeDelayMs(request.metadata, nowMs);
        if (delayMs === undefined || !isUnanswered(attempt) || nowMs - attempt.dispatchedAtMs < delayMs) {
            return;
        }
        // Tried once per request: with a try per tick, a few slow requests could drain the budget as it refills.
        request.hasHedged = true;
        if (this.runner.takeRetry(request, "slow", nowMs)) {
            this.runner.start(request, nowMs);
        }
    }

    private failOverIfSilent(attempt: ActiveAttempt, nowMs: number): void {
        const { request } = attempt;
        const timeoutMs = this.estimates.silenceTimeoutMs(request.metadata.service);
        if (attempt.isSilent || !isUnanswered(attempt) || nowMs - attempt.dispatchedAtMs < timeoutMs) {
            return;
        }
        attempt.isSilent = true;
        this.resetPool(attempt.target?.address ?? "", nowMs);
        const hasOtherAttempt = [...request.attempts.values()].some(otherAttempt => !otherAttempt.isSilent);
        if (!hasOtherAttempt && this.runner.takeRetry(request, "silent", nowMs)) {
            this.runner.start(request, nowMs);
        }
    }

    private resetPool(address: string, nowMs: number): void {
        const lastResetAtMs = this.lastResetsAtMs.get(address);
        if (lastResetAtMs !== undefined && nowMs - lastResetAtMs < poolResetIntervalMs) {
            return;
        }
        this.lastResetsAtMs.delete(address);
        this.lastResetsAtMs.set(address, nowMs);
        if (this.lastResetsAtMs.size > maxTrackedResets) {
            const [oldest] = this.lastResetsAtMs.keys();
            this.lastResetsAtMs.delete(oldest);
        }
        this.outbox.push({ kind: "reset-pool", address });
    }
}

function isUnanswered(attempt: ActiveAttempt): boolean {
    return attempt.target !== undefined && attempt.head === undefined;
}
