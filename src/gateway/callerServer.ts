import { randomUUID } from "node:crypto";
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { ListenAddress } from "../control/options.js";
import { refuse } from "../entry/answers.js";
import { findAmbiguity } from "../entry/framing.js";
import type { EntryLimits } from "../entry/options.js";
import { formatProblem } from "../entry/problem.js";
import { listenOn } from "../transport/listen.js";

const connectionCheckIntervalMs = 1000;

/** Handles a request whose framing is unambiguous. */
export type OnRequest = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

/** HTTP server of a gateway for its callers; refuses requests with ambiguous framing. */
export class CallerServer {
    private readonly server: http.Server;
    private readonly inFlightBySocket = new WeakMap<Socket, number>();
    private readonly refusedSockets = new WeakSet<Socket>();

    constructor(limits: EntryLimits, private readonly onRequest: OnRequest) {
        this.server = http.createServer({
            maxHeaderSize: limits.headBytes,
            headersTimeout: limits.headTimeoutMs,
            requestTimeout: 0,
            requireHostHeader: false,
            keepAliveTimeout: limits.keepAliveTimeoutMs,
            connectionsCheckingInterval: connectionCheckIntervalMs,
            noDelay: true,
        }, (incoming, outgoing) => this.accept(incoming, outgoing));
        // 100 Continue is sent only once it is known whether the body will be read.
        this.server.on("checkContinue", (incoming, outgoing) => this.accept(incoming, outgoing));
        this.server.maxConnections = limits.connections;
        this.server.on("clientError", (_error, socket) => this.onClientError(socket as Socket));
    }

    /** Rejects when the address cannot be bound. */
    async listen(address: ListenAddress): Promise<void> {
        await listenOn(this.server, address);
    }

    /** Port that the server listens on. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Sets the idle time after which keep-alive connections are closed. */
    setIdleTimeoutMs(idleTimeoutMs: number): void {
        this.server.keepAliveTimeout = idleTimeoutMs;
    }

    /** Stops accepting connections and closes idle ones. */
    stopListening(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    closeIdleConnections(): void {
        this.server.closeIdleConnections();
    }

    closeAllConnections(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private accept(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const { socket } = incoming;
        if (this.refusedSockets.has(socket)) {
            return;
        }
        const ambiguity = findAmbiguity(incoming);
        if (ambiguity !== undefined) {
            this.refusedSockets.add(socket);
            outgoing.shouldKeepAlive = false;
            const { headers, body } = formatProblem(refuse(400, "ambiguous-request", ambiguity), randomUUID());
            outgoing.writeHead(400, headers);
            outgoing.end(body);
            return;
        }
        this.inFlightBySocket.set(socket, (this.inFlightBySocket.get(socket) ?? 0) + 1);
        outgoing.once("close", () => this.inFlightBySocket.set(socket, (this.inFlightBySocket.get(socket) ?? 1) - 1));
        this.onRequest(incoming, outgoing);
    }

    /** Answers malformed input with 400, unless another response may be in progress on the connection. */
    private onClientError(socket: Socket): void {
        const isBusy = (this.inFlightBySocket.get(socket) ?? 0) > 0;
        if (!socket.writable || isBusy || this.refusedSockets.has(socket)) {
            socket.destroy();
            return;
        }
        socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }
}
