import type { Clock } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Verdict } from "../core/verdict.js";
import type { Organisation, Route, RoutedService } from "../directory/model.js";
import { identifiedBytes } from "../entry/bodyIdentity.js";
import type { BufferBudget } from "../entry/bufferBudget.js";
import { StreamedBody } from "../entry/streamedBody.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { QuotaGate } from "../organisations/quotaGate.js";
import type { EntryRelay } from "../relay/entryRelay.js";
import { declinedStatus, RelayOutcome, relayRequest } from "../relay/relayedRequest.js";
import { AttemptFailure, type GeneratedAnswer, type ResponseHead } from "../requests/model.js";
import { type CrashSuspects, type SuspectableRequest, SuspectTreatment } from "./crashSuspects.js";
import type { Dialect } from "./dialect.js";
import type { DurationEstimates } from "./durationEstimates.js";
import { type AttemptResult, GatewayAttempt, isConnectionReusable, toUpstreamOutcome } from "./gatewayAttempt.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import type { GatewayLogger } from "./options.js";
import type { OverloadControl } from "./overloadControl.js";
import type { LeasedPlacement, Placer } from "./placer.js";
import { drawRetryAfterMs, minRejectedAgeMs, RefusalCause, type RefusedRequest } from "./refusals.js";
import { RequestTimes } from "./requestTimes.js";
import type { SharedRetryBudget } from "./sharedRetryBudget.js";
import type { ShutdownSchedule } from "./shutdownPhases.js";
import { UploadBody, UploadProgress } from "./uploadBody.js";
import { MessageKind, type UpstreamLimits } from "./upstreamLimits.js";
import type { UpstreamStatements } from "./upstreamStatements.js";
import {
    recordReportedLoad,
    UpstreamOutcome,
    type UpstreamState,
    type UpstreamStateTable,
} from "./upstreamStateTable.js";

/** The deadline sent to the upstream is this long after the request's timeout, but never after the caller's. */
const upstreamGraceMs = 80;
/** Maximum wait for a placement on an existing connection while no new ones can be opened: two rounds of load probes. */
const maxWaitBeforeRelayMs = 100;
/** A retry starts only if more than this time remains until the timeout. */
const minRetryRemainingMs = 10;

const minServerErrorStatus = 500;
const msPerSecond = 1000;

/** Dependencies shared by all requests. */
export interface RequestDependencies {
    readonly placer: Placer;
    readonly upstreamTable: UpstreamStateTable;
    readonly upstreamLimits: UpstreamLimits;
    readonly quotaGate: QuotaGate;
    readonly upstreamStatements: UpstreamStatements;
    readonly retryBudget: SharedRetryBudget;
    readonly durationEstimates: DurationEstimates;
    readonly bufferBudget: BufferBudget;
    /** Undefined where the settings do not ask for it. */
    readonly overloadControl?: OverloadControl | undefined;
    readonly crashSuspects: CrashSuspects;
    readonly shutdownSchedule: ShutdownSchedule;
    readonly dialect: Dialect;
    readonly metrics: GatewayMetrics;
    readonly logger: GatewayLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Undefined if the entry does not relay. */
    readonly relay?: EntryRelay | undefined;
}

/** Immutable inputs of a request. */
export interface RequestContext {
    readonly exchange: GatewayExchange;
    readonly requestId: string | undefined;
    readonly route: Route;
    /** Organisation of the request, which was taken from its quota; undefined if no key is required. */
    readonly organisation: Organisation | undefined;
    readonly service: RoutedService;
    readonly deadlineAtMs: number;
    /** Estimated time that the caller had waited when the request arrived, including its earlier refused requests. */
    readonly callerAgeMs: number;
}

/** Runs one request of a caller: placement, attempts, retries and the answer. */
export class GatewayRequest {
    private readonly excluded = new Set<UpstreamId>();
    private readonly times: RequestTimes;
    private attempt: GatewayAttempt | undefined;
    /** Last attempt with a held error response, which is delivered if no later attempt succeeds. */
    private lastErrorAttempt: GatewayAttempt | undefined;
    /** Whether an ended attempt may have run the request. */
    private mayHaveRun = false;
    /** Whether the unit taken last from the organisation's quota was used by an attempt that may have run. */
    private isQuotaUnitUsed = false;
    /** Bytes of the body that are held to recognize it. */
    private heldBodyBytes = 0;
    private attemptCount = 0;
    private attemptSentAtMs = -Infinity;
    private hasTimedOut = false;
    /** Whether it was refused because instances ended while they ran requests like it. */
    private isCrashSuspect = false;
    /** Whether it waits for a placement. */
    private isWaiting = false;
    /** Whether it was refused because the entry stops. */
    private isRefusedAtStop = false;
    /** Time until a limited upstream may get a request; undefined unless the request was refused for the limits. */
    private permitDelayMs: number | undefined;
    /** Time until an upstream accepts requests again; undefined unless the request was refused as all back off. */
    private backOffDelayMs: number | undefined;

    constructor(private readonly context: RequestContext, private readonly dependencies: RequestDependencies) {
        const { route, exchange, deadlineAtMs, callerAgeMs } = context;
        this.times = new RequestTimes(route, exchange.receivedAtMs, callerAgeMs, deadlineAtMs);
    }

    /** Runs the request; resolves when it has ended. */
    async run(): Promise<void> {
        const timer = setTimeout(() => this.onTimeout(), this.times.latestAnswerAtMs - this.nowMs());
        if (!this.context.exchange.isRelayed) {
            this.dependencies.retryBudget.countRequest(this.context.service.name, this.nowMs());
        }
        // An entry that is cut off cannot use a share of the limits.
        if (this.dependencies.relay?.isCutOff !== true) {
            this.dependencies.upstreamLimits.recordDemand(this.context.service.name);
        }
        try {
            let shouldContinue = await this.identifyIfNeeded() && !this.refuseIfSuspect();
            while (shouldContinue && !this.context.exchange.isEnded) {
                shouldContinue = await this.runAttempt();
            }
        }
        finally {
            clearTimeout(timer);
            this.dependencies.bufferBudget.release(this.heldBodyBytes);
            this.returnUnusedQuota();
        }
    }

    /**
     * Reads the start of a streamed body if it may be that of a request that has ended instances; returns whether the request
     * continues.
     */
    private async identifyIfNeeded(): Promise<boolean> {
        const { exchange } = this.context;
        const { bufferBudget, crashSuspects } = this.dependencies;
        const { body } = exchange;
        const isNeeded = body instanceof StreamedBody && crashSuspects.isIdentityNeeded(this.describeForSuspicion());
        if (!isNeeded || !bufferBudget.canHold(identifiedBytes)) {
            return true;
        }
        this.heldBodyBytes = identifiedBytes;
        bufferBudget.add(identifiedBytes);
        const isIdentified = await body.identify();
        return isIdentified && !exchange.isEnded;
    }

    /** Refuses a request that has ended several instances; returns whether it did. */
    private refuseIfSuspect(): boolean {
        const isRefused = this.treatAsSuspect() === SuspectTreatment.refused;
        if (isRefused) {
            this.isCrashSuspect = true;
            this.answer(503, "crash-suspect", "Instances ended while they ran requests like this one.");
        }
        return isRefused;
    }

    private treatAsSuspect(): SuspectTreatment {
        return this.dependencies.crashSuspects.treat(this.describeForSuspicion());
    }

    private describeForSuspicion(): SuspectableRequest {
        const { exchange, service } = this.context;
        return {
            service: service.name,
            method: exchange.incoming.method ?? "GET",
            path: exchange.path,
            body: exchange.body instanceof StreamedBody ? exchange.body.identity : exchange.body.buffer,
        };
    }

    private returnUnusedQuota(): void {
        const { organisation, exchange } = this.context;
        if (organisation !== undefined && !exchange.isRelayed && !this.isQuotaUnitUsed) {
            this.dependencies.quotaGate.giveBack(organisation.name);
        }
    }

    /** Called when the entry begins to stop; refuses the request if it has to wait and cannot be answered in time. */
    onShutdown(): void {
        if (this.isWaiting && !this.canBeAnswered) {
            this.context.exchange.contain(() => this.refuseAtStop());
        }
    }

    /** Whether the request gets an answer before the entry closes its connection, however long it takes. */
    private get canBeAnswered(): boolean {
        return this.dependencies.shutdownSchedule.canAnswerBy(this.times.latestAnswerAtMs);
    }

    private refuseAtStop(): void {
        if (!this.context.exchange.isEnded) {
            this.isRefusedAtStop = true;
            this.answerFailure("draining", "The entry stops before the time of the request has passed.");
        }
    }

    /**
     * Called when the caller has disconnected. Cancels the attempt if it cannot have run, if the route is idempotent or
     * if the upload is still arriving; otherwise lets it complete.
     */
    onCallerDisconnect(): void {
        this.dependencies.metrics.callerDisconnects.inc();
        this.log("caller disconnected", { mayHaveRun: this.mayHaveRun });
        if (this.attempt?.mayHaveRun === false || this.isCancellable()) {
            this.attempt?.cancel();
        }
    }

    /** Returns whether an attempt that may have run is cancelled when the caller has disconnected. */
    private isCancellable(): boolean {
        return this.context.route.isIdempotent || this.upload?.progress === UploadProgress.arriving;
    }

    private get upload(): UploadBody | undefined {
        const { body } = this.context.exchange;
        return body instanceof UploadBody ? body : undefined;
    }

    /** Returns whether the same body can be sent to another upstream. */
    private canReplayBody(): boolean {
        return this.context.exchange.body.buffer !== undefined || this.upload?.progress === UploadProgress.untouched;
    }

    /** Places and sends the request once; returns whether another attempt follows. */
    private async runAttempt(): Promise<boolean> {
        const { relay } = this.dependencies;
        if (!this.canBeAnswered) {
            this.refuseAtStop();
            return false;
        }
        if (relay?.isCutOff === true && relay.hasPeers) {
            if (await this.relayIfPossible()) {
                return false;
            }
        }
        this.isWaiting = true;
        const placement = await this.findPlacement();
        this.isWaiting = false;
        if (this.context.exchange.isEnded) {
            if (placement !== undefined) {
                placement.connection.release();
                this.dependencies.upstreamLimits.returnPermit(placement.upstreamState);
            }
            return false;
        }
        if (placement === undefined) {
            if (!await this.relayIfPossible()) {
                this.answerUnplaced();
            }
            return false;
        }
        const attemptResult = await this.sendAttempt(placement);
        return this.handleAttemptResult(placement, attemptResult);
    }

    /** Relays the request while the entry is cut off; returns whether the request has ended, false if no peer took it. */
    private async relayIfPossible(): Promise<boolean> {
        const { exchange, requestId, deadlineAtMs } = this.context;
        const { relay, dialect, bufferBudget, metrics } = this.dependencies;
        const isSafe = this.context.route.isIdempotent || !this.mayHaveRun;
        const isFirst = this.attemptCount === 0;
        if (relay?.isRelaying !== true || !exchange.isRelayAllowed || !isSafe || !(isFirst || this.canReplayBody())) {
            return false;
        }
        let hasTriedPeer = false;
        const outcome = await relayRequest({
            exchange,
            requestId,
            relay,
            dialect,
            bufferBudget,
            metrics,
            computeRemainingMs: () => Math.min(deadlineAtMs, this.times.timeoutAtMs) - this.nowMs(),
            attemptsLeft: this.attemptsLeft,
            canReplayBody: () => this.canReplayBody(),
            mayHaveRun: this.mayHaveRun,
            onAttempt: attempt => {
                this.attempt = attempt;
                hasTriedPeer = true;
            },
            log: (text, fields) => this.log(text, fields),
        });
        this.isQuotaUnitUsed ||= hasTriedPeer && outcome !== RelayOutcome.unavailable;
        if (outcome === RelayOutcome.lost) {
            this.mayHaveRun = true;
            // The peer may have made all attempts that were left to it.
            this.attemptCount += this.attemptsLeft;
        }
        if (outcome === RelayOutcome.lost || outcome === RelayOutcome.failed) {
            this.answerFailure("attempt-failed", "The entry to which the request was relayed failed.");
            return true;
        }
        if (outcome === RelayOutcome.unavailable && hasTriedPeer && !this.canReplayBody()) {
            this.answerFailure("relay-failed", "No entry took the request, and its body cannot be sent again.");
            return true;
        }
        return outcome !== RelayOutcome.unavailable;
    }

    private answerUnplaced(): void {
        this.backOffDelayMs = this.dependencies.placer.findBackOffDelayMs(this.context.service.name);
        if (this.backOffDelayMs !== undefined) {
            this.answerFailure("backing-off", "All upstreams of the service have asked for a pause.");
            return;
        }
        this.permitDelayMs = this.dependencies.placer.findPermitDelayMs(this.context.service.name, this.excluded);
        if (this.dependencies.upstreamTable.isEvacuated(this.context.service.name)) {
            this.answerFailure("evacuated", "All availability zones with upstreams of the service are evacuated.");
        }
        else if (this.permitDelayMs === undefined) {
            this.answerFailure("no-room", "No upstream had room for the request in time.");
        }
        else {
            this.answerFailure("limited", "All upstreams have reached the request rates that they accept.");
        }
    }

    private findPlacement(): Promise<LeasedPlacement | undefined> {
        const { route, organisation, service, exchange } = this.context;
        const baselineMs = this.dependencies.durationEstimates.get(route.name, this.times.targetLatencyMs);
        const startMs = this.attemptCount === 0 ? exchange.receivedAtMs : this.nowMs();
        const waitLimits = this.times.computeWaitLimits(startMs, baselineMs);
        const canRelay = this.dependencies.relay?.isRelaying === true && this.dependencies.relay.hasPeers &&
            exchange.isRelayAllowed;
        const maxWaitUntilMs = canRelay ? this.nowMs() + maxWaitBeforeRelayMs : Infinity;
        return this.dependencies.placer.place({
            service,
            excluded: this.excluded,
            priority: organisation?.priority ?? route.priority,
            kind: route.name,
            organisation: organisation?.name,
            wasRejected: this.context.callerAgeMs >= minRejectedAgeMs,
            ...waitLimits,
            waitUntilMs: Math.min(waitLimits.waitUntilMs, maxWaitUntilMs),
            isExchangeEnded: () => exchange.isEnded,
        });
    }

    private async sendAttempt({ upstreamState, cost, connection }: LeasedPlacement): Promise<AttemptResult> {
        const { exchange, requestId, deadlineAtMs, route, service } = this.context;
        const { dialect, bufferBudget, upstreamLimits, upstreamStatements } = this.dependencies;
        const sentAtMs = this.nowMs();
        const remainingMs = Math.floor(Math.min(deadlineAtMs, this.times.timeoutAtMs + upstreamGraceMs) - sentAtMs);
        const { id } = upstreamState.registration;
        const headers = exchange.buildAttemptHeaders(id, remainingMs);
        const onHead = (head: ResponseHead, isNotRun: boolean) => {
            this.dependencies.relay?.recordResponse(false);
            upstreamStatements.recordHead(upstreamState, head, MessageKind.request);
            if (dialect.isMisdirected(head)) {
                upstreamLimits.cold.returnPermit(upstreamState);
            }
            upstreamLimits.recordStatement(
                upstreamState,
                dialect.readRateLimit(head),
                MessageKind.request,
                // Rejections and errors can come from a part of the instance that does not know the limit.
                !isNotRun && head.status < minServerErrorStatus,
            );
        };
        const attempt = new GatewayAttempt({ exchange, requestId, headers, onHead }, dialect, bufferBudget);
        this.attempt = attempt;
        this.attemptSentAtMs = sentAtMs;
        this.attemptCount++;
        if (this.attemptCount === 1) {
            this.dependencies.metrics.placementSeconds.observe((sentAtMs - exchange.receivedAtMs) / msPerSecond);
        }
        upstreamState.openSentAtMs.add(sentAtMs);
        upstreamState.isUsed = true;
        this.log("placed", {
            upstream: id,
            zone: upstreamState.registration.availabilityZone,
            attempt: this.attemptCount,
            cost,
            load: upstreamState.load,
            loadAgeMs: Math.round(sentAtMs - upstreamState.loadAskedAtMs),
            remainingMs,
        });
        upstreamLimits.recordSent(upstreamState, MessageKind.request);
        const attemptResult = await attempt.start(connection.dispatcher);
        this.recordLoad(upstreamState, attempt);
        if (!isConnectionReusable(attemptResult)) {
            connection.discard();
        }
        else if (!this.dependencies.placer.offer(service.name, upstreamState, connection)) {
            connection.release();
        }
        if (attemptResult.kind === "delivered") {
            const durationMs = this.nowMs() - sentAtMs;
            this.dependencies.durationEstimates.recordDuration(route.name, durationMs, cost);
            this.log("delivered", {
                upstream: id,
                status: attemptResult.status,
                durationMs: Math.round(durationMs),
                cost,
                load: upstreamState.load,
            });
        }
        upstreamState.openSentAtMs.delete(sentAtMs);
        this.mayHaveRun ||= attempt.mayHaveRun;
        this.isQuotaUnitUsed ||= attempt.mayHaveRun;
        return attemptResult;
    }

    /** Records the load that a response reports; it is newer than that of the last probe. */
    private recordLoad(upstreamState: UpstreamState, attempt: GatewayAttempt): void {
        const load = attempt.responseHead === undefined
            ? undefined
            : this.dependencies.dialect.readLoad(attempt.responseHead);
        if (load !== undefined) {
            recordReportedLoad(upstreamState, load, this.nowMs());
        }
    }

    /** Returns whether another attempt follows. */
    private handleAttemptResult({ upstreamState }: LeasedPlacement, attemptResult: AttemptResult): boolean {
        const { exchange, service } = this.context;
        const { metrics } = this.dependencies;
        metrics.attempts.inc({ end: attemptResult.kind });
        // Neither a cancelled attempt nor one with an unusable upload counts; the upstream may not be the cause.
        const isIgnoredForHealth = "failure" in attemptResult &&
            (attemptResult.failure === "cancelled" || this.upload?.isUnusable === true);
        // An upstream that resets connections when it is full is healthy below its limit.
        const wasFull = !isIgnoredForHealth && "failure" in attemptResult &&
            attemptResult.failure === AttemptFailure.reset &&
            this.dependencies.overloadControl?.recordReset(upstreamState, this.nowMs()) === true;
        const outcome = wasFull ? UpstreamOutcome.refused : toUpstreamOutcome(attemptResult);
        if (
            !isIgnoredForHealth &&
            this.dependencies.upstreamTable.recordOutcome(upstreamState, outcome, this.nowMs())
        ) {
            metrics.ejections.inc({ service: service.name });
            this.log("ejected an upstream", {
                upstream: upstreamState.registration.id,
                failuresInRow: upstreamState.failuresInRow,
            });
        }
        if ("failure" in attemptResult && !isIgnoredForHealth && this.attempt?.responseHead === undefined) {
            this.dependencies.relay?.recordFailure(upstreamState.registration.id, attemptResult.kind === "not-sent");
        }
        this.recordForSuspicion(upstreamState, attemptResult);
        if (attemptResult.kind === "delivered" || exchange.isEnded) {
            return false;
        }
        this.log("attempt ended", {
            upstream: upstreamState.registration.id,
            ...attemptResult,
            mayHaveRun: this.mayHaveRun,
        });
        if (attemptResult.kind === "cut-off") {
            exchange.destroyCaller();
            return false;
        }
        if (this.upload?.progress === UploadProgress.tooLarge) {
            this.answer(413, "body-too-large", "The request body is too large.");
            return false;
        }
        if (attemptResult.kind === "failed-answer") {
            this.lastErrorAttempt = this.attempt;
        }
        this.excluded.add(upstreamState.registration.id);
        if (this.takeRetry()) {
            return true;
        }
        this.answerFailure("attempt-failed", "The upstream failed, and the request cannot be sent again.");
        return false;
    }

    /** An instance that answers completely has survived the request; any other may have been lost with it. */
    private recordForSuspicion(upstreamState: UpstreamState, attemptResult: AttemptResult): void {
        const { crashSuspects } = this.dependencies;
        if (attemptResult.kind === "delivered" || attemptResult.kind === "failed-answer") {
            crashSuspects.recordSurvived(this.describeForSuspicion());
        }
        else if (attemptResult.kind === "lost" || attemptResult.kind === "cut-off") {
            const wasReset = attemptResult.failure !== AttemptFailure.cancelled;
            const isUnheard = this.hasTimedOut && upstreamState.loadAskedAtMs < this.attemptSentAtMs;
            if (wasReset || isUnheard) {
                void crashSuspects.recordNoResponse(this.describeForSuspicion(), upstreamState);
            }
        }
    }

    private get attemptsLeft(): number {
        const { route, exchange } = this.context;
        return Math.min(route.maxAttempts, exchange.relayedAttempts ?? Infinity) - this.attemptCount;
    }

    /** Takes a retry from the budget if the request can be retried; returns whether it did. */
    private takeRetry(): boolean {
        const { route, service } = this.context;
        const { retryBudget, metrics } = this.dependencies;
        const isSafeToRetry = route.isIdempotent || !this.mayHaveRun;
        const isRetryPossible = isSafeToRetry && this.attemptsLeft > 0 && this.canReplayBody() &&
            this.canBeAnswered && this.nowMs() < this.times.timeoutAtMs - minRetryRemainingMs;
        if (!isRetryPossible || this.treatAsSuspect() !== SuspectTreatment.normal || !this.takeQuotaForRetry()) {
            return false;
        }
        const isWithinBudget = retryBudget.take(service.name, this.nowMs());
        (isWithinBudget ? metrics.retries : metrics.retriesDenied).inc({ service: service.name });
        this.log(isWithinBudget ? "sent again" : "not sent again, as the retry budget is used", {
            attempts: this.attemptCount,
            ...retryBudget.describe(service.name, this.nowMs()),
        });
        return isWithinBudget;
    }

    /** Takes another unit for a retry after an attempt that may have run, since both may run; returns whether it did. */
    private takeQuotaForRetry(): boolean {
        const { organisation, exchange } = this.context;
        if (organisation === undefined || exchange.isRelayed || !this.isQuotaUnitUsed) {
            return true;
        }
        const { isAdmitted } = this.dependencies.quotaGate.take(organisation.name);
        this.isQuotaUnitUsed = !isAdmitted;
        return isAdmitted;
    }

    /** Delivers the held error response of an upstream if there is one; otherwise the entry generates an answer. */
    private answerFailure(reason: string, detail: string): void {
        if (this.lastErrorAttempt !== undefined) {
            this.lastErrorAttempt.deliver();
            return;
        }
        // The entry that relayed a request which has not run can try another one.
        const notRunStatus = this.isRefusedAtStop && this.context.exchange.isRelayed ? declinedStatus : 503;
        this.answer(this.mayHaveRun ? 502 : notRunStatus, reason, detail);
    }

    private onTimeout(): void {
        this.hasTimedOut = true;
        this.context.exchange.contain(() => this.answerTimeout());
        // Otherwise an upstream that keeps sending after its deadline would never be stopped.
        this.attempt?.cancel();
    }

    private answerTimeout(): void {
        const { exchange } = this.context;
        if (exchange.isEnded) {
            return;
        }
        if (exchange.isResponseStarted) {
            this.log("cut off the response at the timeout", { attempts: this.attemptCount });
            exchange.destroyCaller();
        }
        else if (this.lastErrorAttempt !== undefined) {
            this.lastErrorAttempt.deliver();
        }
        else {
            // `mayHaveRun` does not include the current attempt yet.
            const mayAnyAttemptHaveRun = this.mayHaveRun || this.attempt?.mayHaveRun === true;
            this.mayHaveRun = mayAnyAttemptHaveRun;
            this.answer(mayAnyAttemptHaveRun ? 504 : 503, "timeout", "The time of the route has passed.");
        }
    }

    private answer(status: number, reason: string, detail: string): void {
        const verdict = this.mayHaveRun ? Verdict.mayHaveRun : Verdict.notRun;
        const retryAfterMs = this.mayHaveRun ? undefined : this.chooseRetryAfterMs();
        const answer: GeneratedAnswer = { status, verdict, reason, detail, retryAfterMs };
        this.dependencies.metrics.refusals.inc({ reason });
        this.log("answered without an upstream", {
            status,
            verdict,
            reason,
            retryAfterMs,
            attempts: this.attemptCount,
            seen: reason === "no-room" || reason === "limited"
                ? this.dependencies.placer.describe(this.context.service)
                : undefined,
        });
        this.context.exchange.answer(answer);
    }

    private chooseRetryAfterMs(): number {
        const request: RefusedRequest = {
            cause: this.findRefusalCause(),
            permitDelayMs: this.permitDelayMs,
            backOffDelayMs: this.backOffDelayMs,
            untilTargetMs: this.times.targetAtMs - this.nowMs(),
            untilDeadlineMs: this.context.deadlineAtMs - this.nowMs(),
            baselineMs: this.dependencies.durationEstimates.get(this.context.route.name, this.times.targetLatencyMs),
        };
        return drawRetryAfterMs(request, this.dependencies.random);
    }

    private findRefusalCause(): RefusalCause {
        if (this.isCrashSuspect) {
            return RefusalCause.crashSuspect;
        }
        if (this.isRefusedAtStop) {
            return RefusalCause.stopping;
        }
        if (this.backOffDelayMs !== undefined) {
            return RefusalCause.backingOff;
        }
        if (this.permitDelayMs !== undefined) {
            return RefusalCause.limited;
        }
        return this.attemptCount > 0 ? RefusalCause.shed : RefusalCause.noCapacity;
    }

    private nowMs(): number {
        return this.dependencies.clock.monotonicMs();
    }

    private log(text: string, fields: object): void {
        const { requestId, route, exchange } = this.context;
        const organisation = this.context.organisation?.name;
        const ageMs = Math.round(this.nowMs() - exchange.receivedAtMs);
        const { callerAgeMs } = this.context;
        this.dependencies.logger.info(text, {
            requestId,
            route: route.name,
            organisation,
            ageMs,
            callerAgeMs,
            ...fields,
        });
    }
}
