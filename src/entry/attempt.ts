import type { Dispatcher } from "undici";
import { AttemptFailure, isFinalStatus, type ResponseHead, type RetainedResponse } from "../requests/model.js";
import type { BufferBudget } from "./bufferBudget.js";
import { type HeaderField, selectEndToEndFields, toHeaderFields } from "./headers.js";

/** Maximum bytes that are held of a response that is not retained, until the core decides whether to forward it. */
const heldBytesLimit = 64 * 1024;
/** Time after which an incomplete response is streamed instead of held. */
const maxHoldMs = 100;

/** Destination of a forwarded response. */
export interface ResponseSink {
    /** `isBodyComplete` is set when all content is available and follows at once. */
    writeHead(head: ResponseHead, isBodyComplete: boolean): void;
    /** Returns false when the sink's buffer is full; `onDrain` is called when more can be written. */
    write(chunk: Buffer, onDrain: () => void): boolean;
    end(trailers: readonly HeaderField[]): void;
}

/** Callbacks of an attempt. */
export interface AttemptListener {
    /** The head is about to be written. */
    onSent(): void;
    onHead(head: ResponseHead): void;
    /** The held response exceeded its size or time limit. */
    onOverflow(): void;
    onComplete(retained: RetainedResponse | undefined): void;
    onFailed(failure: AttemptFailure): void;
}

/** The request that an attempt sends. */
export interface AttemptRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: string[];
    readonly body: Dispatcher.DispatchOptions["body"];
    /** Maximum bytes of the response body to retain; 0 disables retention. */
    readonly retainedBytesLimit: number;
}

/** One attempt to send a request to an upstream with undici. */
export class Attempt implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private head: ResponseHead | undefined;
    private sink: ResponseSink | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private retained: Buffer[] | undefined;
    private retainedBytes = 0;
    private chargedBytes = 0;
    private trailers: HeaderField[] = [];
    private isComplete = false;
    private hasEnded = false;
    private hasOverflowed = false;
    private holdTimer: NodeJS.Timeout | undefined;

    constructor(
        private readonly request: AttemptRequest,
        private readonly listener: AttemptListener,
        private readonly budget: BufferBudget,
    ) {
        this.retained = request.retainedBytesLimit > 0 ? [] : undefined;
    }

    start(dispatcher: Dispatcher): void {
        const { method, path, headers, body } = this.request;
        dispatcher.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, this);
    }

    /** Forwards the response: held data immediately, the rest as it arrives. */
    forwardTo(sink: ResponseSink): void {
        this.sink = sink;
        clearTimeout(this.holdTimer);
        if (this.head !== undefined) {
            sink.writeHead(this.head, this.isComplete);
        }
        const { held } = this;
        this.held = [];
        this.heldBytes = 0;
        if (this.retained === undefined) {
            this.releaseBytes();
        }
        const isSinkReady = held.map(chunk => this.writeToSink(chunk)).every(isAccepted => isAccepted);
        if (this.isComplete) {
            sink.end(this.trailers);
        }
        else if (isSinkReady) {
            this.controller?.resume();
        }
    }

    /** Aborts the attempt without notifying the listener. */
    cancel(): void {
        this.markEnded();
        this.abort("cancelled");
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        const isRepeated = this.controller !== undefined;
        this.controller = controller;
        if (this.hasEnded) {
            controller.abort(new Error("cancelled"));
        }
        else if (isRepeated) {
            // undici retries a request after some connection errors; only the core may decide to resend.
            this.fail(AttemptFailure.reset);
        }
        else {
            this.listener.onSent();
        }
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (this.hasEnded || isInterimStatus(status)) {
            return;
        }
        if (!isFinalStatus(status)) {
            this.fail(AttemptFailure.malformed);
            return;
        }
        const fields = toHeaderFields((controller.rawHeaders ?? []) as (string | Buffer)[]);
        this.head = { status, headers: selectEndToEndFields(fields) };
        this.listener.onHead(this.head);
        if (this.sink === undefined && !this.hasEnded) {
            this.holdTimer = setTimeout(() => this.reportOverflow(), maxHoldMs);
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.hasEnded) {
            return;
        }
        this.retain(chunk);
        if (this.sink !== undefined) {
            this.writeToSink(chunk);
        }
        else {
            this.held.push(chunk);
            this.heldBytes += chunk.length;
            this.chargeBytes(chunk);
            this.reportOverflowIfFull();
        }
    }

    onResponseEnd(controller: Dispatcher.DispatchController): void {
        if (this.hasEnded || this.head === undefined) {
            return;
        }
        this.trailers = toHeaderFields((controller.rawTrailers ?? []) as (string | Buffer)[]);
        this.isComplete = true;
        this.markEnded();
        this.sink?.end(this.trailers);
        this.listener.onComplete(this.retainedResponse(this.head));
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.fail(
            classifyFailure(error as NodeJS.ErrnoException, this.head !== undefined, this.controller !== undefined),
        );
    }

    private writeToSink(chunk: Buffer): boolean {
        const isAccepted = this.sink?.write(chunk, () => this.controller?.resume()) ?? true;
        if (!isAccepted) {
            this.controller?.pause();
        }
        return isAccepted;
    }

    private reportOverflowIfFull(): void {
        const limitBytes = Math.max(heldBytesLimit, this.request.retainedBytesLimit);
        if (this.sink === undefined && (this.heldBytes > limitBytes || !this.budget.canHold(0))) {
            this.controller?.pause();
            this.reportOverflow();
        }
    }

    private reportOverflow(): void {
        if (!this.hasOverflowed && !this.hasEnded && this.sink === undefined) {
            this.hasOverflowed = true;
            this.listener.onOverflow();
        }
    }

    private retain(chunk: Buffer): void {
        if (this.retained === undefined) {
            return;
        }
        this.retainedBytes += chunk.length;
        if (this.retainedBytes > this.request.retainedBytesLimit || !this.budget.canHold(0)) {
            this.retained = undefined;
            return;
        }
        this.retained.push(chunk);
        if (this.sink !== undefined) {
            this.chargeBytes(chunk);
        }
    }

    private retainedResponse(head: ResponseHead): RetainedResponse | undefined {
        if (this.request.retainedBytesLimit === 0) {
            return undefined;
        }
        return { ...head, body: this.retained === undefined ? undefined : Buffer.concat(this.retained) };
    }

    private fail(failure: AttemptFailure): void {
        if (this.hasEnded) {
            return;
        }
        this.markEnded();
        this.abort(failure);
        this.listener.onFailed(failure);
    }

    private abort(reason: string): void {
        if (!this.isComplete) {
            this.controller?.abort(new Error(reason));
        }
    }

    private markEnded(): void {
        this.hasEnded = true;
        clearTimeout(this.holdTimer);
        this.releaseBytes();
    }

    private chargeBytes(chunk: Buffer): void {
        this.chargedBytes += chunk.length;
        this.budget.add(chunk.length);
    }

    private releaseBytes(): void {
        this.budget.release(this.chargedBytes);
        this.chargedBytes = 0;
    }
}

function isInterimStatus(status: number): boolean {
    return status >= 100 && status < 200;
}

const connectTimeoutCodes = new Set(["UND_ERR_CONNECT_TIMEOUT", "ETIMEDOUT"]);

function classifyFailure(error: NodeJS.ErrnoException, hasHead: boolean, hasConnected: boolean): AttemptFailure {
    const code = error.code ?? "";
    if (!hasConnected) {
        return connectTimeoutCodes.has(code) ? AttemptFailure.connectTimeout : AttemptFailure.connectRefused;
    }
    if (hasHead) {
        return AttemptFailure.truncated;
    }
    return code.startsWith("HPE_") ? AttemptFailure.malformed : AttemptFailure.reset;
}
