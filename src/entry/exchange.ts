import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import type { RequestId, ServiceName } from "../core/ids.js";
import type { GeneratedAnswer, ResponseHead, RetainedResponse } from "../requests/model.js";
import type { Admitted } from "./admission.js";
import type { Attempt, ResponseSink } from "./attempt.js";
import { type HeaderField, selectEndToEndFields, toHeaderFields } from "./headers.js";
import { formatProblem, formatRetryAfter } from "./problem.js";

/**
 * Longest time that a connection is read after an answer that came before the end of its request: a caller notices the
 * answer within a round trip, and one that sends on without reading does not hold the connection for longer.
 */
const lingerMs = 2000;

const notForwardedNames = new Set(["content-length", "figwharf-deadline-ms", "figwharf-request-id"]);

/** The body of a caller's request. */
export interface RequestBody {
    /** Undefined when the body is not buffered. */
    readonly buffer: Buffer | undefined;
    /** Sent to the upstream. */
    readonly content: Dispatcher.DispatchOptions["body"];
    /** Undefined when the caller states no length. */
    readonly lengthBytes: number | undefined;
}

/** One request of a caller and its response. */
export class Exchange implements ResponseSink {
    readonly attempts = new Map<string, Attempt>();
    body: RequestBody = { buffer: undefined, content: null, lengthBytes: undefined };
    /** Set once the request was let in. */
    admitted: Admitted | undefined;
    /** Bytes of the memory for bodies that this request has reserved. */
    reservedBytes = 0;
    /** Whether the connection is closed after the response. */
    mustClose = false;
    /** When the head of the request arrived, in monotonic milliseconds. */
    receivedAtMs = 0;
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

    /** Whether the response has ended or the caller is gone. */
    get isEnded(): boolean {
        return this.isOver;
    }

    /** Returns the header of a request to an upstream, as a flat list of names and values. */
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

    writeHead(head: ResponseHead, isWhole: boolean): void {
        if (this.isOver) {
            return;
        }
        const headers: string[] = [];
        for (const [name, value] of head.headers) {
            headers.push(name, value);
        }
        if (this.mustClose || !this.incoming.complete) {
            headers.push("Connection", "close");
            this.lingerAfterAnswer();
        }
        this.outgoing.writeHead(head.status, headers);
        if (isWhole) {
            // One write for head and content.
            this.outgoing.cork();
            process.nextTick(() => this.outgoing.uncork());
        }
        else if (!isWithoutContent(head.status)) {
            // A response that is streamed shows its head before its first byte of content arrives.
            this.outgoing.flushHeaders();
        }
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

    /** A caller that stops reading would hold an upstream's slot without end. */
    private waitForDrain(onDrain: () => void): void {
        this.isWaitingForDrain = true;
        const timer = setTimeout(() => this.outgoing.destroy(), this.stallTimeoutMs);
        const stop = () => {
            this.isWaitingForDrain = false;
            clearTimeout(timer);
            this.outgoing.off("drain", stop).off("close", stop);
            onDrain();
        };
        this.outgoing.once("drain", stop).once("close", stop);
    }

    end(trailers: readonly HeaderField[]): void {
        if (this.isOver) {
            return;
        }
        if (trailers.length > 0 && this.outgoing.chunkedEncoding) {
            this.outgoing.addTrailers(trailers.map(([name, value]) => [name, value] as [string, string]));
        }
        this.outgoing.end();
        this.finish();
    }

    /** Ends the request with an answer of figwharf itself. */
    answer(answer: GeneratedAnswer): void {
        if (this.isOver) {
            return;
        }
        if (this.outgoing.headersSent) {
            this.destroyCaller();
            return;
        }
        const { headers, body } = formatProblem(answer, this.id);
        if (answer.retryAfterMs !== undefined) {
            headers["Retry-After"] = this.formatRetryAfter(answer.retryAfterMs);
        }
        if (this.mustClose || !this.incoming.complete) {
            // When the rest of the body is not read, the connection cannot carry another request.
            headers["Connection"] = "close";
            this.lingerAfterAnswer();
        }
        this.outgoing.writeHead(answer.status, headers);
        this.outgoing.end(this.incoming.method === "HEAD" ? undefined : body);
        this.finish();
    }

    private lingerAfterAnswer(): void {
        const { socket } = this.outgoing;
        if (!this.incoming.complete && socket !== null) {
            delayClose(socket, this.incoming);
        }
    }

    /** Returns the value of `Retry-After`; whole seconds, as RFC 9110 has it. */
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

    /** Cuts the caller's connection, so that a part of a response is not taken for a whole one. */
    destroyCaller(): void {
        if (!this.isOver) {
            const { socket } = this.outgoing;
            this.finish();
            // A reset also tells a caller that reads up to the end of the connection.
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
 * Lets a caller that still sends its body read the answer. Node closes the connection right after an answer that ends it;
 * bytes that were not read would reset the connection, and the caller could lose the answer.
 */
function delayClose(socket: Socket, incoming: IncomingMessage): void {
    const close = socket.destroySoon.bind(socket);
    socket.destroySoon = () => {
        if (incoming.complete) {
            close();
            return;
        }
        socket.end();
        incoming.resume();
        const timer = setTimeout(close, lingerMs);
        incoming.once("end", close);
        socket.once("close", () => clearTimeout(timer));
    };
}

function isWithoutContent(status: number): boolean {
    return status === 204 || status === 304;
}
