import type { Catalogue } from "../catalogue/model.js";
import type { AttemptId, EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Verdict } from "../core/verdict.js";
import type { EntryEffect, EntryEvent } from "../entry/messages.js";
import type { PeerView, UpstreamView } from "../membership/view.js";
import {
    AttemptFailure,
    AttemptPhase,
    type GeneratedAnswer,
    type LoadReport,
    type RequestFacts,
    type ResponseHead,
    type RetainedResponse,
} from "./model.js";
import { type AttemptRow, type RequestRow, RequestTable, verdictOfRequest } from "./requestTable.js";
import type { RouteDecision, Router } from "./router.js";
import { isIdempotent, isRefusal, statusOfFailure, verdictOfAttempts, verdictOfPhase } from "./verdicts.js";

const maxAttempts = 4;
const retryAfterMs = 1000;

/** Options of `RequestLifecycle`. */
export interface RequestLifecycleOptions {
    readonly selfId: EntryId;
    /** Rises with each start of the entry. */
    readonly incarnation: number;
    readonly router: Router;
    readonly peers: PeerView;
    readonly upstreams: UpstreamView;
    readonly catalogue: () => Catalogue;
    readonly random: RandomSource;
}

/**
 * Requests in flight at one entry, from acceptance to the end of the answer. Drives the router: each call also applies
 * the router's delayed decisions and returns its effects. Events of attempts or requests that have ended are ignored.
 */
export class RequestLifecycle {
    private readonly table = new RequestTable();
    private effects: EntryEffect[] = [];

    constructor(private readonly options: RequestLifecycleOptions) {}

    /** Requests in flight. */
    get inFlight(): number {
        return this.table.size;
    }

    /** Handles `request`, `caller-gone`, `attempt-*` and `peer-message` (`claim.*`, `crash.*`); ignores other kinds. */
    handle(event: EntryEvent, nowMs: number): EntryEffect[] {
        this.apply(event, nowMs);
        return this.takeEffects(nowMs);
    }

    /** Runs timers: deadlines, hedges, the router. */
    tick(nowMs: number): EntryEffect[] {
        this.options.router.tick(nowMs);
        for (const request of this.table.listRequests()) {
            this.runTimers(request, nowMs);
        }
        return this.takeEffects(nowMs);
    }

    /** Applies decisions that the router has made since the last call, e.g. after a `slot.grant` message. */
    applyDecisions(nowMs: number): EntryEffect[] {
        return this.takeEffects(nowMs);
    }

    private apply(event: EntryEvent, nowMs: number): void {
        switch (event.kind) {
            case "request":
                return this.accept(event.request, nowMs);
            case "caller-gone":
                return this.onCallerGone(event.requestId, nowMs);
            case "attempt-sent":
                return this.onSent(event.attemptId);
            case "attempt-head":
                return this.withAttempt(event.attemptId, it => this.onHead(it, event.head, event.load, nowMs));
            case "attempt-overflow":
                return this.withAttempt(event.attemptId, it => this.onOverflow(it, nowMs));
            case "attempt-complete":
                return this.withAttempt(event.attemptId, it => this.onComplete(it, event.retained, nowMs));
            case "attempt-failed":
                return this.withAttempt(event.attemptId, it => this.onFailed(it, event.failure, nowMs));
        }
    }

    private withAttempt(id: AttemptId, apply: (attempt: AttemptRow) => void): void {
        const attempt = this.table.findAttempt(id);
        if (attempt?.target !== undefined) {
            apply(attempt);
        }
    }

    private takeEffects(nowMs: number): EntryEffect[] {
        // A decision can end an attempt, which can free a slot for the next decision.
        for (let decisions = this.options.router.takeDecisions(); decisions.length > 0;) {
            for (const { attemptId, decision } of decisions) {
                const attempt = this.table.findAttempt(attemptId);
                if (attempt !== undefined && attempt.target === undefined) {
                    this.applyDecision(attempt, decision, nowMs);
                }
            }
            decisions = this.options.router.takeDecisions();
        }
        const effects = [...this.effects, ...this.options.router.takeEffects()];
        this.effects = [];
        return effects;
    }

    private accept(facts: RequestFacts, nowMs: number): void {
        if (this.table.findRequest(facts.id) !== undefined) {
            return;
        }
        const service = this.options.catalogue().services[facts.service];
        const request = this.table.addRequest(facts, isIdempotent(facts, service?.idempotentMethods), nowMs);
        if (service === undefined) {
            return this.answer(request, {
                status: 404,
                verdict: Verdict.notRun,
                reason: "unknown-service",
                detail: `The catalogue has no service ${facts.service}.`,
            }, nowMs);
        }
        this.startAttempt(request, nowMs);
    }

    private startAttempt(request: RequestRow, nowMs: number): void {
        const attempt = this.table.addAttempt(request, nowMs);
        const decision = this.options.router.route(attempt.id, request.facts, request.triedUpstreamIds, nowMs);
        this.applyDecision(attempt, decision, nowMs);
    }

    private applyDecision(attempt: AttemptRow, decision: RouteDecision, nowMs: number): void {
        switch (decision.kind) {
            case "wait":
                return;
            case "refuse":
                this.table.removeAttempt(attempt);
                return this.onRefused(attempt.request, decision, nowMs);
            case "upstream":
                return this.dispatch(attempt, decision, nowMs);
        }
    }

    private onRefused(
        request: RequestRow,
        refusal: Extract<RouteDecision, { readonly kind: "refuse"; }>,
        nowMs: number,
    ): void {
        if (request.attempts.size > 0) {
            return;
        }
        this.answer(request, {
            status: 503,
            verdict: verdictOfRequest(request),
            reason: refusal.reason,
            detail: refusal.detail,
            retryAfterMs: refusal.retryAfterMs,
        }, nowMs);
    }

    private dispatch(
        attempt: AttemptRow,
        decision: Extract<RouteDecision, { readonly kind: "upstream"; }>,
        nowMs: number,
    ): void {
        const { request } = attempt;
        const { upstreamId, address, incarnation } = decision;
        attempt.target = { attemptId: attempt.id, upstreamId, address, incarnation };
        attempt.dispatchedAtMs = nowMs;
        attempt.isBuffered = request.isIdempotent || request.facts.idempotencyKey !== undefined;
        request.triedUpstreamIds.push(upstreamId);
        this.effects.push({
            kind: "dispatch",
            requestId: request.facts.id,
            target: attempt.target,
            timeoutMs: Math.max(0, request.facts.deadlineAtMs - nowMs),
            isBuffered: attempt.isBuffered,
        });
    }

    private onSent(attemptId: AttemptId): void {
        const attempt = this.table.findAttempt(attemptId);
        if (attempt === undefined) {
            this.effects.push({ kind: "cancel-attempt", attemptId });
        }
        else if (attempt.phase === AttemptPhase.connecting) {
            attempt.phase = AttemptPhase.sent;
        }
    }

    private onHead(attempt: AttemptRow, head: ResponseHead, load: LoadReport | undefined, nowMs: number): void {
        if (attempt.head !== undefined) {
            return;
        }
        attempt.head = head;
        attempt.load = load;
        if (isRefusal(head)) {
            return this.onUpstreamRefusal(attempt, nowMs);
        }
        attempt.phase = AttemptPhase.responding;
        if (!attempt.isBuffered) {
            this.forward(attempt, nowMs);
        }
    }

    private onUpstreamRefusal(attempt: AttemptRow, nowMs: number): void {
        const { request } = attempt;
        this.effects.push({ kind: "cancel-attempt", attemptId: attempt.id });
        this.endAttempt(attempt, undefined, nowMs);
        this.retryOrAnswer(request, Verdict.notRun, request.facts.isBodyReplayable, nowMs);
    }

    private onOverflow(attempt: AttemptRow, nowMs: number): void {
        if (attempt.request.forwardedId === undefined && attempt.head !== undefined) {
            this.forward(attempt, nowMs);
        }
    }

    private onComplete(attempt: AttemptRow, _retained: RetainedResponse | undefined, nowMs: number): void {
        const { request } = attempt;
        attempt.phase = AttemptPhase.complete;
        if (request.forwardedId === undefined) {
            this.forward(attempt, nowMs);
        }
        this.endAttempt(attempt, undefined, nowMs);
        if (request.forwardedId === attempt.id) {
            this.table.removeRequest(request);
        }
    }

    private onFailed(attempt: AttemptRow, failure: AttemptFailure, nowMs: number): void {
        const { request } = attempt;
        const verdict = verdictOfPhase(attempt.phase);
        request.endedVerdict = verdictOfAttempts([request.endedVerdict, verdict]);
        request.lastFailure = failure;
        this.endAttempt(attempt, failure, nowMs);
        if (request.forwardedId === attempt.id) {
            this.effects.push({ kind: "destroy-caller", requestId: request.facts.id, reason: failure });
            this.table.removeRequest(request);
            return;
        }
        const isBodyIntact = verdict === Verdict.notRun || request.facts.isBodyReplayable;
        this.retryOrAnswer(request, verdict, isBodyIntact, nowMs);
    }

    private retryOrAnswer(request: RequestRow, verdict: Verdict, isBodyIntact: boolean, nowMs: number): void {
        if (request.attempts.size > 0) {
            return;
        }
        const mayRunAgain = request.isIdempotent
            || (verdict === Verdict.notRun && request.endedVerdict === Verdict.notRun);
        if (mayRunAgain && isBodyIntact && this.takeRetry(request, nowMs)) {
            return this.startAttempt(request, nowMs);
        }
        this.answerFailure(request, nowMs);
    }

    private takeRetry(request: RequestRow, nowMs: number): boolean {
        return request.attemptCount < maxAttempts
            && nowMs < request.facts.deadlineAtMs
            && this.options.router.takeRetry(request.facts.service, nowMs);
    }

    private answerFailure(request: RequestRow, nowMs: number): void {
        const verdict = verdictOfRequest(request);
        const failure = request.lastFailure;
        this.answer(request, {
            status: failure === undefined ? 503 : statusOfFailure(failure, verdict),
            verdict,
            reason: failure ?? "upstream-refused",
            detail: failure === undefined
                ? "The upstream refused the request before running it."
                : `The last attempt failed: ${failure}.`,
            ...(verdict === Verdict.notRun ? { retryAfterMs } : {}),
        }, nowMs);
    }

    private forward(attempt: AttemptRow, nowMs: number): void {
        const { request } = attempt;
        request.forwardedId = attempt.id;
        this.effects.push({ kind: "forward", requestId: request.facts.id, attemptId: attempt.id });
        this.cancelAttempts(request, nowMs, attempt);
    }

    private answer(request: RequestRow, answer: GeneratedAnswer, nowMs: number): void {
        this.cancelAttempts(request, nowMs);
        this.table.removeRequest(request);
        this.effects.push({ kind: "answer", requestId: request.facts.id, answer });
    }

    private cancelAttempts(request: RequestRow, nowMs: number, kept?: AttemptRow): void {
        for (const attempt of [...request.attempts.values()]) {
            if (attempt === kept) {
                continue;
            }
            if (attempt.target === undefined) {
                this.table.removeAttempt(attempt);
                this.options.router.abandon(attempt.id, nowMs);
                continue;
            }
            this.effects.push({ kind: "cancel-attempt", attemptId: attempt.id });
            request.endedVerdict = verdictOfAttempts([request.endedVerdict, verdictOfPhase(attempt.phase)]);
            this.endAttempt(attempt, AttemptFailure.cancelled, nowMs);
        }
    }

    private endAttempt(attempt: AttemptRow, failure: AttemptFailure | undefined, nowMs: number): void {
        this.table.removeAttempt(attempt);
        this.options.router.finish({
            attemptId: attempt.id,
            service: attempt.request.facts.service,
            upstreamId: attempt.target?.upstreamId ?? "",
            latencyMs: nowMs - attempt.dispatchedAtMs,
            failure,
            status: attempt.head?.status,
            load: attempt.load,
        }, nowMs);
    }

    private onCallerGone(requestId: string, nowMs: number): void {
        const request = this.table.findRequest(requestId);
        if (request !== undefined) {
            this.cancelAttempts(request, nowMs);
            this.table.removeRequest(request);
        }
    }

    private runTimers(request: RequestRow, nowMs: number): void {
        if (request.forwardedId !== undefined) {
            return;
        }
        if (nowMs >= request.facts.deadlineAtMs) {
            return this.onDeadline(request, nowMs);
        }
        this.hedgeIfSlow(request, nowMs);
    }

    private onDeadline(request: RequestRow, nowMs: number): void {
        const verdict = verdictOfRequest(request);
        this.answer(request, {
            status: verdict === Verdict.notRun ? 503 : 504,
            verdict,
            reason: "deadline",
            detail: "The deadline of the request has passed.",
            ...(verdict === Verdict.notRun ? { retryAfterMs } : {}),
        }, nowMs);
    }

    private hedgeIfSlow(request: RequestRow, nowMs: number): void {
        if (!request.isIdempotent || request.hasHedged || request.attempts.size !== 1) {
            return;
        }
        const [attempt] = request.attempts.values();
        const delayMs = this.options.router.hedgeDelayMs(request.facts, nowMs);
        if (attempt.target === undefined || delayMs === undefined || nowMs - attempt.dispatchedAtMs < delayMs) {
            return;
        }
        if (request.facts.isBodyReplayable && this.takeRetry(request, nowMs)) {
            request.hasHedged = true;
            this.startAttempt(request, nowMs);
        }
    }
}
