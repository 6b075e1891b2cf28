import type { Dispatcher } from "undici";
import { AttemptFailure, type ResponseHead, type RetainedResponse } from "../requests/model.js";
import type { BufferBudget } from "./bufferBudget.js";
import { type HeaderField, selectEndToEndFields, toHeaderFields } from "./headers.js";

/** Bytes of a response that is not retained that are held before the core decides whether they are forwarded. */
const heldBytesLimit = 64 * 1024;
/** A response that is not complete after this time is streamed instead of held. */
const holdTimeMs = 100;

/** Where the response of an attempt goes once it is forwarded. */
export interface ResponseSink {
    /** `isWhole` tells that the content follows at once. */
    writeHead(head: ResponseHead, isWhole: boolean): void;
    /** Returns false when the caller is slower than the upstream; `onDrain` is called when it has caught up. */
    write(chunk: Buffer, onDrain: () => void): boolean;
    end(trailers: readonly HeaderField[]): void;
}

/** What an attempt tells its owner. */
export interface AttemptListener {
    /** The head is about to be written. */
    onSent(): void;
    onHead(head: ResponseHead): void;
    /** More of the response has arrived than is held, or it takes long to arrive. */
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
    /** Bytes of the response body to hold and retain; 0 when nothing is retained. */
    readonly retainedBytesLimit: number;
}

/** One attempt at an upstream over undici. */
export class Attempt implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private head: ResponseHead | undefined;
    private sink: ResponseSink | undefined;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private retained: Buffer[] | undefined;
    private retainedBytes = 0;
    private countedBytes = 0;
    private trailers: HeaderField[] = [];
    private isComplete = false;
    private isOver = false;
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

    /** Sends the response to the caller from now on. */
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
        const isCaughtUp = held.map(chunk => this.pass(chunk)).every(isAccepted => isAccepted);
        if (this.isComplete) {
            sink.end(this.trailers);
        }
        else if (isCaughtUp) {
            this.controller?.resume();
        }
    }

    /** Stops the attempt without telling the listener. */
    cancel(): void {
        this.end();
        this.abort("cancelled");
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        const isRepeated = this.controller !== undefined;
        this.controller = controller;
        if (this.isOver) {
            controller.abort(new Error("cancelled"));
        }
        else if (isRepeated) {
            // undici sends a request again after some errors of its connection. Only the core may decide that.
            this.fail(AttemptFailure.reset);
        }
        else {
            this.listener.onSent();
        }
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200 || this.isOver) {
            return;
        }
        const fields = toHeaderFields((controller.rawHeaders ?? []) as (string | Buffer)[]);
        this.head = { status, headers: selectEndToEndFields(fields) };
        this.listener.onHead(this.head);
        if (this.sink === undefined && !this.isOver) {
            this.holdTimer = setTimeout(() => this.overflow(), holdTimeMs);
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.isOver) {
            return;
        }
        this.retain(chunk);
        if (this.sink !== undefined) {
            this.pass(chunk);
        }
        else {
            this.held.push(chunk);
            this.heldBytes += chunk.length;
            this.countBytes(chunk);
            this.overflowIfFull();
        }
    }

    onResponseEnd(controller: Dispatcher.DispatchController): void {
        if (this.isOver || this.head === undefined) {
            return;
        }
        this.trailers = toHeaderFields((controller.rawTrailers ?? []) as (string | Buffer)[]);
        this.isComplete = true;
        this.end();
        this.sink?.end(this.trailers);
        this.listener.onComplete(this.retainedResponse(this.head));
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.fail(
            classifyFailure(error as NodeJS.ErrnoException, this.head !== undefined, this.controller !== undefined),
        );
    }

    private pass(chunk: Buffer): boolean {
        const isAccepted = this.sink?.write(chunk, () => this.controller?.resume()) ?? true;
        if (!isAccepted) {
            this.controller?.pause();
        }
        return isAccepted;
    }

    private overflowIfFull(): void {
        const limitBytes = Math.max(heldBytesLimit, this.request.retainedBytesLimit);
        if (this.sink === undefined && (this.heldBytes > limitBytes || !this.budget.canHold(0))) {
            this.controller?.pause();
            this.overflow();
        }
    }

    private overflow(): void {
        if (!this.hasOverflowed && !this.isOver && this.sink === undefined) {
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
            this.countBytes(chunk);
        }
    }

    private retainedResponse(head: ResponseHead): RetainedResponse | undefined {
        if (this.request.retainedBytesLimit === 0) {
            return undefined;
        }
        return { ...head, body: this.retained === undefined ? undefined : Buffer.concat(this.retained) };
    }

    private fail(failure: AttemptFailure): void {
        if (this.isOver) {
            return;
        }
        this.end();
        this.abort(failure);
        this.listener.onFailed(failure);
    }

    private abort(reason: string): void {
        if (!this.isComplete) {
            this.controller?.abort(new Error(reason));
        }
    }

    private end(): void {
        this.isOver = true;
        clearTimeout(this.holdTimer);
        this.releaseBytes();
    }

    private countBytes(chunk: Buffer): void {
        this.countedBytes += chunk.length;
        this.budget.add(chunk.length);
    }

    private releaseBytes(): void {
        this.budget.release(this.countedBytes);
        this.countedBytes = 0;
    }
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
