import { JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse, JSONRPCServer } from "json-rpc-2.0";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import net from "node:net";
import { ChannelError } from "../core/errors.js";
import { encodeFrame, FrameDecoder, maxFrameBytes } from "./framing.js";

const pingIntervalMs = 500;
const silenceLimitMs = 1500;
/**
 * Longest time until a connection is open and proved, first and at most; doubles with each failure in a row. The
 * operating system sends a lost first packet again only after a second, and a VM that has just got its power back is
 * reached sooner by a new connection.
 */
const firstConnectTimeoutMs = 150;
const maxConnectTimeoutMs = 1200;
/** Pause before a new connection, first and at most; doubles likewise. */
const firstReconnectDelayMs = 50;
const maxReconnectDelayMs = 200;
const maxDoublings = 10;
const maxHandshakeBytes = 4096;
const nonceBytes = 16;

/** Answers a call of another process. `from` is the authenticated id of the caller. */
export type CallHandler = (method: string, params: unknown, from: string) => Promise<unknown> | unknown;

/** Options of both ends of a channel. */
export interface ChannelOptions {
    readonly selfId: string;
    readonly secret: string;
}

const ChannelRole = { initiator: "initiator", acceptor: "acceptor" } as const;
type ChannelRole = typeof ChannelRole[keyof typeof ChannelRole];

interface Hello {
    readonly hello: string;
    readonly nonce: Buffer;
}

interface Proof {
    readonly proof: Buffer;
}

/**
 * Returns the proof that `prover` knows the secret. The role is part of it, and the acceptor proves only after it has
 * checked the initiator, so that an acceptor cannot be used to make the proof of an initiator.
 */
function proveSecret(secret: string, nonce: Uint8Array, role: ChannelRole, prover: string, verifier: string): Buffer {
    return createHmac("sha256", secret).update(nonce).update(JSON.stringify([role, prover, verifier])).digest();
}

/** One authenticated connection, in either direction. */
class Connection {
    peerId = "";
    isAuthenticated = false;
    private lastHeardMs = performance.now();
    private lastSentMs = -Infinity;
    private readonly decoder = new FrameDecoder(maxHandshakeBytes);
    private readonly nonce = randomBytes(nonceBytes);
    private peerNonce: Uint8Array = new Uint8Array();
    private readonly pingTimer: NodeJS.Timeout;
    private readonly server = new JSONRPCServer<string>({ errorListener: () => undefined });
    private readonly client: JSONRPCClient;
    private outgoing: Buffer[] = [];

    constructor(
        readonly socket: net.Socket,
        private readonly role: ChannelRole,
        private readonly options: ChannelOptions,
        handler: CallHandler,
        private readonly onReady: (connection: Connection) => void,
        private readonly onRefused: (peer: string) => void,
    ) {
        this.client = new JSONRPCClient(request => this.send(request));
        this.server.applyMiddleware(async (_next, request) => {
            const result = await handler(request.method, request.params, this.peerId);
            return { jsonrpc: "2.0", id: request.id ?? null, result: result ?? null };
        });
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.end());
        this.pingTimer = setInterval(() => this.ping(), pingIntervalMs);
        this.pingTimer.unref();
        this.send({ hello: options.selfId, nonce: this.nonce } satisfies Hello);
    }

    call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
        const failure = () => new ChannelError("channel-timeout", { peer: this.peerId, method, timeoutMs });
        return Promise.resolve(
            this.client.timeout(
                timeoutMs,
                id => ({ jsonrpc: "2.0", id, error: { code: 0, message: failure().message } }),
            )
                .request(method, params as never),
        );
    }

    notify(method: string, params: unknown): void {
        this.client.notify(method, params as never);
    }

    private send(message: unknown): void {
        if (this.socket.destroyed) {
            throw new ChannelError("channel-closed", { peer: this.peerId });
        }
        if (this.outgoing.length === 0) {
            setImmediate(() => this.flush());
        }
        this.lastSentMs = performance.now();
        this.outgoing.push(encodeFrame(message));
    }

    /** Writes all frames of one turn of the event loop in one call. */
    private flush(): void {
        const frames = this.outgoing;
        this.outgoing = [];
        if (!this.socket.destroyed) {
            this.socket.write(frames.length === 1 ? frames[0] : Buffer.concat(frames));
        }
    }

    private receive(chunk: Buffer): void {
        this.lastHeardMs = performance.now();
        try {
            for (const message of this.decoder.push(chunk)) {
                this.handle(message as Record<string, unknown>);
            }
        }
        catch {
            this.socket.destroy();
        }
    }

    private handle(message: Record<string, unknown>): void {
        if (!this.isAuthenticated) {
            this.handleHandshake(message);
        }
        else if ("method" in message) {
            const answered = this.server.receive(message as unknown as JSONRPCRequest, this.peerId);
            const isCall = message.id !== undefined;
            answered.then(answer => isCall && answer && this.send(answer), () => undefined).then(
                undefined,
                () => this.socket.destroy(),
            );
        }
        else if ("jsonrpc" in message) {
            this.client.receive(message as unknown as JSONRPCResponse);
        }
    }

    private handleHandshake(message: Record<string, unknown>): void {
        if (typeof message.hello === "string" && message.nonce instanceof Uint8Array && this.peerId === "") {
            this.peerId = message.hello;
            this.peerNonce = message.nonce;
            if (this.role === ChannelRole.initiator) {
                this.sendProof();
            }
        }
        else if (this.isProofValid(message.proof)) {
            this.isAuthenticated = true;
            if (this.role === ChannelRole.acceptor) {
                this.sendProof();
            }
            this.decoder.setLimitBytes(maxFrameBytes);
            this.onReady(this);
        }
        else {
            this.onRefused(this.peerId || String(this.socket.remoteAddress));
            this.socket.destroy();
        }
    }

    private sendProof(): void {
        const { secret, selfId } = this.options;
        this.send({ proof: proveSecret(secret, this.peerNonce, this.role, selfId, this.peerId) } satisfies Proof);
    }

    private isProofValid(proof: unknown): boolean {
        const peerRole = this.role === ChannelRole.initiator ? ChannelRole.acceptor : ChannelRole.initiator;
        const expected = proveSecret(this.options.secret, this.nonce, peerRole, this.peerId, this.options.selfId);
        return this.peerId !== "" && proof instanceof Uint8Array && proof.length === expected.length &&
            timingSafeEqual(proof, expected);
    }

    private ping(): void {
        if (performance.now() - this.lastHeardMs > silenceLimitMs) {
            this.socket.destroy();
        }
        else if (this.isAuthenticated && !this.socket.destroyed && this.isQuiet()) {
            this.send({ ping: true });
        }
    }

    /** Other messages show the peer as well as a ping does that this side is there. */
    private isQuiet(): boolean {
        return performance.now() - this.lastSentMs >= pingIntervalMs / 2;
    }

    private end(): void {
        clearInterval(this.pingTimer);
        this.client.rejectAllPendingRequests(`the connection to ${this.peerId} closed`);
    }
}

/** Accepts channels of other processes. */
export class ChannelServer {
    /** Connections refused because the other side did not know the secret. */
    refusedCount = 0;
    private readonly server: net.Server;
    private readonly sockets = new Set<net.Socket>();

    constructor(options: ChannelOptions, handler: CallHandler) {
        this.server = net.createServer(socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            new Connection(socket, ChannelRole.acceptor, options, handler, () => undefined, () => this.refusedCount++);
        });
    }

    /** Listens and returns the port. */
    listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve((this.server.address() as net.AddressInfo).port));
        });
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }
}

/** Keeps a channel to one other process open; reconnects by itself. */
export class ChannelClient {
    private connection: Connection | undefined;
    private socket: net.Socket | undefined;
    private retryTimer: NodeJS.Timeout | undefined;
    private connectTimer: NodeJS.Timeout | undefined;
    private failuresInRow = 0;
    private isClosed = false;
    private readonly waiting = new Set<() => void>();

    /** `address` is `host:port`. */
    constructor(
        readonly address: string,
        private readonly options: ChannelOptions,
        private readonly handler: CallHandler = () => undefined,
    ) {
        this.connect();
    }

    /** Resolves with whether the channel is open within the time. */
    async waitConnected(timeoutMs: number): Promise<boolean> {
        if (this.connection !== undefined) {
            return true;
        }
        return new Promise(resolve => {
            const settle = () => {
                clearTimeout(timer);
                this.waiting.delete(settle);
                resolve(this.connection !== undefined);
            };
            const timer = setTimeout(settle, timeoutMs);
            this.waiting.add(settle);
        });
    }

    isConnected(): boolean {
        return this.connection !== undefined;
    }

    /** Calls a method. Rejects with ChannelError or the other side's error; the call may still have been handled. */
    async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
        if (this.connection === undefined) {
            throw new ChannelError("channel-closed", { peer: this.address });
        }
        return this.connection.call(method, params, timeoutMs);
    }

    /** Sends a message that needs no answer; dropped while there is no connection. */
    notify(method: string, params: unknown): void {
        this.connection?.notify(method, params);
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.retryTimer);
        clearTimeout(this.connectTimer);
        this.socket?.destroy();
    }

    private connect(): void {
        const separator = this.address.lastIndexOf(":");
        const host = this.address.slice(0, separator);
        const port = Number(this.address.slice(separator + 1));
        const socket = net.connect({ host, port });
        this.socket = socket;
        socket.on("close", () => this.scheduleReconnect());
        this.connectTimer = setTimeout(
            () => socket.destroy(),
            growDelay(firstConnectTimeoutMs, maxConnectTimeoutMs, this.failuresInRow),
        );
        this.connectTimer.unref();
        new Connection(
            socket,
            ChannelRole.initiator,
            this.options,
            this.handler,
            connection => {
                clearTimeout(this.connectTimer);
                this.failuresInRow = 0;
                this.connection = connection;
                this.waiting.forEach(settle => settle());
            },
            () => undefined,
        );
    }

    private scheduleReconnect(): void {
        this.connection = undefined;
        clearTimeout(this.connectTimer);
        if (!this.isClosed) {
            const delayMs = growDelay(firstReconnectDelayMs, maxReconnectDelayMs, this.failuresInRow);
            this.failuresInRow++;
            this.retryTimer = setTimeout(() => this.connect(), delayMs);
            this.retryTimer.unref();
        }
    }
}

/** Returns a delay that doubles with each failure, in milliseconds. */
export function growDelay(firstMs: number, maxMs: number, failures: number): number {
    return Math.min(maxMs, firstMs * 2 ** Math.min(failures, maxDoublings));
}
