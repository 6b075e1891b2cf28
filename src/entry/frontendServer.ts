import { randomUUID } from "node:crypto";
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import polka from "polka";
import type { ServiceName } from "../core/ids.js";
import { limitVerdictToSubmission } from "../requests/answers.js";
import type { GeneratedAnswer } from "../requests/model.js";
import { isKeyed } from "../requests/verdicts.js";
import { listenOn } from "../transport/listen.js";
import type { AddressAnswer } from "./addressAnswer.js";
import { maxAnnouncementBytes } from "./announcements.js";
import { refuse } from "./answers.js";
import { findAmbiguity } from "./framing.js";
import type { EntryLimits, ListenAddress } from "./options.js";
import { formatProblem } from "./problem.js";

const connectionCheckIntervalMs = 500;
const servicePathPattern = /^\/services\/([^/?]+)(.*)$/;

/** Callbacks of the frontend server. */
export interface FrontendHandlers {
    isService(name: ServiceName): boolean;
    /** Returns the answer to all requests while the entry does not serve; undefined otherwise. */
    refusal(): GeneratedAnswer | undefined;
    /** `path` is the path and query for the upstream. */
    onRequest(service: ServiceName, path: string, incoming: IncomingMessage, outgoing: ServerResponse): void;
    /** Returns the JSON answer, or a description of the problem. */
    onAnnouncement(text: string): object | string;
    listEntries(service: ServiceName | undefined): AddressAnswer | undefined;
}

/** HTTP server for callers and upstreams. */
export class FrontendServer {
    readonly server: http.Server;
    /** Open requests per connection; parse errors get no answer on these connections, which may carry a response. */
    private readonly busySockets = new Map<Socket, number>();
    /** Connections on which an ambiguous request was refused; all further data on them is ignored. */
    private readonly refusedSockets = new WeakSet<Socket>();

    constructor(limits: EntryLimits, private readonly handlers: FrontendHandlers) {
        this.server = http.createServer({
            maxHeaderSize: limits.headBytes,
            headersTimeout: limits.headTimeoutMs,
            requestTimeout: 0,
            requireHostHeader: false,
            keepAliveTimeout: limits.keepAliveTimeoutMs,
            connectionsCheckingInterval: connectionCheckIntervalMs,
            noDelay: true,
        });
        this.server.maxConnections = limits.connections;
        this.server.on("clientError", (error, socket) => this.onClientError(error, socket as Socket));
    }

    /** Starts listening and resolves with the port. Rejects when the address cannot be bound. */
    listen(address: ListenAddress): Promise<number> {
        const app = polka({
            server: this.server,
            onNoMatch: (request, response) => this.routeByPath(request, response),
        });
        app.use((request, response, next) => this.routeByHost(request, response) || next());
        app.get("/v1/entries", (request, response) => this.answerEntries(request, response));
        app.post("/v1/upstreams", (request, response) => this.readAnnouncement(request, response));
        this.server.on("request", app.handler);
        return listenOn(this.server, address);
    }

    /** Counts a request on its connection until the response is closed. */
    private trackBusySocket(socket: Socket, outgoing: ServerResponse): void {
        this.busySockets.set(socket, (this.busySockets.get(socket) ?? 0) + 1);
        outgoing.once("close", () => {
            const count = (this.busySockets.get(socket) ?? 1) - 1;
            if (count === 0) {
                this.busySockets.delete(socket);
            }
            else {
                this.busySockets.set(socket, count);
            }
        });
    }

    private routeByHost(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
        if (this.refusedSockets.has(incoming.socket)) {
            return true;
        }
        const ambiguity = findAmbiguity(incoming);
        if (ambiguity !== undefined) {
            this.refusedSockets.add(incoming.socket);
            outgoing.shouldKeepAlive = false;
            sendProblem(outgoing, refuse(400, "ambiguous-request", ambiguity));
            return true;
        }
        this.trackBusySocket(incoming.socket, outgoing);
        const host = (incoming.headers.host ?? "").split(":")[0];
        const url = incoming.url ?? "/";
        if (host === "" || !this.handlers.isService(host)) {
            return false;
        }
        this.handlers.onRequest(host, url, incoming, outgoing);
        return true;
    }

    private routeByPath(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const match = servicePathPattern.exec(incoming.url ?? "");
        const service = match === null ? undefined : decodeName(match[1]);
        if (match === null || service === undefined) {
            const answer = this.handlers.refusal() ?? refuse(404, "unknown-path", "The path names no service.");
            // Without a service, the methods that it declares as idempotent are not known.
            const needsClaim = isKeyed(incoming.method ?? "", incoming.headers["idempotency-key"], undefined);
            sendProblem(outgoing, needsClaim ? limitVerdictToSubmission(answer) : answer);
            return;
        }
        const rest = match[2];
        this.handlers.onRequest(service, rest.startsWith("/") ? rest : `/${rest}`, incoming, outgoing);
    }

    private answerEntries(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const query = new URL(incoming.url ?? "/", "http://entry").searchParams;
        const answer = this.handlers.listEntries(query.get("service") ?? undefined);
        if (answer === undefined) {
            sendProblem(outgoing, refuse(404, "unknown-service", "The catalogue has no such service."));
            return;
        }
        sendJson(outgoing, answer);
    }

    private readAnnouncement(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        incoming.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes <= maxAnnouncementBytes) {
                chunks.push(chunk);
            }
        });
        incoming.on("end", () => {
            const isTooLarge = sizeBytes > maxAnnouncementBytes;
            const result = isTooLarge ? "The body is too large." : this.handlers.onAnnouncement(
                Buffer.concat(chunks).toString(),
            );
            if (typeof result === "string") {
                sendProblem(outgoing, refuse(isTooLarge ? 413 : 400, "invalid-announcement", result));
                return;
            }
            sendJson(outgoing, result);
        });
        incoming.on("error", () => outgoing.destroy());
    }

    private onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
        if (this.refusedSockets.has(socket)) {
            socket.destroySoon();
            return;
        }
        if (!socket.writable || this.busySockets.has(socket)) {
            socket.destroy();
            return;
        }
        const { headers, body } = formatProblem(createClientErrorAnswer(error.code), randomUUID());
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const problem = JSON.parse(body) as { readonly status: number; readonly title: string; };
        socket.end(`HTTP/1.1 ${problem.status} ${problem.title}\r\n${lines}Connection: close\r\n\r\n${body}`);
    }
}

function createClientErrorAnswer(code: string | undefined): GeneratedAnswer {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return refuse(431, "head-too-large", "The request head is too large.");
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return refuse(408, "head-too-slow", "The request head took too long to arrive.");
        default:
            return refuse(400, "malformed-request", "The request is not valid HTTP/1.1.");
    }
}

function decodeName(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
}

function sendJson(outgoing: ServerResponse, value: object): void {
    const text = JSON.stringify(value);
    outgoing.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    outgoing.end(text);
}

function sendProblem(outgoing: ServerResponse, answer: GeneratedAnswer): void {
    const { headers, body } = formatProblem(answer, randomUUID());
    outgoing.writeHead(answer.status, headers);
    outgoing.end(body);
}
