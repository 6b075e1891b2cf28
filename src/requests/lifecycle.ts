import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Verdict } from "../core/verdict.js";
import type { EntryEffect, EntryEvent, PeerMessage } from "../entry/messages.js";
import type { PeerView, UpstreamView } from "../membership/view.js";
import * as answers from "./answers.js";
import { AttemptRunner } from "./attempts.js";
import { ClaimProtocol, type ClaimSettings, defaultClaimSettings } from "./claimProtocol.js";
import { CrashDetector } from "./crashDetector.js";
import { AttemptFailure, AttemptPhase, type LoadReport, type ResponseHead, type RetainedResponse } from "./model.js";
import { Outbox } from "./outbox.js";
import { RequestCloser } from "./requestCloser.js";
import { RequestStarter } from "./requestStarter.js";
import {
    type ActiveAttempt,
    type ActiveRequest,
    RequestStage,
    RequestTable,
    verdictOfRequest,
} from "./requestTable.js";
import type { Router } from "./router.js";
import { SlowAttempts } from "./slowAttempts.js";
import { Trials } from "./trials.js";
import { isRefusal } from "./verdicts.js";

/** Options of `RequestLifecycle`. */
export interface RequestLifecycleOptions {
    readonly selfId: EntryId;
    /** Increases with each start of the entry. */
    readonly incarnation: number;
    readonly router: Router;
    readonly peers: PeerView;
    readonly upstreams: UpstreamView;
    readonly catalogue: () => Catalogue;
    readonly random: RandomSource;
    readonly claims?: Partial<ClaimSettings>;
    /**
     * First catalogue revision that a quorum of control VMs confirmed to this process; undefined before that. No
     * earlier incarnation granted claims under an entry list with a higher revision.
     */
    readonly firstControlRevision?: () => number | undefined;
}

/**
 * Handles the requests of one entry from acceptance to the end of the answer. Drives the router: each call also applies
 * the router's pending decisions and returns its effects. Events of attempts or requests that have ended are ignored.
 */
export class RequestLifecycle {
    private readonly table = new RequestTable();
    private readonly outbox = new Outbox();
    private readonly claims: ClaimProtocol;
    private readonly crashes: CrashDetector;
    private readonly trials: Trials;
    private readonly runner: AttemptRunner;
    private readonly closer: RequestCloser;
    private readonly starter: RequestStarter;
    private readonly slowAttempts: SlowAttempts;

    constructor(private readonly options: RequestLifecycleOptions) {
        const { table, outbox } = this;
        const settings = { ...defaultClaimSettings, ...options.claims };
        this.claims = new ClaimProtocol({ ...options, settings, outbox });
        this.crashes = new CrashDetector(options.peers, options.upstreams, outbox);
        this.trials = new Trials(this.claims.coordinator, this.crashes);
        this.runner = new AttemptRunner(table, options.router, outbox, {
            isDispatchable: (request, nowMs) => this.starter.isDispatchable(request, nowMs),
            onRefused: (request, refusal, nowMs) => this.starter.onRefused(request, refusal, nowMs),
            onNotDispatchable: (request, nowMs) => this.starter.onNotDispatchable(request, nowMs),
        });
        this.closer = new RequestCloser(table, this.runner, this.claims.coordinator, this.trials, outbox);
        this.starter = new RequestStarter({
            catalogue: options.catalogue,
            table,
            claims: this.claims,
            crashes: this.crashes,
            trials: this.trials,
            runner: this.runner,
            closer: this.closer,
            outbox,
        });
        this.slowAttempts = new SlowAttempts(options.router, this.runner, outbox);
    }

    /** Number of requests in flight. */
    get inFlight(): number {
        return this.table.size;
    }

    /**
     * Handles `request`, `caller-gone`, `attempt-*`, `connection-checked` and `peer-message` (`claim.*`, `crash.*`);
     * ignores other kinds.
     */
    handle(event: EntryEvent, nowMs: number): EntryEffect[] {
        this.apply(event, nowMs);
        return this.drainPendingDecisions(nowMs);
    }

    /**
     * Runs the timers of the router, claims, crash checks, deadlines, trials, hedges and silence timeouts. They expire
     * only during a call, so it must be called every few milliseconds.
     */
    tick(nowMs: number): EntryEffect[] {
        this.options.router.tick(nowMs);
        this.claims.tick(nowMs);
        this.crashes.tick(nowMs);
        for (const request of this.table.listRequests()) {
            this.runTimers(request, nowMs);
        }
        return this.drainPendingDecisions(nowMs);
    }

    /** Applies the pending decisions, e.g. of the router after a `slot.grant` message, and returns the effects. */
    applyPendingDecisions(nowMs: number): EntryEffect[] {
        return this.drainPendingDecisions(nowMs);
    }

    private apply(event: EntryEvent, nowMs: number): void {
        switch (event.kind) {
            case "request":
                return this.starter.accept(event.request, nowMs);
            case "caller-gone":
                return this.onCallerGone(event.requestId, nowMs);
            case "attempt-sent":
                return this.onSent(event.attemptId, nowMs);
            case "attempt-head":
                return this.withAttempt(
                    event.attemptId,
                    activeAttempt => this.onHead(activeAttempt, event.head, event.load, nowMs),
                );
            case "attempt-overflow":
                return this.withAttempt(event.attemptId, activeAttempt => this.onOverflow(activeAttempt, nowMs));
            case "attempt-complete":
                return this.withAttempt(
                    event.attemptId,
                    activeAttempt => this.onComplete(activeAttempt, event.retained, nowMs),
                );
            case "attempt-failed":
                return this.withAttempt(
                    event.attemptId,
                    activeAttempt => this.onFailed(activeAttempt, event.failure, nowMs),
                );
            case "connection-checked":
                return this.crashes.onConnectionChecked(event.checkId, event.isAccepted, nowMs);
            case "peer-message":
                return this.onPeerMessage(event.from, event.message, nowMs);
        }
    }

    private withAttempt(id: AttemptId, apply: (attempt: ActiveAttempt) => void): void {
        const attempt = this.table.findAttempt(id);
        if (attempt?.target !== undefined) {
            apply(attempt);
        }
    }

    private onPeerMessage(from: EntryId, message: PeerMessage, nowMs: number): void {
        if (message.method.startsWith("claim.")) {
            this.claims.handle(from, message, nowMs);
        }
        else if (message.method.startsWith("crash.")) {
            this.crashes.handle(from, message, nowMs);
        }
    }

    /** Applies pending decisions of router, claims and crash checks until none is left, and returns the effects. */
    private drainPendingDecisions(nowMs: number): EntryEffect[] {
        for (let hasProgress = true; hasProgress;) {
            this.runner.applyDecisions(nowMs);
            const decided = this.claims.coordinator.takeDecided();
            const checkedRequestIds = this.crashes.takeCheckedRequestIds();
            decided.forEach(decidedClaim => this.starter.onClaimDecided(decidedClaim, nowMs));
            checkedRequestIds.forEach(id => this.onCheckEnded(id, nowMs));
            hasProgress = decided.length + checkedRequestIds.length > 0;
        }
        return [...this.outbox.take(), ...this.options.router.takeEffects()];
    }

    private onSent(attemptId: AttemptId, nowMs: number): void {
        const attempt = this.table.findAttempt(attemptId);
        if (attempt === undefined) {
            return this.runner.emitCancel(attemptId);
        }
        if (attempt.phase !== AttemptPhase.connecting) {
            return;
        }
        if (!this.starter.isDispatchable(attempt.request, nowMs)) {
            this.runner.cancel(attempt, nowMs);
            return this.starter.onNotDispatchable(attempt.request, nowMs);
        }
        attempt.phase = AttemptPhase.sent;
    }

    private onHead(attempt: ActiveAttempt, head: ResponseHead, load: LoadReport | undefined, nowMs: number): void {
        if (attempt.head !== undefined) {
            return;
        }
        attempt.head = head;
        attempt.load = load;
        if (isRefusal(head)) {
            return this.onUpstreamRefusal(attempt, nowMs);
        }
        attempt.phase = AttemptPhase.responding;
        this.slowAttempts.onHead(attempt, nowMs);
        if (!attempt.isBuffered) {
            this.closer.forward(attempt, nowMs);
        }
    }

    private onUpstreamRefusal(attempt: ActiveAttempt, nowMs: number): void {
        const { request } = attempt;
        request.isBodyAvailable &&= request.metadata.isBodyReplayable;
        this.runner.emitCancel(attempt.id);
        this.runner.finishAttempt(attempt, undefined, nowMs, Verdict.notRun);
        this.retryOrAnswer(request, nowMs);
    }

    private onOverflow(attempt: ActiveAttempt, nowMs: number): void {
        const { forwardedAttemptId, isCallerGone } = attempt.request;
        // Without a caller, the attempt continues until the deadline: a slow response can still be retained.
        if (forwardedAttemptId === undefined && !isCallerGone && attempt.head !== undefined) {
            this.closer.forward(attempt, nowMs);
        }
    }

    private onComplete(attempt: ActiveAttempt, retained: RetainedResponse | undefined, nowMs: number): void {
        const { request } = attempt;
        attempt.phase = AttemptPhase.complete;
        this.crashes.onResponseComplete(request.metadata, nowMs);
        if (request.forwardedAttemptId === undefined) {
            this.closer.forward(attempt, nowMs);
        }
        this.runner.finishAttempt(attempt, undefined, nowMs);
        this.closer.complete(attempt, retained, nowMs);
    }

    private onFailed(attempt: ActiveAttempt, failure: AttemptFailure, nowMs: number): void {
        const { request } = attempt;
        const wasSent = attempt.phase !== AttemptPhase.connecting;
        request.lastFailure = failure;
        request.isBodyAvailable &&= !wasSent || request.metadata.isBodyReplayable;
        this.runner.finishAttempt(attempt, failure, nowMs);
        const isForwarded = request.forwardedAttemptId === attempt.id;
        if (wasSent && isConnectionLoss(failure) && attempt.target !== undefined) {
            request.pendingChecks++;
            this.crashes.onConnectionLost(request.metadata, attempt.target, nowMs);
        }
        if (isForwarded) {
            return this.closer.truncate(request, failure, nowMs);
        }
        this.retryOrAnswer(request, nowMs);
    }

    private onCheckEnded(requestId: string, nowMs: number): void {
        const request = this.table.findRequest(requestId);
        if (request !== undefined && request.pendingChecks > 0) {
            request.pendingChecks--;
            this.retryOrAnswer(request, nowMs);
        }
    }

    private retryOrAnswer(request: ActiveRequest, nowMs: number): void {
        if (request.attempts.size > 0 || request.pendingChecks > 0) {
            return;
        }
        if (request.stage === RequestStage.trial) {
            this.trials.finishTrial(request, nowMs);
        }
        const mayRunAgain = request.isIdempotent || request.endedVerdict === Verdict.notRun;
        if (
            mayRunAgain && request.isBodyAvailable && !request.isCallerGone &&
            this.runner.takeRetry(request, "failed", nowMs)
        ) {
            return this.starter.run(request, nowMs);
        }
        this.closer.answer(request, answers.failureAnswer(request.lastFailure, verdictOfRequest(request)), nowMs);
    }

    private onCallerGone(requestId: string, nowMs: number): void {
        const request = this.table.findRequest(requestId);
        if (request !== undefined && !request.isCallerGone) {
            this.closer.abandon(request, nowMs);
        }
    }

    private runTimers(request: ActiveRequest, nowMs: number): void {
        if (request.forwardedAttemptId !== undefined) {
            return;
        }
        if (nowMs >= request.metadata.deadlineAtMs) {
            return this.starter.onDeadline(request, nowMs);
        }
        if (this.trials.isWaiting(request)) {
            return this.starter.continueTrial(request, this.trials.recheck(request, nowMs), nowMs);
        }
        this.slowAttempts.runTimers(request, nowMs);
    }
}

function isConnectionLoss(failure: AttemptFailure): boolean {
    return failure === AttemptFailure.reset || failure === AttemptFailure.truncated;
}
