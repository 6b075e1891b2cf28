import type { Clock } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Verdict } from "../core/verdict.js";
import type { Route, RoutedService } from "../directory/model.js";
import type { BufferBudget } from "../entry/bufferBudget.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { GeneratedAnswer } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import type { DurationEstimates } from "./durationEstimates.js";
import { type AttemptEnd, GatewayAttempt, isReusable, toUseOutcome } from "./gatewayAttempt.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import type { GatewayLogger } from "./options.js";
import type { LeasedPlacement, Placer } from "./placer.js";
import { drawRetryAfterMs, RefusalCause, type RefusedRequest } from "./refusals.js";
import { RequestTimes } from "./requestTimes.js";
import type { ResendBudget } from "./resendBudget.js";
import { UploadBody, UploadProgress } from "./uploadBody.js";
import type { UpstreamBoard, UpstreamRow } from "./upstreamBoard.js";

/** The upstream stops work this long after the route's timeout, so that its own answer comes before the entry's. */
const upstreamGraceMs = 80;
/** The entry answers this long after the route's timeout when the upstream has not. */
const answerGraceMs = 180;
/** A request with less time than this is not sent any more. */
const minRemainingMs = 10;

const msPerSecond = 1000;

/** What requests work with. */
export interface RequestParts {
    readonly placer: Placer;
    readonly board: UpstreamBoard;
    readonly resends: ResendBudget;
    readonly durations: DurationEstimates;
    readonly budget: BufferBudget;
    readonly dialect: Dialect;
    readonly metrics: GatewayMetrics;
    readonly logger: GatewayLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/** Facts of a request that do not change. */
export interface RequestPlan {
    readonly exchange: GatewayExchange;
    readonly requestId: string | undefined;
    readonly route: Route;
    readonly service: RoutedService;
    readonly deadlineAtMs: number;
    /** How long the caller has waited when the request arrived, with the requests that were refused before. */
    readonly callerAgeMs: number;
}

/** One request of a caller on its way: placing, attempts, resends and the answer. */
export class GatewayRequest {
    private readonly excluded = new Set<UpstreamId>();
    private readonly times: RequestTimes;
    private attempt: GatewayAttempt | undefined;
    /** A failure of an upstream that is delivered when nothing better comes. */
    private held: GatewayAttempt | undefined;
    private mayHaveRun = false;
    private attemptCount = 0;

    constructor(private readonly plan: RequestPlan, private readonly parts: RequestParts) {
        const { route, exchange, deadlineAtMs, callerAgeMs } = plan;
        this.times = new RequestTimes(route, exchange.receivedAtMs, callerAgeMs, deadlineAtMs);
    }

    /** Runs the request to its end. */
    async run(): Promise<void> {
        const timer = setTimeout(() => this.onTimeout(), this.times.timeoutAtMs + answerGraceMs - this.nowMs());
        this.parts.resends.countRequest(this.plan.service.name, this.nowMs());
        try {
            let goesOn = true;
            while (goesOn && !this.plan.exchange.isEnded) {
                goesOn = await this.tryOnce();
            }
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** The caller has closed its connection. Work that may be repeated is stopped; other work is completed. */
    onCallerGone(): void {
        this.parts.metrics.callersGone.inc();
        this.log("caller left", { mayHaveRun: this.mayHaveRun });
        if (this.attempt?.mayHaveRun === false || this.isEndUseless()) {
            this.attempt?.cancel();
        }
    }

    /** Returns whether it helps nobody that an upstream goes on after the caller has left or was answered. */
    private isEndUseless(): boolean {
        return this.plan.route.isIdempotent || this.upload?.progress === UploadProgress.arriving;
    }

    private get upload(): UploadBody | undefined {
        const { body } = this.plan.exchange;
        return body instanceof UploadBody ? body : undefined;
    }

    /** Returns whether another upstream can get the same body. */
    private isBodyAtHand(): boolean {
        return this.plan.exchange.body.buffer !== undefined || this.upload?.progress === UploadProgress.untouched;
    }

    /** Returns whether another attempt follows. */
    private async tryOnce(): Promise<boolean> {
        const placement = await this.findPlacement();
        if (this.plan.exchange.isEnded) {
            placement?.connection.release();
            return false;
        }
        if (placement === undefined) {
            this.giveUp("no-room", "No upstream had room for the request in time.");
            return false;
        }
        const end = await this.send(placement);
        return this.handleEnd(placement, end);
    }

    private findPlacement(): Promise<LeasedPlacement | undefined> {
        const { route, service, exchange } = this.plan;
        const usualMs = this.parts.durations.get(route.name, this.times.targetLatencyMs);
        const startMs = this.attemptCount === 0 ? exchange.receivedAtMs : this.nowMs();
        return this.parts.placer.place({
            service,
            excluded: this.excluded,
            priority: route.priority,
            ...this.times.planWait(startMs, usualMs),
            isOver: () => exchange.isEnded,
        });
    }

    private async send({ row, cost, connection }: LeasedPlacement): Promise<AttemptEnd> {
        const { exchange, requestId, deadlineAtMs, route, service } = this.plan;
        const { dialect, budget } = this.parts;
        const sentAtMs = this.nowMs();
        const remainingMs = Math.floor(Math.min(deadlineAtMs, this.times.timeoutAtMs + upstreamGraceMs) - sentAtMs);
        const { id } = row.registration;
        const headers = exchange.attemptHeaders(id, remainingMs);
        const attempt = new GatewayAttempt({ exchange, requestId, headers }, dialect, budget);
        this.attempt = attempt;
        this.attemptCount++;
        if (this.attemptCount === 1) {
            this.parts.metrics.placementSeconds.observe((sentAtMs - exchange.receivedAtMs) / msPerSecond);
        }
        row.openSentAtMs.add(sentAtMs);
        row.isUsed = true;
        this.log("placed", {
            upstream: id,
            zone: row.registration.availabilityZone,
            attempt: this.attemptCount,
            cost,
            load: row.load,
            loadAgeMs: Math.round(sentAtMs - row.loadAskedAtMs),
            remainingMs,
        });
        const end = await attempt.start(connection.dispatcher);
        this.noteLoad(row, attempt);
        if (!isReusable(end)) {
            connection.discard();
        }
        else if (!this.parts.placer.offer(service.name, row, connection)) {
            connection.release();
        }
        if (end.kind === "delivered") {
            const durationMs = this.nowMs() - sentAtMs;
            this.parts.durations.note(route.name, durationMs, cost);
            this.log("delivered", {
                upstream: id,
                status: end.status,
                durationMs: Math.round(durationMs),
                cost,
                load: row.load,
            });
        }
        row.openSentAtMs.delete(sentAtMs);
        this.mayHaveRun ||= attempt.mayHaveRun;
        return end;
    }

    /** The load that an answer tells is the newest there is. */
    private noteLoad(row: UpstreamRow, attempt: GatewayAttempt): void {
        const load = attempt.answerHead === undefined ? undefined : this.parts.dialect.readLoad(attempt.answerHead);
        if (load !== undefined) {
            row.load = load;
            row.loadAskedAtMs = this.nowMs();
        }
    }

    private handleEnd({ row }: LeasedPlacement, end: AttemptEnd): boolean {
        const { exchange, service } = this.plan;
        const { metrics } = this.parts;
        metrics.attempts.inc({ end: end.kind });
        const isOwnDoing = "failure" in end && (end.failure === "cancelled" || this.upload?.isSpoiled === true);
        if (!isOwnDoing && this.parts.board.noteOutcome(row, toUseOutcome(end), this.nowMs())) {
            metrics.ejections.inc({ service: service.name });
            this.log("ejected an upstream", { upstream: row.registration.id, failuresInRow: row.failuresInRow });
        }
        if (end.kind === "delivered" || exchange.isEnded) {
            return false;
        }
        this.log("attempt ended", { upstream: row.registration.id, ...end, mayHaveRun: this.mayHaveRun });
        if (end.kind === "cut-off") {
            exchange.destroyCaller();
            return false;
        }
        if (this.upload?.progress === UploadProgress.tooLarge) {
            this.answer(413, "body-too-large", "The request body is too large.");
            return false;
        }
        if (end.kind === "failed-answer") {
            this.held = this.attempt;
        }
        this.excluded.add(row.registration.id);
        if (this.mayTryAgain()) {
            return true;
        }
        this.giveUp("attempt-failed", "The upstream failed, and the request cannot be sent again.");
        return false;
    }

    private mayTryAgain(): boolean {
        const { route, service } = this.plan;
        const { resends, metrics } = this.parts;
        const isSafe = route.isIdempotent || !this.mayHaveRun;
        const isPossible = isSafe && this.attemptCount < route.maxAttempts && this.isBodyAtHand() &&
            this.nowMs() < this.times.timeoutAtMs - minRemainingMs;
        if (!isPossible) {
            return false;
        }
        const isWithinBudget = resends.take(service.name, this.nowMs());
        (isWithinBudget ? metrics.resends : metrics.resendsDenied).inc({ service: service.name });
        return isWithinBudget;
    }

    /** Answers with the best there is: an upstream's failure, or a refusal, or a failure of the entry. */
    private giveUp(reason: string, detail: string): void {
        if (this.held !== undefined) {
            this.held.deliver();
            return;
        }
        this.answer(this.mayHaveRun ? 502 : 503, reason, detail);
    }

    private onTimeout(): void {
        this.answerTimeout();
        // The upstream has stopped by now; one that still sends would go on without end.
        this.attempt?.cancel();
    }

    private answerTimeout(): void {
        if (this.plan.exchange.isEnded) {
            return;
        }
        if (this.held !== undefined) {
            this.held.deliver();
        }
        else {
            const mayRun = this.mayHaveRun || this.attempt?.mayHaveRun === true;
            this.mayHaveRun = mayRun;
            this.answer(mayRun ? 504 : 503, "timeout", "The time of the route has passed.");
        }
    }

    private answer(status: number, reason: string, detail: string): void {
        const verdict = this.mayHaveRun ? Verdict.mayHaveRun : Verdict.notRun;
        const retryAfterMs = this.mayHaveRun ? undefined : this.chooseRetryAfterMs();
        const answer: GeneratedAnswer = { status, verdict, reason, detail, retryAfterMs };
        this.parts.metrics.refusals.inc({ reason });
        this.log("answered without an upstream", {
            status,
            verdict,
            reason,
            retryAfterMs,
            attempts: this.attemptCount,
            seen: reason === "no-room" ? this.parts.placer.describe(this.plan.service) : undefined,
        });
        this.plan.exchange.answer(answer);
    }

    private chooseRetryAfterMs(): number {
        const request: RefusedRequest = {
            cause: this.attemptCount > 0 ? RefusalCause.shed : RefusalCause.noRoom,
            untilTargetMs: this.times.targetAtMs - this.nowMs(),
            untilDeadlineMs: this.plan.deadlineAtMs - this.nowMs(),
            usualMs: this.parts.durations.get(this.plan.route.name, this.times.targetLatencyMs),
        };
        return drawRetryAfterMs(request, this.parts.random);
    }

    private nowMs(): number {
        return this.parts.clock.monotonicMs();
    }

    private log(text: string, fields: object): void {
        const { requestId, route, exchange } = this.plan;
        const ageMs = Math.round(this.nowMs() - exchange.receivedAtMs);
        const { callerAgeMs } = this.plan;
        this.parts.logger.info(text, { requestId, route: route.name, ageMs, callerAgeMs, ...fields });
    }
}
