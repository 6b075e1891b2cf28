import type { RequestId, ServiceName } from "../core/ids.js";
import { Verdict } from "../core/verdict.js";
import { type ClaimResult, type ClaimSpec, HeldPolicy } from "./claim.js";
import type { ClaimCoordinator } from "./claimCoordinator.js";
import type { CrashDetector } from "./crashGuard.js";
import { type ActiveRequest, RequestStage } from "./requestTable.js";
import { fingerprintOf, SuspectStatus } from "./suspectTable.js";

// Replicas drop the claims of an entry that dies during a trial after this time beyond the request's deadline.
const claimMarginMs = 10_000;
const lockSuffix = "#lock";
const trialSuffix = "#trial";

/** What a trial may do next. */
export type TrialStep = "start" | "run-normally" | "refuse" | "wait";

/**
 * Second attempts of crash suspects. They run one at a time in a service, over all entries: if two suspects ran on the
 * same instance and it was lost, the innocent one would be refused together with the other.
 */
export class Trials {
    /** Requests that have or want the lock, by service; others of this entry wait for them. */
    private readonly lockCandidates = new Map<ServiceName, RequestId>();

    constructor(private readonly claims: ClaimCoordinator, private readonly crashes: CrashDetector) {}

    /** Starts to acquire the lock and the claim of a trial. */
    begin(request: ActiveRequest, nowMs: number): void {
        request.stage = RequestStage.locking;
        this.lockIfFirst(request, nowMs);
    }

    /** Returns the id of the request that a lock or claim of a trial belongs to; undefined for other claims. */
    requestIdOf(ownerId: string): string | undefined {
        const suffix = [lockSuffix, trialSuffix].find(it => ownerId.endsWith(it));
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

    /** Looks whether the suspicion has changed while the request waits. */
    recheck(request: ActiveRequest, nowMs: number): TrialStep {
        const suspectStatus = this.crashes.suspectStatusOf(request.facts, nowMs);
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

    /** Whether the claim of the trial is recent enough to be used. */
    isDispatchable(request: ActiveRequest, nowMs: number): boolean {
        return this.claims.isDispatchable(request.facts.id + trialSuffix, nowMs);
    }

    /** The attempt of the trial has ended. A claim whose trial lost an instance is kept, so that nobody repeats it. */
    finishTrial(request: ActiveRequest, nowMs: number): void {
        const { id } = request.facts;
        if (this.crashes.suspectStatusOf(request.facts, nowMs) === SuspectStatus.refused) {
            const outcome = { kind: "verdict", verdict: Verdict.mayHaveRun, reason: "crash-suspect" } as const;
            this.claims.finish(id + trialSuffix, outcome, nowMs);
        }
        this.releaseClaims(request, nowMs);
    }

    /** The request ended while the attempt of the trial ran; nobody will know how it went. */
    dropTrial(request: ActiveRequest, nowMs: number): void {
        this.claims.drop(request.facts.id + trialSuffix);
        this.releaseClaims(request, nowMs);
    }

    private releaseClaims(request: ActiveRequest, nowMs: number): void {
        this.claims.release(request.facts.id + trialSuffix, nowMs);
        this.claims.release(request.facts.id + lockSuffix, nowMs);
        if (this.lockCandidates.get(request.facts.service) === request.facts.id) {
            this.lockCandidates.delete(request.facts.service);
        }
        request.stage = RequestStage.running;
    }

    private lockIfFirst(request: ActiveRequest, nowMs: number): void {
        const { id, service } = request.facts;
        if (!this.lockCandidates.has(service)) {
            this.lockCandidates.set(service, id);
            this.claims.start(this.makeLockSpec(request, nowMs), nowMs);
        }
    }

    private makeLockSpec(request: ActiveRequest, nowMs: number): ClaimSpec {
        const { id, service } = request.facts;
        return this.makeSpec(request, id + lockSuffix, `trial-lock:${service}`, nowMs);
    }

    private makeTrialSpec(request: ActiveRequest, nowMs: number): ClaimSpec {
        const { id } = request.facts;
        return this.makeSpec(request, id + trialSuffix, `trial:${fingerprintOf(request.facts)}`, nowMs);
    }

    private makeSpec(request: ActiveRequest, ownerId: string, key: string, nowMs: number): ClaimSpec {
        const { deadlineAtMs } = request.facts;
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
