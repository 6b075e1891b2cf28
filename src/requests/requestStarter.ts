import type { Catalogue } from "../catalogue/model.js";
import { Verdict } from "../core/verdict.js";
import * as answers from "./answers.js";
import type { AttemptRunner, RouteRefusal } from "./attempts.js";
import { type DecidedClaim, HeldPolicy } from "./claim.js";
import type { ClaimStack } from "./claimStack.js";
import type { CrashGuard } from "./crashGuard.js";
import type { RequestFacts } from "./model.js";
import type { Outbox } from "./outbox.js";
import type { RequestCloser } from "./requestCloser.js";
import { type RequestRow, RequestStage, type RequestTable, verdictOfRequest } from "./requestTable.js";
import { fingerprintOf, Standing } from "./suspectTable.js";
import type { Trials, TrialStep } from "./trials.js";
import { isIdempotent } from "./verdicts.js";

/** Parts of the request lifecycle that decide together whether a request may run. */
export interface RequestStarterParts {
    readonly catalogue: () => Catalogue;
    readonly table: RequestTable;
    readonly claims: ClaimStack;
    readonly crashes: CrashGuard;
    readonly trials: Trials;
    readonly runner: AttemptRunner;
    readonly closer: RequestCloser;
    readonly outbox: Outbox;
}

/** Takes a request through its claims to an attempt, or to a refusal. */
export class RequestStarter {
    constructor(private readonly parts: RequestStarterParts) {}

    /** Takes in a request of a caller. */
    accept(facts: RequestFacts, nowMs: number): void {
        if (this.parts.table.findRequest(facts.id) !== undefined) {
            return;
        }
        const service = this.parts.catalogue().services[facts.service];
        const request = this.parts.table.addRequest(
            facts,
            isIdempotent(facts.method, service?.idempotentMethods),
            nowMs,
        );
        if (service === undefined) {
            return this.parts.closer.answer(request, answers.unknownServiceAnswer(facts.service), nowMs);
        }
        if (nowMs >= facts.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        if (request.isKeyed) {
            return this.claim(request, nowMs);
        }
        this.run(request, nowMs);
    }

    private claim(request: RequestRow, nowMs: number): void {
        const { id, service, idempotencyKey, bodyHash, deadlineAtMs } = request.facts;
        if (bodyHash === undefined || idempotencyKey === undefined) {
            return this.parts.closer.answer(request, answers.unhashedBodyAnswer(), nowMs);
        }
        request.stage = RequestStage.claiming;
        this.parts.claims.coordinator.start({
            ownerId: id,
            key: `key:${service}:${idempotencyKey}`,
            requestHash: fingerprintOf(request.facts),
            deadlineAtMs,
            lifetimeMs: deadlineAtMs - nowMs + this.parts.claims.settings.retentionMs,
            heldPolicy: HeldPolicy.awaitOutcome,
        }, nowMs);
    }

    /** Goes on after the decision on a claim. */
    onClaimDecided({ order, result }: DecidedClaim, nowMs: number): void {
        const trialRequestId = this.parts.trials.requestIdOf(order.ownerId);
        const request = this.parts.table.findRequest(trialRequestId ?? order.ownerId);
        if (request === undefined) {
            return;
        }
        if (trialRequestId !== undefined) {
            return this.continueTrial(request, this.parts.trials.onDecided(request, result, nowMs), nowMs);
        }
        this.parts.outbox.count("claims.decided", { service: request.facts.service, result: result.kind });
        if (result.kind === "granted") {
            request.isClaimGranted = true;
            return this.run(request, nowMs);
        }
        if (result.kind === "outcome") {
            return this.parts.closer.replay(request, result.outcome, nowMs);
        }
        this.parts.closer.answer(request, answers.claimFailureAnswer(result), nowMs);
    }

    /** Starts an attempt, as a trial if the request is a crash suspect. */
    run(request: RequestRow, nowMs: number): void {
        request.stage = RequestStage.running;
        switch (this.parts.crashes.standingOf(request.facts, nowMs)) {
            case Standing.clear:
                return this.parts.runner.start(request, nowMs);
            case Standing.suspect:
                return this.parts.trials.begin(request, nowMs);
            case Standing.refused:
                return this.refuseSuspect(request, nowMs);
        }
    }

    /** Goes on with a crash suspect that waits for its trial. */
    continueTrial(request: RequestRow, step: TrialStep, nowMs: number): void {
        switch (step) {
            case "wait":
                return;
            case "refuse":
                return this.refuseSuspect(request, nowMs);
            case "start":
            case "run-normally":
                return this.parts.runner.start(request, nowMs);
        }
    }

    private refuseSuspect(request: RequestRow, nowMs: number): void {
        this.parts.closer.answer(request, answers.crashSuspectAnswer(verdictOfRequest(request)), nowMs);
    }

    /** Whether an attempt of the request may still be written: deadline and claims are checked again after any pause. */
    isDispatchable(request: RequestRow, nowMs: number): boolean {
        return nowMs < request.facts.deadlineAtMs
            && (!request.isKeyed || this.parts.claims.coordinator.isDispatchable(request.facts.id, nowMs))
            && (request.stage !== RequestStage.trial || this.parts.trials.isDispatchable(request, nowMs));
    }

    /** The request was not dispatched, since its deadline or its claim has run out. */
    onStale(request: RequestRow, nowMs: number): void {
        if (nowMs >= request.facts.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        this.parts.closer.answer(request, answers.staleClaimAnswer(verdictOfRequest(request)), nowMs);
    }

    /** The router refused an attempt. */
    onRefused(request: RequestRow, refusal: RouteRefusal, nowMs: number): void {
        if (request.attempts.size === 0) {
            this.parts.closer.answer(request, answers.refusalAnswer(refusal, verdictOfRequest(request)), nowMs);
        }
    }

    /** Answers a request whose deadline has passed. */
    onDeadline(request: RequestRow, nowMs: number): void {
        const isUnknown = this.parts.claims.coordinator.mayHaveRunElsewhere(request.facts.id);
        const verdict = isUnknown ? Verdict.mayHaveRun : verdictOfRequest(request);
        this.parts.closer.answer(request, answers.deadlineAnswer(verdict), nowMs);
    }
}
