import type { Catalogue } from "../catalogue/model.js";
import { Verdict } from "../core/verdict.js";
import * as answers from "./answers.js";
import type { AttemptRunner, RouteRefusal } from "./attempts.js";
import { type DecidedClaim, HeldPolicy } from "./claim.js";
import type { ClaimProtocol } from "./claimProtocol.js";
import type { CrashDetector } from "./crashDetector.js";
import type { RequestMetadata } from "./model.js";
import type { Outbox } from "./outbox.js";
import type { RequestCloser } from "./requestCloser.js";
import { type ActiveRequest, RequestStage, type RequestTable, verdictOfRequest } from "./requestTable.js";
import { fingerprintOf, SuspectStatus } from "./suspectTable.js";
import type { Trials, TrialStep } from "./trials.js";
import { isIdempotent } from "./verdicts.js";

/** Components of the request lifecycle that `RequestStarter` uses. */
export interface RequestStarterComponents {
    readonly catalogue: () => Catalogue;
    readonly table: RequestTable;
    readonly claims: ClaimProtocol;
    readonly crashes: CrashDetector;
    readonly trials: Trials;
    readonly runner: AttemptRunner;
    readonly closer: RequestCloser;
    readonly outbox: Outbox;
}

/** Acquires the claims that a request needs, then starts an attempt or refuses the request. */
export class RequestStarter {
    constructor(private readonly components: RequestStarterComponents) {}

    /** Accepts a request of a caller. */
    accept(metadata: RequestMetadata, nowMs: number): void {
        if (this.components.table.findRequest(metadata.id) !== undefined) {
            return;
        }
        const service = this.components.catalogue().services[metadata.service];
        const request = this.components.table.addRequest(
            metadata,
            isIdempotent(metadata.method, service?.idempotentMethods),
            nowMs,
        );
        if (service === undefined) {
            return this.components.closer.answer(request, answers.unknownServiceAnswer(metadata.service), nowMs);
        }
        if (nowMs >= metadata.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        if (request.isKeyed) {
            return this.claim(request, nowMs);
        }
        this.run(request, nowMs);
    }

    private claim(request: ActiveRequest, nowMs: number): void {
        const { id, service, idempotencyKey, bodyHash, deadlineAtMs } = request.metadata;
        if (bodyHash === undefined || idempotencyKey === undefined) {
            return this.components.closer.answer(request, answers.unhashedBodyAnswer(), nowMs);
        }
        request.stage = RequestStage.claiming;
        this.components.claims.coordinator.start({
            ownerId: id,
            key: `key:${service}:${idempotencyKey}`,
            requestHash: fingerprintOf(request.metadata),
            deadlineAtMs,
            lifetimeMs: deadlineAtMs - nowMs + this.components.claims.settings.retentionMs,
            heldPolicy: HeldPolicy.awaitOutcome,
        }, nowMs);
    }

    /** Continues a request whose claim has been decided. */
    onClaimDecided({ spec, result }: DecidedClaim, nowMs: number): void {
        const trialRequestId = this.components.trials.requestIdOf(spec.ownerId);
        const request = this.components.table.findRequest(trialRequestId ?? spec.ownerId);
        if (request === undefined) {
            return;
        }
        if (trialRequestId !== undefined) {
            return this.continueTrial(request, this.components.trials.onDecided(request, result, nowMs), nowMs);
        }
        this.components.outbox.count("claims.decided", { service: request.metadata.service, result: result.kind });
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
        switch (this.components.crashes.suspectStatusOf(request.metadata, nowMs)) {
            case SuspectStatus.clear:
                return this.components.runner.start(request, nowMs);
            case SuspectStatus.suspect:
                return this.components.trials.begin(request, nowMs);
            case SuspectStatus.refused:
                return this.refuseSuspect(request, nowMs);
        }
    }

    /** Continues a crash suspect that is waiting for its trial. */
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

    /** Whether an attempt may still be sent; the deadline or a claim can expire while the process is paused. */
    isDispatchable(request: ActiveRequest, nowMs: number): boolean {
        return nowMs < request.metadata.deadlineAtMs
            && (!request.isKeyed || this.components.claims.coordinator.isDispatchable(request.metadata.id, nowMs))
            && (request.stage !== RequestStage.trial || this.components.trials.isDispatchable(request, nowMs));
    }

    /** Answers a request that was not dispatched because its deadline had passed or a claim was too old. */
    onNotDispatchable(request: ActiveRequest, nowMs: number): void {
        if (nowMs >= request.metadata.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        this.components.closer.answer(request, answers.staleClaimAnswer(verdictOfRequest(request)), nowMs);
    }

    /** Answers a request whose attempt the router refused, unless another attempt is in flight. */
    onRefused(request: ActiveRequest, refusal: RouteRefusal, nowMs: number): void {
        if (request.attempts.size === 0) {
            this.components.closer.answer(request, answers.refusalAnswer(refusal, verdictOfRequest(request)), nowMs);
        }
    }

    /** Answers a request whose deadline has passed. */
    onDeadline(request: ActiveRequest, nowMs: number): void {
        const isUnknown = this.components.claims.coordinator.mayHaveRunElsewhere(request.metadata.id);
        const verdict = isUnknown ? Verdict.mayHaveRun : verdictOfRequest(request);
        this.components.closer.answer(request, answers.deadlineAnswer(verdict), nowMs);
    }
}
