import type { Dispatcher } from "undici";
import { Attempt } from "../entry/attempt.js";
import type { BufferBudget } from "../entry/bufferBudget.js";
import { AttemptFailure, type ResponseHead } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import { UseOutcome } from "./upstreamBoard.js";

const firstServerError = 500;

/** How an attempt ended. */
export type AttemptEnd =
    /** The answer went to the caller. */
    | { readonly kind: "delivered"; readonly status: number; }
    /** The upstream's failure is held; it can be delivered, or replaced by the answer of another attempt. */
    | { readonly kind: "failed-answer"; readonly status: number; }
    /** The upstream states that it did not run the request. */
    | { readonly kind: "not-run"; readonly status: number; }
    /** No byte was written. */
    | { readonly kind: "not-sent"; readonly failure: AttemptFailure; }
    /** The request may have run, and there is no answer. */
    | { readonly kind: "lost"; readonly failure: AttemptFailure; }
    /** A part of the answer has gone to the caller. */
    | { readonly kind: "cut-off"; readonly failure: AttemptFailure; };

/** What one attempt is about. */
export interface AttemptPlan {
    readonly exchange: GatewayExchange;
    readonly requestId: string | undefined;
    readonly headers: string[];
}

/** One try to have an upstream answer a request; checks whose answer it is and whether it can be trusted. */
export class GatewayAttempt {
    private readonly attempt: Attempt;
    private head: ResponseHead | undefined;
    private isSent = false;
    private isForwarded = false;
    private isNotRun = false;
    private settle: (end: AttemptEnd) => void = () => undefined;

    constructor(private readonly plan: AttemptPlan, private readonly dialect: Dialect, budget: BufferBudget) {
        const { exchange, headers } = plan;
        const request = {
            method: exchange.incoming.method ?? "GET",
            path: exchange.path,
            headers,
            body: exchange.body.content,
            retainedBytesLimit: 0,
        };
        this.attempt = new Attempt(request, {
            onSent: () => this.isSent = true,
            onHead: head => this.onHead(head),
            onOverflow: () => this.onOverflow(),
            onComplete: () => this.onComplete(),
            onFailed: failure => this.onFailed(failure),
        }, budget);
    }

    /** Whether the upstream may have begun to run the request. */
    get mayHaveRun(): boolean {
        return this.isSent && !this.isNotRun;
    }

    /** Head of the upstream's answer, once it has arrived. */
    get answerHead(): ResponseHead | undefined {
        return this.head;
    }

    /** Sends the request and resolves when the attempt has ended. */
    start(dispatcher: Dispatcher): Promise<AttemptEnd> {
        return new Promise(resolve => {
            this.settle = resolve;
            this.attempt.start(dispatcher);
        });
    }

    /** Delivers a held answer. */
    deliver(): void {
        this.isForwarded = true;
        this.plan.exchange.source = "upstream";
        this.attempt.forwardTo(this.plan.exchange);
    }

    /** Stops the attempt; the upstream sees its connection close. */
    cancel(): void {
        this.attempt.cancel();
        this.settle({ kind: this.isSent ? "lost" : "not-sent", failure: AttemptFailure.cancelled });
    }

    private onHead(head: ResponseHead): void {
        this.head = head;
        this.isNotRun = this.dialect.isNotRun(head);
        if (this.isForeign(head) || (!this.isNotRun && !this.dialect.isGenuine(head))) {
            // What follows on the connection cannot be trusted either.
            this.isNotRun = false;
            this.attempt.cancel();
            this.onFailed(AttemptFailure.malformed);
        }
    }

    /** A response can be one to an earlier request or question on the connection that came late or twice. */
    private isForeign(head: ResponseHead): boolean {
        const answeredId = this.dialect.readAnsweredId(head);
        return answeredId === undefined
            ? this.dialect.readUpstreamId(head) !== undefined
            : answeredId !== this.plan.requestId;
    }

    private onOverflow(): void {
        if (!this.isNotRun) {
            this.deliver();
        }
    }

    private onComplete(): void {
        const status = this.head?.status ?? 0;
        if (this.isForwarded) {
            this.settle({ kind: "delivered", status });
        }
        else if (this.isNotRun) {
            this.settle({ kind: "not-run", status });
        }
        else if (status >= firstServerError) {
            this.settle({ kind: "failed-answer", status });
        }
        else {
            this.deliver();
            this.settle({ kind: "delivered", status });
        }
    }

    private onFailed(failure: AttemptFailure): void {
        if (this.isForwarded) {
            this.settle({ kind: "cut-off", failure });
        }
        else if (this.isNotRun) {
            // The statement came with the head; the rest of the answer does not matter.
            this.settle({ kind: "not-run", status: this.head?.status ?? 0 });
        }
        else {
            this.settle({ kind: this.isSent ? "lost" : "not-sent", failure });
        }
    }
}

/** Returns whether the connection can be used again; bytes of a broken exchange may still arrive on it. */
export function isReusable({ kind }: AttemptEnd): boolean {
    return kind === "delivered" || kind === "failed-answer" || kind === "not-run";
}

/** Returns what an end says of the upstream. */
export function toUseOutcome(end: AttemptEnd): UseOutcome {
    switch (end.kind) {
        case "delivered":
            return UseOutcome.good;
        case "failed-answer":
            return UseOutcome.failed;
        case "not-run":
            return UseOutcome.refused;
        default:
            return UseOutcome.broken;
    }
}
