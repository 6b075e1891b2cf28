import type { RequestId, ServiceName } from "../core/ids.js";
import { Verdict } from "../core/verdict.js";
import { type ClaimResult, type ClaimSpec, HeldPolicy } from "./claim.js";
import type { ClaimCoordinator } from "./claimCoordinator.js";
import type { CrashDetector } from "./crashDetector.js";
import { type ActiveRequest, RequestStage } from "./requestTable.js";
import { fingerprintOf, SuspectStatus } from "./suspectTable.js";

// If an entry crashes during a trial, replicas keep its claims until this long after the request's deadline.
const claimMarginMs = 10_000;
const lockSuffix = "#lock";
const trialSuffix = "#trial";

/** Next step of a request that needs a trial. */
export type TrialStep = "start" | "run-normally" | "refuse" | "wait";

/**
 * Runs attempts of crash suspects. Across all entries, one suspect of a service runs at a time: if two of them ran on
 * the same instance and it was lost, the harmless one would be refused together with the other.
 */
export class Trials {
    /** Requests of this entry that hold or acquire the lock, by service; other suspects of the service wait. */
    private readonly lockCandidates = new Map<ServiceName, RequestId>();

    constructor(private readonly claims: ClaimCoordinator, private readonly crashes: CrashDetector) {}

    /** Starts to acquire the lock of a trial; the claim on the fingerprint follows once it is granted. */
    begin(request: ActiveRequest, nowMs: number): void {
        request.stage = RequestStage.locking;
        this.lockIfFirst(request, nowMs);
    }

    /** Returns the id of the request that a lock or claim of a trial belongs to; undefined for other claims. */
    requestIdOf(ownerId: string): string | undefined {
        const suffix = [lockSuffix, trialSuffix].find(candidate => ownerId.endsWith(candidate));
        return suffix === undefined ? undefined : ownerId.slice(0, -suffix.length);
    }

    /** Handles the decision on the lock or the claim of a trial. */
    onDecided(request: ActiveRequest, result: ClaimResult, nowMs: number): TrialStep {
        if (result.kind !== "granted") {
            this.releaseClaims(request, nowMs);
            return "refuse";
        }
        if (request.stage === RequestStage.claimingTrial) {
            request.stage = RequestStage.trial;
            return "start";
        }
        const step = this.recheck(request, nowMs);
        if (step === "wait") {
            request.stage = RequestStage.claimingTrial;
            this.claims.start(this.makeTrialSpec(request, nowMs), nowMs);
        }
        return step;
    }

    /** Rechecks the suspect status of a request that waits for its trial. */
    recheck(request: ActiveRequest, nowMs: number): TrialStep {
        const suspectStatus = this.crashes.suspectStatusOf(request.metadata, nowMs);
        if (suspectStatus === SuspectStatus.suspect) {
            this.lockIfFirst(request, nowMs);
            return "wait";
        }
        this.releaseClaims(request, nowMs);
        return suspectStatus === SuspectStatus.clear ? "run-normally" : "refuse";
    }

    isWaiting(request: ActiveRequest): boolean {
        return request.stage === RequestStage.locking || request.stage === RequestStage.claimingTrial;
    }

    /** Whether the claim of the trial is recent enough for a dispatch. */
    isDispatchable(request: ActiveRequest, nowMs: number): boolean {
        return this.claims.isDispatchable(request.metadata.id + trialSuffix, nowMs);
    }

    /**
     * Ends a trial whose attempt has ended. If the losses now refuse the request, the trial's claim is kept with an
     * outcome instead of being released, so that no entry repeats the trial.
     */
    finishTrial(request: ActiveRequest, nowMs: number): void {
        const { id } = request.metadata;
        if (this.crashes.suspectStatusOf(request.metadata, nowMs) === SuspectStatus.refused) {
            const outcome = { kind: "verdict", verdict: Verdict.mayHaveRun, reason: "crash-suspect" } as const;
            this.claims.finish(id + trialSuffix, outcome, nowMs);
        }
        this.releaseClaims(request, nowMs);
    }

    /** Ends a trial whose request ended while its attempt was running, so that the result stays unknown. */
    dropTrial(request: ActiveRequest, nowMs: number): void {
        this.claims.drop(request.metadata.id + trialSuffix);
        this.releaseClaims(request, nowMs);
    }

    private releaseClaims(request: ActiveRequest, nowMs: number): void {
        this.claims.release(request.metadata.id + trialSuffix, nowMs);
        this.claims.release(request.metadata.id + lockSuffix, nowMs);
        if (this.lockCandidates.get(request.metadata.service) === request.metadata.id) {
            this.lockCandidates.delete(request.metadata.service);
        }
        request.stage = RequestStage.running;
    }

    private lockIfFirst(request: ActiveRequest, nowMs: number): void {
        const { id, service } = request.metadata;
        if (!this.lockCandidates.has(service)) {
            this.lockCandidates.set(service, id);
            this.claims.start(this.makeLockSpec(request, nowMs), nowMs);
        }
    }

    private makeLockSpec(request: ActiveRequest, nowMs: number): ClaimSpec {
        const { id, service } = request.metadata;
        return this.makeSpec(request, id + lockSuffix, `trial-lock:${service}`, nowMs);
    }

    private makeTrialSpec(request: ActiveRequest, nowMs: number): ClaimSpec {
        const { id } = request.metadata;
        return this.makeSpec(request, id + trialSuffix, `trial:${fingerprintOf(request.metadata)}`, nowMs);
    }

    private makeSpec(request: ActiveRequest, ownerId: string, key: string, nowMs: number): ClaimSpec {
        const { deadlineAtMs } = request.metadata;
        return {
            ownerId,
            key,
            requestHash: "",
            deadlineAtMs,
            lifetimeMs: Math.max(0, deadlineAtMs - nowMs) + claimMarginMs,
            heldPolicy: HeldPolicy.retry,
        };
    }
}
