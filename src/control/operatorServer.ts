import { type JSONRPCErrorResponse, type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import { createHash, timingSafeEqual } from "node:crypto";
import http from "node:http";
import polka from "polka";
import { FigwharfError } from "../core/errors.js";
import { listenOn } from "../transport/listen.js";
import type { OperatorCaller } from "./catalogueService.js";
import type { ListenAddress, OperatorToken } from "./options.js";

const maxBodyBytes = 8 * 1024 * 1024;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const serverErrorCode = -32000;
const internalErrorCode = -32603;

type AnswerCall = (method: string, params: unknown, caller: OperatorCaller) => Promise<unknown>;

/** HTTP interface for operators: `POST /v1/rpc` with JSON-RPC and a bearer token. */
export class OperatorServer {
    private readonly server: http.Server;
    private readonly app: polka.Polka;
    private readonly rpc = new JSONRPCServer<OperatorCaller>({ errorListener: () => undefined });

    constructor(private readonly tokens: readonly OperatorToken[], answerCall: AnswerCall) {
        this.rpc.applyMiddleware(async (_next, request, caller) => {
            const result = await answerCall(request.method, request.params, caller);
            return { jsonrpc: "2.0", id: request.id ?? null, result: result ?? null };
        });
        this.rpc.mapErrorToJSONRPCErrorResponse = toErrorResponse;
        this.server = http.createServer({ headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs });
        this.app = polka({ server: this.server }).post("/v1/rpc", (request, response) => {
            this.handle(request, response).catch(() => response.destroy());
        });
    }

    /** Listens and returns the port. */
    listen(address: ListenAddress): Promise<number> {
        // polka attaches its request handler only in its own listen.
        this.server.on("request", this.app.handler);
        return listenOn(this.server, address);
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const operator = this.findOperator(request.headers.authorization);
        if (operator === undefined) {
            sendJson(response, 401, { title: "the bearer token is missing or not known" });
            return;
        }
        const body = await readBody(request);
        if (body === undefined) {
            response.setHeader("connection", "close");
            sendJson(response, 413, { title: `the body exceeds ${maxBodyBytes} bytes` });
            return;
        }
        const caller = { operator, from: request.socket.remoteAddress ?? "" };
        sendJson(response, 200, await this.rpc.receiveJSON(body, caller));
    }

    private findOperator(header: string | undefined): string | undefined {
        const givenDigest = digest(/^Bearer (.+)$/i.exec(header ?? "")?.[1] ?? "");
        return this.tokens.find(operatorToken =>
            operatorToken.token !== "" && timingSafeEqual(digest(operatorToken.token), givenDigest)
        )?.operator;
    }
}

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

async function readBody(request: http.IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
        sizeBytes += (chunk as Buffer).length;
        if (sizeBytes > maxBodyBytes) {
            return undefined;
        }
    }
    return Buffer.concat(chunks).toString("utf8");
}

function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
    response.statusCode = status;
    response.setHeader("content-type", status === 200 ? "application/json" : "application/problem+json");
    response.end(JSON.stringify(body));
}

function toErrorResponse(id: JSONRPCRequest["id"], error: unknown): JSONRPCErrorResponse {
    const isExpected = error instanceof FigwharfError;
    const message = error instanceof Error ? error.message : String(error);
    const data = isExpected ? { code: error.code } : undefined;
    return {
        jsonrpc: "2.0",
        id: id ?? null,
        error: { code: isExpected ? serverErrorCode : internalErrorCode, message, data },
    };
}
