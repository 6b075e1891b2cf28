import { createHash } from "node:crypto";
import type { Service } from "../catalogue/model.js";
import { limitVerdictToSubmission } from "../requests/answers.js";
import type { GeneratedAnswer, RequestMetadata } from "../requests/model.js";
import { isKeyed } from "../requests/verdicts.js";
import { Admission, type AdmittedRequest } from "./admission.js";
import { refuse } from "./answers.js";
import type { BufferBudget } from "./bufferBudget.js";
import { type EntryCore, unconfirmedAnswer } from "./core.js";
import type { Exchange } from "./exchange.js";
import { parseNonNegativeInteger } from "./headers.js";
import type { EntryLimits, EntryOptions } from "./options.js";
import { parseBodyLength, readBody } from "./requestBody.js";

const defaultDeadlineMs = 30_000;
const memoryRetryAfterMs = 1000;
const emptyBodyHash = createHash("sha256").digest("hex");

/** Prepares callers' requests for the core: validates and admits them, reads the body and waits for a place. */
export class RequestHandler {
    private readonly admission: Admission;

    constructor(
        private readonly options: Pick<EntryOptions, "limits" | "clock">,
        private readonly core: EntryCore,
        private readonly budget: BufferBudget,
        private readonly onRequest: (request: RequestMetadata) => void,
    ) {
        this.admission = new Admission(options.limits, () => options.clock.monotonicMs());
    }

    tick(nowMs: number): void {
        this.admission.tick(nowMs);
    }

    /** Validates and admits a request, or answers it if it is refused. */
    handleRequest(exchange: Exchange): void {
        const deadlineMs = this.parseDeadlineMs(exchange);
        const serviceConfig = this.core.config.catalogue.services[exchange.service];
        if (deadlineMs === undefined) {
            this.refuse(
                exchange,
                refuse(400, "invalid-deadline", "Figwharf-Deadline-Ms is not a number of milliseconds."),
            );
        }
        else if (!this.core.isServing(exchange.receivedAtMs)) {
            this.refuse(exchange, unconfirmedAnswer);
        }
        else if (serviceConfig === undefined) {
            this.refuse(exchange, refuse(404, "unknown-service", "The catalogue has no such service."));
        }
        else {
            this.admit(exchange, serviceConfig, exchange.receivedAtMs + deadlineMs);
        }
    }

    /** Releases the resources of a request. */
    release(exchange: Exchange): void {
        this.budget.release(exchange.reservedBytes);
        exchange.admitted?.release();
    }

    private admit(exchange: Exchange, service: Service, deadlineAtMs: number): void {
        const result = this.admission.admit(service, getCallerId(exchange));
        if ("status" in result) {
            this.refuse(exchange, result);
            return;
        }
        exchange.admitted = result;
        const declaredBytes = parseBodyLength(exchange.incoming);
        const { limits } = this.options;
        const maxBodyBytes = Math.min(limits.bodyBytes, service.limits.maxBodyBytes);
        const isBuffered = (declaredBytes ?? 0) <= limits.bufferedBodyBytes;
        const reservedBytes = isBuffered ? declaredBytes ?? limits.bufferedBodyBytes : 0;
        if (!this.budget.canHold(reservedBytes)) {
            this.refuse(
                exchange,
                refuse(503, "memory", "The entry holds as many request bodies as it may.", memoryRetryAfterMs),
            );
            return;
        }
        this.budget.add(reservedBytes);
        exchange.reservedBytes = reservedBytes;
        void this.readRequestBody(exchange, result, { ...limits, bodyBytes: maxBodyBytes }, deadlineAtMs);
    }

    private async readRequestBody(
        exchange: Exchange,
        admitted: AdmittedRequest,
        limits: EntryLimits,
        deadlineAtMs: number,
    ): Promise<void> {
        const result = await readBody(exchange.incoming, limits);
        switch (result.kind) {
            case "body":
                exchange.body = result.body;
                return this.submitOncePlaced(exchange, admitted, deadlineAtMs);
            case "too-large":
                return this.refuse(exchange, refuse(413, "body-too-large", "The request body is too large."));
            case "too-slow":
                return this.refuse(exchange, refuse(408, "body-too-slow", "The request body took too long to arrive."));
            case "gone":
                return exchange.finish();
        }
    }

    private async submitOncePlaced(exchange: Exchange, admitted: AdmittedRequest, deadlineAtMs: number): Promise<void> {
        const refusal = await admitted.waitForPlace(deadlineAtMs);
        if (refusal !== undefined) {
            this.refuse(exchange, refusal);
            return;
        }
        this.submit(exchange, deadlineAtMs);
    }

    private refuse(exchange: Exchange, answer: GeneratedAnswer): void {
        const { method, headers } = exchange.incoming;
        const serviceConfig = this.core.config.catalogue.services[exchange.service];
        const needsClaim = isKeyed(method ?? "", headers["idempotency-key"], serviceConfig?.idempotentMethods);
        exchange.answer(needsClaim ? limitVerdictToSubmission(answer) : answer);
    }

    private submit(exchange: Exchange, deadlineAtMs: number): void {
        if (exchange.isEnded) {
            return;
        }
        const { incoming, body } = exchange;
        const key = incoming.headers["idempotency-key"];
        const request: RequestMetadata = {
            id: exchange.id,
            service: exchange.service,
            method: incoming.method ?? "GET",
            path: exchange.path,
            callerId: getCallerId(exchange),
            idempotencyKey: Array.isArray(key) ? key[0] : key,
            bodyHash: body.buffer === undefined ? undefined : hashBody(body.buffer),
            isBodyReplayable: body.buffer !== undefined,
            deadlineAtMs,
        };
        this.onRequest(request);
    }

    private parseDeadlineMs(exchange: Exchange): number | undefined {
        const { maxDeadlineMs } = this.options.limits;
        const text = exchange.incoming.headers["figwharf-deadline-ms"];
        if (text === undefined) {
            const service = this.core.config.catalogue.services[exchange.service];
            return service?.limits.defaultDeadlineMs ?? defaultDeadlineMs;
        }
        const requestedMs = parseNonNegativeInteger(String(text));
        return requestedMs === undefined ? undefined : Math.min(requestedMs, maxDeadlineMs);
    }
}

function getCallerId(exchange: Exchange): string {
    return exchange.incoming.socket.remoteAddress ?? "";
}

function hashBody(body: Buffer): string {
    return body.length === 0 ? emptyBodyHash : createHash("sha256").update(body).digest("hex");
}
