import type { Catalogue } from "../catalogue/model.js";
import { Verdict } from "../core/verdict.js";
import * as answers from "./answers.js";
import type { AttemptRunner, RouteRefusal } from "./attempts.js";
import { type DecidedClaim, HeldPolicy } from "./claim.js";
import type { ClaimStack } from "./claimStack.js";
import type { CrashDetector } from "./crashGuard.js";
import type { RequestFacts } from "./model.js";
import type { Outbox } from "./outbox.js";
import type { RequestCloser } from "./requestCloser.js";
import { type ActiveRequest, RequestStage, type RequestTable, verdictOfRequest } from "./requestTable.js";
import { fingerprintOf, SuspectStatus } from "./suspectTable.js";
import type { Trials, TrialStep } from "./trials.js";
import { isIdempotent } from "./verdicts.js";

/** Parts of the request lifecycle that decide together whether a request may run. */
export interface RequestStarterComponents {
    readonly catalogue: () => Catalogue;
    readonly table: RequestTable;
    readonly claims: ClaimStack;
    readonly crashes: CrashDetector;
    readonly trials: Trials;
    readonly runner: AttemptRunner;
    readonly closer: RequestCloser;
    readonly outbox: Outbox;
}

/** Takes a request through its claims to an attempt, or to a refusal. */
export class RequestStarter {
    constructor(private readonly components: RequestStarterComponents) {}

    /** Takes in a request of a caller. */
    accept(facts: RequestFacts, nowMs: number): void {
        if (this.components.table.findRequest(facts.id) !== undefined) {
            return;
        }
        const service = this.components.catalogue().services[facts.service];
        const request = this.components.table.addRequest(
            facts,
            isIdempotent(facts.method, service?.idempotentMethods),
            nowMs,
        );
        if (service === undefined) {
            return this.components.closer.answer(request, answers.unknownServiceAnswer(facts.service), nowMs);
        }
        if (nowMs >= facts.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        if (request.isKeyed) {
            return this.claim(request, nowMs);
        }
        this.run(request, nowMs);
    }

    private claim(request: ActiveRequest, nowMs: number): void {
        const { id, service, idempotencyKey, bodyHash, deadlineAtMs } = request.facts;
        if (bodyHash === undefined || idempotencyKey === undefined) {
            return this.components.closer.answer(request, answers.unhashedBodyAnswer(), nowMs);
        }
        request.stage = RequestStage.claiming;
        this.components.claims.coordinator.start({
            ownerId: id,
            key: `key:${service}:${idempotencyKey}`,
            requestHash: fingerprintOf(request.facts),
            deadlineAtMs,
            lifetimeMs: deadlineAtMs - nowMs + this.components.claims.settings.retentionMs,
            heldPolicy: HeldPolicy.awaitOutcome,
        }, nowMs);
    }

    /** Goes on after the decision on a claim. */
    onClaimDecided({ spec, result }: DecidedClaim, nowMs: number): void {
        const trialRequestId = this.components.trials.requestIdOf(spec.ownerId);
        const request = this.components.table.findRequest(trialRequestId ?? spec.ownerId);
        if (request === undefined) {
            return;
        }
        if (trialRequestId !== undefined) {
            return this.continueTrial(request, this.components.trials.onDecided(request, result, nowMs), nowMs);
        }
        this.components.outbox.count("claims.decided", { service: request.facts.service, result: result.kind });
        if (result.kind === "granted") {
            request.isClaimGranted = true;
            return this.run(request, nowMs);
        }
        if (result.kind === "outcome") {
            return this.components.closer.replay(request, result.outcome, nowMs);
        }
        this.components.closer.answer(request, answers.claimFailureAnswer(result), nowMs);
    }

    /** Starts an attempt, as a trial if the request is a crash suspect. */
    run(request: ActiveRequest, nowMs: number): void {
        request.stage = RequestStage.running;
        switch (this.components.crashes.suspectStatusOf(request.facts, nowMs)) {
            case SuspectStatus.clear:
                return this.components.runner.start(request, nowMs);
            case SuspectStatus.suspect:
                return this.components.trials.begin(request, nowMs);
            case SuspectStatus.refused:
                return this.refuseSuspect(request, nowMs);
        }
    }

    /** Goes on with a crash suspect that waits for its trial. */
    continueTrial(request: ActiveRequest, step: TrialStep, nowMs: number): void {
        switch (step) {
            case "wait":
                return;
            case "refuse":
                return this.refuseSuspect(request, nowMs);
            case "start":
            case "run-normally":
                return this.components.runner.start(request, nowMs);
        }
    }

    private refuseSuspect(request: ActiveRequest, nowMs: number): void {
        this.components.closer.answer(request, answers.crashSuspectAnswer(verdictOfRequest(request)), nowMs);
    }

    /** Whether an attempt of the request may still be written: deadline and claims are checked again after any pause. */
    isDispatchable(request: ActiveRequest, nowMs: number): boolean {
        return nowMs < request.facts.deadlineAtMs
            && (!request.isKeyed || this.components.claims.coordinator.isDispatchable(request.facts.id, nowMs))
            && (request.stage !== RequestStage.trial || this.components.trials.isDispatchable(request, nowMs));
    }

    /** The request was not dispatched, since its deadline or its claim has run out. */
    onStale(request: ActiveRequest, nowMs: number): void {
        if (nowMs >= request.facts.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        this.components.closer.answer(request, answers.staleClaimAnswer(verdictOfRequest(request)), nowMs);
    }

    /** The router refused an attempt. */
    onRefused(request: ActiveRequest, refusal: RouteRefusal, nowMs: number): void {
        if (request.attempts.size === 0) {
            this.components.closer.answer(request, answers.refusalAnswer(refusal, verdictOfRequest(request)), nowMs);
        }
    }

    /** Answers a request whose deadline has passed. */
    onDeadline(request: ActiveRequest, nowMs: number): void {
        const isUnknown = this.components.claims.coordinator.mayHaveRunElsewhere(request.facts.id);
        const verdict = isUnknown ? Verdict.mayHaveRun : verdictOfRequest(request);
        this.components.closer.answer(request, answers.deadlineAnswer(verdict), nowMs);
    }
}
