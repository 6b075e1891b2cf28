import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestId, ServiceName } from "../core/ids.js";
import { Attempt } from "./attempt.js";
import { BufferBudget } from "./bufferBudget.js";
import { checkConnection } from "./connectionCheck.js";
import type { EntryCore } from "./core.js";
import { Exchange } from "./exchange.js";
import { parseLoadReport } from "./headers.js";
import type { PeerLinks } from "./links.js";
import type { EntryEffect, EntryEvent } from "./messages.js";
import type { EntryOptions } from "./options.js";
import { probeUpstream } from "./probe.js";
import { RequestHandler } from "./requestHandler.js";
import { measureRequest } from "./requestMetrics.js";
import { UpstreamPools } from "./upstreamPools.js";

const requestIdPrefixBytes = 6;

type EffectOf<Kind extends EntryEffect["kind"]> = Extract<EntryEffect, { readonly kind: Kind; }>;

/** Imperative shell of an entry: converts HTTP traffic to events of the core, and performs the core's effects. */
export class EntryShell {
    /** Set while the entry drains; each response then closes its connection. */
    isClosingConnections = false;
    private readonly exchanges = new Map<RequestId, Exchange>();
    private readonly attempts = new Map<string, Attempt>();
    private readonly pools: UpstreamPools;
    private readonly budget: BufferBudget;
    private readonly requestHandler: RequestHandler;
    private readonly idPrefix = randomBytes(requestIdPrefixBytes).toString("hex");
    private nextRequestNumber = 1;

    constructor(
        private readonly options: EntryOptions,
        private readonly core: EntryCore,
        private readonly peerLinks: PeerLinks,
        private readonly syncControl: () => void,
    ) {
        this.pools = new UpstreamPools(options.limits);
        this.budget = new BufferBudget(options.limits.bufferedBytes);
        this.requestHandler = new RequestHandler(
            options,
            core,
            this.budget,
            request => this.run({ kind: "request", request }),
        );
    }

    get exchangeCount(): number {
        return this.exchanges.size;
    }

    /** Applies an event and performs its effects synchronously. */
    run(event: EntryEvent): void {
        for (const effect of this.core.handle(event, this.nowMs())) {
            this.perform(effect);
        }
        if (event.kind === "tick") {
            this.pools.tick(this.nowMs());
            this.requestHandler.tick(this.nowMs());
        }
    }

    /** Starts processing a caller's request. */
    acceptRequest(service: ServiceName, path: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
        const id = `${this.idPrefix}-${this.nextRequestNumber++}`;
        const { stallTimeoutMs } = this.options.limits;
        const exchange = new Exchange(
            id,
            service,
            path,
            incoming,
            outgoing,
            stallTimeoutMs,
            endedExchange => this.onExchangeEnded(endedExchange),
        );
        exchange.mustClose = this.isClosingConnections;
        exchange.onError = error => {
            this.options.metrics.increment("internal.errors", 1, {});
            this.options.logger.error("internal error while handling a request", {
                requestId: id,
                reason: error.stack ?? error.message,
            });
        };
        this.exchanges.set(id, exchange);
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
        outgoing.on("close", () => this.onCallerClosed(exchange));
        exchange.receivedAtMs = this.nowMs();
        this.requestHandler.handleRequest(exchange);
    }

    async close(): Promise<void> {
        await this.pools.destroy();
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private onExchangeEnded(exchange: Exchange): void {
        measureRequest(exchange, this.options.metrics, this.nowMs());
        this.exchanges.delete(exchange.id);
        this.requestHandler.release(exchange);
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
        attempt.start(this.pools.getPool(address, this.nowMs()));
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
        this.options.logger.warn("reset a caller's connection because its response was truncated", {
            requestId,
            reason,
        });
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
        void probeUpstream(this.pools.getPool(address, startedAtMs)).then(load => {
            const latencyMs = this.nowMs() - startedAtMs;
            this.run({ kind: "probe-ended", service, upstreamId, latencyMs, load });
        });
    }
}
