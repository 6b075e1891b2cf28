import type { Dispatcher } from "undici";
import { Attempt } from "../entry/attempt.js";
import type { BufferBudget } from "../entry/bufferBudget.js";
import { AttemptFailure, type ResponseHead } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import { UpstreamOutcome } from "./upstreamStateTable.js";

const minServerErrorStatus = 500;

/** How an attempt ended. */
export type AttemptResult =
    /** The response was forwarded to the caller. */
    | { readonly kind: "delivered"; readonly status: number; }
    /** The upstream's error response is held; it can be forwarded or replaced by the response of another attempt. */
    | { readonly kind: "failed-answer"; readonly status: number; }
    /** The upstream states that it did not run the request. */
    | { readonly kind: "not-run"; readonly status: number; }
    /** No byte of the request was written. */
    | { readonly kind: "not-sent"; readonly failure: AttemptFailure; }
    /** The request may have run, but no complete and valid response arrived. */
    | { readonly kind: "lost"; readonly failure: AttemptFailure; }
    /** The response failed after a part of it was forwarded to the caller. */
    | { readonly kind: "cut-off"; readonly failure: AttemptFailure; };

/** Immutable inputs of an attempt. */
export interface AttemptContext {
    readonly exchange: GatewayExchange;
    readonly requestId: string | undefined;
    readonly headers: string[];
    /** Whether the receiver is another entry, whose own answers carry no request id. */
    readonly isRelayed?: boolean;
    /** Called with the head of a response that belongs to the request and is authentic. */
    readonly onHead: (head: ResponseHead, isNotRun: boolean) => void;
}

/** One attempt at an upstream; verifies that the response belongs to the request and is authentic. */
export class GatewayAttempt {
    private readonly attempt: Attempt;
    private head: ResponseHead | undefined;
    private isSent = false;
    private isForwarded = false;
    /** Status of a response which states that the request did not run. */
    private notRunStatus: number | undefined;
    private settle: (attemptResult: AttemptResult) => void = () => undefined;

    constructor(private readonly context: AttemptContext, private readonly dialect: Dialect, budget: BufferBudget) {
        const { exchange, headers } = context;
        const request = {
            method: exchange.incoming.method ?? "GET",
            path: exchange.path,
            headers,
            body: exchange.body.content,
            retainedBytesLimit: 0,
        };
        this.attempt = new Attempt(request, {
            onSent: () => this.isSent = true,
            onHead: head => this.contain(() => this.onHead(head)),
            onOverflow: () => this.contain(() => this.onOverflow()),
            onComplete: () => this.contain(() => this.onComplete()),
            onFailed: failure => this.contain(() => this.onFailed(failure)),
        }, budget);
    }

    /** Ends the attempt after an exception, which also ends its exchange. */
    private contain(action: () => void): void {
        if (!this.context.exchange.contain(action)) {
            this.cancel();
        }
    }

    /** Whether the upstream may have run the request, even partly. */
    get mayHaveRun(): boolean {
        return this.isSent && this.notRunStatus === undefined;
    }

    /** Head of the upstream's response, once it has arrived. */
    get responseHead(): ResponseHead | undefined {
        return this.head;
    }

    /** Sends the request; resolves when the attempt has ended. */
    start(dispatcher: Dispatcher): Promise<AttemptResult> {
        return new Promise(resolve => {
            this.settle = resolve;
            this.attempt.start(dispatcher);
        });
    }

    /** Forwards the held response to the caller. */
    deliver(): void {
        this.isForwarded = true;
        this.context.exchange.source = "upstream";
        this.attempt.forwardTo(this.context.exchange);
    }

    /** Cancels the attempt and closes its connection to the upstream. */
    cancel(): void {
        this.attempt.cancel();
        this.settle({ kind: this.isSent ? "lost" : "not-sent", failure: AttemptFailure.cancelled });
    }

    private onHead(head: ResponseHead): void {
        this.head = head;
        const isNotRun = this.dialect.isNotRun(head);
        const isTrusted = isNotRun ? this.isIdentified(head) : this.dialect.isAuthentic(head);
        if (this.isForAnotherRequest(head) || !isTrusted) {
            // Neither a statement that the request did not run nor later bytes on the connection can be trusted.
            this.attempt.cancel();
            this.onFailed(AttemptFailure.malformed);
            return;
        }
        this.notRunStatus = isNotRun ? head.status : undefined;
        this.context.onHead(head, isNotRun);
    }

    /** Returns whether this is a delayed or duplicate response to an earlier request or probe on the connection. */
    private isForAnotherRequest(head: ResponseHead): boolean {
        const answeredId = this.dialect.readAnsweredRequestId(head);
        return answeredId === undefined
            ? this.dialect.readUpstreamId(head) !== undefined
            : answeredId !== this.context.requestId;
    }

    /** A refusal without the id of the request may repeat that of an earlier request on the connection. */
    private isIdentified(head: ResponseHead): boolean {
        const { requestId, isRelayed } = this.context;
        return requestId === undefined || isRelayed === true ||
            this.dialect.readAnsweredRequestId(head) !== undefined;
    }

    private onOverflow(): void {
        if (this.notRunStatus === undefined) {
            this.deliver();
        }
    }

    private onComplete(): void {
        if (this.head === undefined) {
            this.onFailed(AttemptFailure.malformed);
            return;
        }
        const { status } = this.head;
        if (this.isForwarded) {
            this.settle({ kind: "delivered", status });
        }
        else if (this.notRunStatus !== undefined) {
            this.settle({ kind: "not-run", status });
        }
        else if (status >= minServerErrorStatus) {
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
        else if (this.notRunStatus !== undefined) {
            // The head already states that the request did not run; the rest of the response is irrelevant.
            this.settle({ kind: "not-run", status: this.notRunStatus });
        }
        else {
            this.settle({ kind: this.isSent ? "lost" : "not-sent", failure });
        }
    }
}

/** Returns whether the connection can be reused; after a failed exchange, stray bytes may still arrive on it. */
export function isConnectionReusable({ kind }: AttemptResult): boolean {
    return kind === "delivered" || kind === "failed-answer" || kind === "not-run";
}

/** Converts the result of an attempt into an outcome for the health of the upstream. */
export function toUpstreamOutcome(attemptResult: AttemptResult): UpstreamOutcome {
    switch (attemptResult.kind) {
        case "delivered":
            return UpstreamOutcome.good;
        case "failed-answer":
            return UpstreamOutcome.failed;
        case "not-run":
            return UpstreamOutcome.refused;
        default:
            return UpstreamOutcome.broken;
    }
}
