import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import type { RequestId, ServiceName } from "../core/ids.js";
import type { GeneratedAnswer, ResponseHead, RetainedResponse } from "../requests/model.js";
import type { AdmittedRequest } from "./admission.js";
import type { Attempt, ResponseSink } from "./attempt.js";
import { findHeader, type HeaderField, selectEndToEndFields, toHeaderFields } from "./headers.js";
import { formatProblem, formatRetryAfter } from "./problem.js";

/**
 * Maximum time to read the rest of a request after an early answer. A caller notices the answer within a round trip; one
 * that keeps sending without reading cannot hold the connection for longer than this.
 */
const lingeringCloseTimeoutMs = 2000;

const notForwardedNames = new Set(["content-length", "figwharf-deadline-ms", "figwharf-request-id"]);

/** The body of a caller's request. */
export interface RequestBody {
    /** Undefined when the body is not buffered. */
    readonly buffer: Buffer | undefined;
    /** Content that is sent to the upstream. */
    readonly content: Dispatcher.DispatchOptions["body"];
    /** Undefined when the length is not known in advance. */
    readonly lengthBytes: number | undefined;
}

/** One request of a caller and its response. */
export class Exchange implements ResponseSink {
    readonly attempts = new Map<string, Attempt>();
    body: RequestBody = { buffer: undefined, content: null, lengthBytes: undefined };
    /** Set once the request is admitted. */
    admitted: AdmittedRequest | undefined;
    /** Bytes that this request has reserved in the buffer budget. */
    reservedBytes = 0;
    /** Whether the connection is closed after the response. */
    mustClose = false;
    /** Arrival time of the request head, in monotonic milliseconds. */
    receivedAtMs = 0;
    /** Called with an exception that ended this exchange. */
    onError: (error: Error) => void = () => undefined;
    protected isOver = false;
    private fields: readonly HeaderField[] | undefined;
    private isWaitingForDrain = false;

    constructor(
        readonly id: RequestId,
        readonly service: ServiceName,
        /** Path and query as sent to the upstream. */
        readonly path: string,
        readonly incoming: IncomingMessage,
        readonly outgoing: ServerResponse,
        private readonly stallTimeoutMs: number,
        private readonly onEnd: (exchange: Exchange) => void,
    ) {}

    /** Whether the response has ended or the caller has disconnected. */
    get isEnded(): boolean {
        return this.isOver;
    }

    /** Whether the head of the response has been written. */
    get isResponseStarted(): boolean {
        return this.outgoing.headersSent;
    }

    /** Returns the headers of a request to an upstream, as a flat list of names and values. */
    requestHeaders(timeoutMs: number): string[] {
        this.fields ??= selectEndToEndFields(toHeaderFields(this.incoming.rawHeaders))
            .filter(([name]) => !notForwardedNames.has(name.toLowerCase()));
        const headers: string[] = [];
        for (const [name, value] of this.fields) {
            headers.push(name, value);
        }
        headers.push("Figwharf-Request-Id", this.id, "Figwharf-Deadline-Ms", String(Math.floor(timeoutMs)));
        if (this.body.buffer === undefined && this.body.lengthBytes !== undefined && this.body.content !== null) {
            headers.push("Content-Length", String(this.body.lengthBytes));
        }
        return headers;
    }

    /**
     * Runs an action that concerns only this exchange, such as that of a timer. An exception ends the exchange instead of the
     * process with all its others; returns whether there was none.
     */
    contain(action: () => void): boolean {
        try {
            action();
            return true;
        }
        catch (error) {
            this.onError(error as Error);
            this.destroyCaller();
            return false;
        }
    }

    writeHead(head: ResponseHead, isBodyComplete: boolean): void {
        if (this.canStartResponse()) {
            this.contain(() => this.writeResponseHead(head, isBodyComplete));
        }
    }

    private writeResponseHead(head: ResponseHead, isBodyComplete: boolean): void {
        const headers: string[] = [];
        const areTrailersAllowed = this.areTrailersAllowed(head);
        for (const [name, value] of head.headers) {
            if (areTrailersAllowed || name.toLowerCase() !== "trailer") {
                headers.push(name, value);
            }
        }
        if (this.mustClose || !this.incoming.complete) {
            headers.push("Connection", "close");
            this.lingerIfBodyUnread();
        }
        this.outgoing.writeHead(head.status, headers);
        if (isBodyComplete) {
            // Writes head and content in a single call.
            this.outgoing.cork();
            process.nextTick(() => this.outgoing.uncork());
        }
        else if (!isWithoutContent(head.status)) {
            // Sends the head of a streamed response before its first content arrives.
            this.outgoing.flushHeaders();
        }
    }

    /**
     * Only a chunked response has trailers (RFC 9112, 7.1.2), and Node rejects a head that announces them for any other. The
     * response to a caller can have another framing than that of the upstream.
     */
    private areTrailersAllowed({ status, headers }: ResponseHead): boolean {
        return this.outgoing.useChunkedEncodingByDefault && this.incoming.method !== "HEAD" &&
            !isWithoutContent(status) && findHeader(headers, "content-length") === undefined;
    }

    write(chunk: Buffer, onDrain: () => void): boolean {
        if (this.isOver) {
            return true;
        }
        const isAccepted = this.outgoing.write(chunk);
        if (!isAccepted && !this.isWaitingForDrain) {
            this.waitForDrain(onDrain);
        }
        return isAccepted;
    }

    /** Waits with a timeout, since a caller that stops reading would otherwise occupy an upstream slot indefinitely. */
    private waitForDrain(onDrain: () => void): void {
        this.isWaitingForDrain = true;
        const timer = setTimeout(() => this.outgoing.destroy(), this.stallTimeoutMs);
        const stopWaiting = () => {
            this.isWaitingForDrain = false;
            clearTimeout(timer);
            this.outgoing.off("drain", stopWaiting).off("close", stopWaiting);
            onDrain();
        };
        this.outgoing.once("drain", stopWaiting).once("close", stopWaiting);
    }

    end(trailers: readonly HeaderField[]): void {
        if (this.isOver) {
            return;
        }
        this.contain(() => {
            if (trailers.length > 0 && this.outgoing.chunkedEncoding) {
                this.outgoing.addTrailers(trailers.map(([name, value]) => [name, value] as [string, string]));
            }
            this.outgoing.end();
            this.finish();
        });
    }

    /** Ends the request with a generated answer. */
    answer(answer: GeneratedAnswer): void {
        if (this.canStartResponse()) {
            this.contain(() => this.writeAnswer(answer));
        }
    }

    private writeAnswer(answer: GeneratedAnswer): void {
        const { headers, body } = formatProblem(answer, this.id);
        if (answer.retryAfterMs !== undefined) {
            headers["Retry-After"] = this.formatRetryAfter(answer.retryAfterMs);
        }
        if (this.mustClose || !this.incoming.complete) {
            // A connection with an unread request body cannot carry another request.
            headers["Connection"] = "close";
            this.lingerIfBodyUnread();
        }
        this.outgoing.writeHead(answer.status, headers);
        this.outgoing.end(this.incoming.method === "HEAD" ? undefined : body);
        this.finish();
    }

    /** Returns whether a head may be written. Cuts off a response that has started, as no second one can follow it. */
    private canStartResponse(): boolean {
        if (this.outgoing.headersSent) {
            this.destroyCaller();
        }
        return !this.isOver;
    }

    private lingerIfBodyUnread(): void {
        const { socket } = this.outgoing;
        if (!this.incoming.complete && socket !== null) {
            enableLingeringClose(socket, this.incoming);
        }
    }

    /** Returns the value of `Retry-After` in whole seconds (RFC 9110). */
    protected formatRetryAfter(retryAfterMs: number): string {
        return formatRetryAfter(retryAfterMs);
    }

    /** Ends the request with a retained response. */
    replay(response: RetainedResponse): void {
        this.writeHead(response, true);
        if (response.body !== undefined && response.body.length > 0) {
            this.outgoing.write(response.body);
        }
        this.end([]);
    }

    /** Resets the caller's connection, so that a truncated response is not mistaken for a complete one. */
    destroyCaller(): void {
        if (!this.isOver) {
            const { socket } = this.outgoing;
            this.finish();
            // Unlike a close, a reset is also noticed by a caller that reads until the connection ends.
            socket?.resetAndDestroy();
        }
    }

    /** Ends the exchange without an answer. */
    finish(): void {
        if (!this.isOver) {
            this.isOver = true;
            this.onEnd(this);
        }
    }
}

/**
 * Lingering close: lets a caller that is still sending its body read the answer. Node closes the connection right after
 * an answer that ends it; unread bytes would then reset the connection, and the caller could lose the answer.
 */
function enableLingeringClose(socket: Socket, incoming: IncomingMessage): void {
    const close = socket.destroySoon.bind(socket);
    socket.destroySoon = () => {
        if (incoming.complete) {
            close();
            return;
        }
        socket.end();
        incoming.resume();
        const timer = setTimeout(close, lingeringCloseTimeoutMs);
        incoming.once("end", close);
        socket.once("close", () => clearTimeout(timer));
    };
}

function isWithoutContent(status: number): boolean {
    return status === 204 || status === 304;
}
