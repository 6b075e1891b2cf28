import { createHash, randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Service } from "../catalogue/model.js";
import type { RequestId, ServiceName } from "../core/ids.js";
import { limitToSubmission } from "../requests/answers.js";
import type { GeneratedAnswer, RequestFacts } from "../requests/model.js";
import { isKeyed } from "../requests/verdicts.js";
import { Admission, type Admitted } from "./admission.js";
import { refuse } from "./answers.js";
import { Attempt } from "./attempt.js";
import { BufferBudget } from "./bufferBudget.js";
import { checkConnection } from "./connectionCheck.js";
import { type EntryCore, unconfirmedAnswer } from "./core.js";
import { Exchange } from "./exchange.js";
import { parseCount, parseLoadReport } from "./headers.js";
import type { PeerLinks } from "./links.js";
import type { EntryEffect, EntryEvent } from "./messages.js";
import type { EntryLimits, EntryOptions } from "./options.js";
import { probeUpstream } from "./probe.js";
import { readBody, statedLength } from "./requestBody.js";
import { measureRequest } from "./requestMetrics.js";
import { UpstreamPools } from "./upstreamPools.js";

const instanceIdBytes = 6;
const defaultDeadlineMs = 30_000;
const memoryRetryMs = 1000;
const emptyBodyHash = createHash("sha256").digest("hex");

type EffectOf<Kind extends EntryEffect["kind"]> = Extract<EntryEffect, { readonly kind: Kind; }>;

/** Turns HTTP traffic into events of the core, and performs the effects that the core returns. */
export class EntryShell {
    /** Set while the entry drains: each response then closes its connection. */
    closeConnections = false;
    private readonly exchanges = new Map<RequestId, Exchange>();
    private readonly attempts = new Map<string, Attempt>();
    private readonly pools: UpstreamPools;
    private readonly admission: Admission;
    private readonly budget: BufferBudget;
    private readonly idPrefix = randomBytes(instanceIdBytes).toString("hex");
    private nextRequestNumber = 1;

    constructor(
        private readonly options: EntryOptions,
        private readonly core: EntryCore,
        private readonly peerLinks: PeerLinks,
        private readonly syncControl: () => void,
    ) {
        this.pools = new UpstreamPools(options.limits);
        this.admission = new Admission(options.limits, () => this.nowMs());
        this.budget = new BufferBudget(options.limits.bufferedBytes);
    }

    get exchangeCount(): number {
        return this.exchanges.size;
    }

    /** Applies an event and performs its effects before it returns. */
    run(event: EntryEvent): void {
        for (const effect of this.core.handle(event, this.nowMs())) {
            this.perform(effect);
        }
        if (event.kind === "tick") {
            this.pools.tick(this.nowMs());
            this.admission.tick(this.nowMs());
        }
    }

    /** Takes a caller's request. */
    acceptRequest(service: ServiceName, path: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
        const id = `${this.idPrefix}-${this.nextRequestNumber++}`;
        const { stallTimeoutMs } = this.options.limits;
        const exchange = new Exchange(id, service, path, incoming, outgoing, stallTimeoutMs, it => this.onEnded(it));
        exchange.mustClose = this.closeConnections;
        this.exchanges.set(id, exchange);
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
        outgoing.on("close", () => this.onCallerClosed(exchange));
        const receivedAtMs = this.nowMs();
        exchange.receivedAtMs = receivedAtMs;
        const deadlineMs = this.deadlineMs(exchange);
        const row = this.core.config.catalogue.services[service];
        if (deadlineMs === undefined) {
            this.refuse(
                exchange,
                refuse(400, "invalid-deadline", "Figwharf-Deadline-Ms is not a number of milliseconds."),
            );
        }
        else if (!this.core.isServing(receivedAtMs)) {
            this.refuse(exchange, unconfirmedAnswer);
        }
        else if (row === undefined) {
            this.refuse(exchange, refuse(404, "unknown-service", "The catalogue has no such service."));
        }
        else {
            this.admit(exchange, row, receivedAtMs + deadlineMs);
        }
    }

    async close(): Promise<void> {
        await this.pools.destroy();
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private admit(exchange: Exchange, service: Service, deadlineAtMs: number): void {
        const result = this.admission.admit(service, callerIdOf(exchange));
        if ("status" in result) {
            this.refuse(exchange, result);
            return;
        }
        exchange.admitted = result;
        const stated = statedLength(exchange.incoming);
        const { limits } = this.options;
        const maxBodyBytes = Math.min(limits.bodyBytes, service.limits.maxBodyBytes);
        const isBuffered = (stated ?? 0) <= limits.bufferedBodyBytes;
        const reservedBytes = isBuffered ? stated ?? limits.bufferedBodyBytes : 0;
        if (!this.budget.canHold(reservedBytes)) {
            this.refuse(
                exchange,
                refuse(503, "memory", "The entry holds as many request bodies as it may.", memoryRetryMs),
            );
            return;
        }
        this.budget.add(reservedBytes);
        exchange.reservedBytes = reservedBytes;
        void this.receive(exchange, result, { ...limits, bodyBytes: maxBodyBytes }, deadlineAtMs);
    }

    /** Refuses a request that the core has not seen. */
    private refuse(exchange: Exchange, answer: GeneratedAnswer): void {
        const { method, headers } = exchange.incoming;
        const row = this.core.config.catalogue.services[exchange.service];
        const needsClaim = isKeyed(method ?? "", headers["idempotency-key"], row?.idempotentMethods);
        exchange.answer(needsClaim ? limitToSubmission(answer) : answer);
    }

    private async receive(
        exchange: Exchange,
        admitted: Admitted,
        limits: EntryLimits,
        deadlineAtMs: number,
    ): Promise<void> {
        const result = await readBody(exchange.incoming, limits);
        switch (result.kind) {
            case "body":
                exchange.body = result.body;
                return this.submitWhenPlaced(exchange, admitted, deadlineAtMs);
            case "too-large":
                return this.refuse(exchange, refuse(413, "body-too-large", "The request body is too large."));
            case "too-slow":
                return this.refuse(exchange, refuse(408, "body-too-slow", "The request body took too long to arrive."));
            case "gone":
                return exchange.finish();
        }
    }

    private async submitWhenPlaced(exchange: Exchange, admitted: Admitted, deadlineAtMs: number): Promise<void> {
        const refusal = await admitted.waitForPlace(deadlineAtMs);
        if (refusal !== undefined) {
            this.refuse(exchange, refusal);
            return;
        }
        this.submit(exchange, deadlineAtMs);
    }

    private onEnded(exchange: Exchange): void {
        measureRequest(exchange, this.options.metrics, this.nowMs());
        this.exchanges.delete(exchange.id);
        this.budget.release(exchange.reservedBytes);
        exchange.admitted?.release();
    }

    private submit(exchange: Exchange, deadlineAtMs: number): void {
        if (exchange.isEnded) {
            return;
        }
        const { incoming, body } = exchange;
        const key = incoming.headers["idempotency-key"];
        const request: RequestFacts = {
            id: exchange.id,
            service: exchange.service,
            method: incoming.method ?? "GET",
            path: exchange.path,
            callerId: callerIdOf(exchange),
            idempotencyKey: Array.isArray(key) ? key[0] : key,
            bodyHash: body.buffer === undefined ? undefined : hashBody(body.buffer),
            isBodyReplayable: body.buffer !== undefined,
            deadlineAtMs,
        };
        this.run({ kind: "request", request });
    }

    private deadlineMs(exchange: Exchange): number | undefined {
        const { maxDeadlineMs } = this.options.limits;
        const text = exchange.incoming.headers["figwharf-deadline-ms"];
        if (text === undefined) {
            const service = this.core.config.catalogue.services[exchange.service];
            return service?.limits.defaultDeadlineMs ?? defaultDeadlineMs;
        }
        const stated = parseCount(String(text));
        return stated === undefined ? undefined : Math.min(stated, maxDeadlineMs);
    }

    private onCallerClosed(exchange: Exchange): void {
        if (!exchange.isEnded) {
            exchange.finish();
            this.run({ kind: "caller-gone", requestId: exchange.id });
        }
    }

    private perform(effect: EntryEffect): void {
        switch (effect.kind) {
            case "dispatch":
                return this.dispatch(effect);
            case "forward":
                return this.forward(effect);
            case "cancel-attempt":
                return this.cancelAttempt(effect.attemptId);
            case "answer":
                return this.answer(effect);
            case "replay":
                return this.exchanges.get(effect.requestId)?.replay(effect.response);
            case "destroy-caller":
                return this.destroyCaller(effect);
            case "reset-pool":
                return this.pools.reset(effect.address);
            case "check-connection":
                return this.checkConnection(effect);
            case "send-peer":
                return this.peerLinks.send(effect.to, effect.message);
            case "sync-control":
                return this.syncControl();
            case "probe":
                return this.probe(effect);
            case "count":
                this.options.metrics.increment(effect.metric, effect.value, { ...effect.tags });
                return;
            case "log":
                this.options.logger[effect.level](effect.text, effect.fields);
                return;
        }
    }

    private dispatch(effect: EffectOf<"dispatch">): void {
        const { attemptId, address } = effect.target;
        const exchange = this.exchanges.get(effect.requestId);
        if (exchange === undefined) {
            this.run({ kind: "caller-gone", requestId: effect.requestId });
            return;
        }
        const request = {
            method: exchange.incoming.method ?? "GET",
            path: exchange.path,
            headers: exchange.requestHeaders(effect.timeoutMs),
            body: exchange.body.content,
            retainedBytesLimit: effect.isBuffered ? this.options.limits.retainedBodyBytes : 0,
        };
        const attempt = new Attempt(request, {
            onSent: () => this.run({ kind: "attempt-sent", attemptId }),
            onHead: head => this.run({ kind: "attempt-head", attemptId, head, load: parseLoadReport(head) }),
            onOverflow: () => this.run({ kind: "attempt-overflow", attemptId }),
            onComplete: retained => {
                this.run({ kind: "attempt-complete", attemptId, retained });
                this.attempts.delete(attemptId);
            },
            onFailed: failure => {
                this.attempts.delete(attemptId);
                this.run({ kind: "attempt-failed", attemptId, failure });
            },
        }, this.budget);
        this.attempts.set(attemptId, attempt);
        attempt.start(this.pools.use(address, this.nowMs()));
    }

    private forward(effect: EffectOf<"forward">): void {
        const exchange = this.exchanges.get(effect.requestId);
        if (exchange !== undefined) {
            this.attempts.get(effect.attemptId)?.forwardTo(exchange);
        }
    }

    private cancelAttempt(attemptId: string): void {
        this.attempts.get(attemptId)?.cancel();
        this.attempts.delete(attemptId);
    }

    private answer(effect: EffectOf<"answer">): void {
        const { requestId, answer } = effect;
        const fields = { requestId, status: answer.status, verdict: answer.verdict, reason: answer.reason };
        this.options.logger.debug("answered a request without an upstream's response", fields);
        this.exchanges.get(requestId)?.answer(answer);
    }

    private destroyCaller(effect: EffectOf<"destroy-caller">): void {
        const { requestId, reason } = effect;
        this.options.logger.warn("cut off a response that was not complete", { requestId, reason });
        this.exchanges.get(requestId)?.destroyCaller();
    }

    private checkConnection(effect: EffectOf<"check-connection">): void {
        const { checkId, address, timeoutMs } = effect;
        void checkConnection(address, timeoutMs).then(isAccepted => {
            this.run({ kind: "connection-checked", checkId, isAccepted });
        });
    }

    private probe(effect: EffectOf<"probe">): void {
        const { service, upstreamId, address } = effect;
        const startedAtMs = this.nowMs();
        void probeUpstream(this.pools.use(address, startedAtMs)).then(load => {
            const latencyMs = this.nowMs() - startedAtMs;
            this.run({ kind: "probe-ended", service, upstreamId, latencyMs, load });
        });
    }
}

function callerIdOf(exchange: Exchange): string {
    return exchange.incoming.socket.remoteAddress ?? "";
}

function hashBody(body: Buffer): string {
    return body.length === 0 ? emptyBodyHash : createHash("sha256").update(body).digest("hex");
}
