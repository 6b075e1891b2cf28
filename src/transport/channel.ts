import {
    createJSONRPCRequest,
    JSONRPCClient,
    JSONRPCErrorException,
    type JSONRPCRequest,
    type JSONRPCResponse,
    JSONRPCServer,
} from "json-rpc-2.0";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import net from "node:net";
import { ChannelError } from "../core/errors.js";
import { encodeFrame, FrameDecoder, maxFrameBytes } from "./framing.js";
import { HeldWork } from "./heldWork.js";
import { listenOn } from "./listen.js";

const pingIntervalMs = 500;
const peerTimeoutMs = 1500;
/**
 * Timeout for connecting and authenticating; doubles with each consecutive failure up to the maximum. The operating
 * system retransmits a lost SYN only after a second; a new connection reaches a VM that has just powered on sooner than
 * the retransmission.
 */
const initialConnectTimeoutMs = 150;
const maxConnectTimeoutMs = 1200;
/** Delay before reconnecting; doubles in the same way. */
const initialReconnectDelayMs = 50;
const maxReconnectDelayMs = 200;
/** Limit of the exponent in `computeBackoffMs`. */
const maxDoublings = 10;
const maxHandshakeBytes = 4096;
const nonceBytes = 16;
/** While more than this is not sent, answers wait before they are encoded, so that at most one large one is queued. */
const maxUnsentBytesBeforeAnswer = 64 * 1024;
/** While more than this is not sent, nothing else is queued. */
const maxUnsentBytes = 8 * 1024 * 1024;
/** A call does not time out while parts of a message arrive with shorter pauses. */
const maxReceivePauseMs = 500;
const receiveCheckIntervalMs = 50;

/** Handles a call from another process and returns the result. `from` is the authenticated id of that process. */
export type CallHandler = (method: string, params: unknown, from: string) => Promise<unknown> | unknown;

/** Options of a channel endpoint. */
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

/** A call; callers of earlier versions name no timeout. */
interface TimedRequest extends JSONRPCRequest {
    /** Time after which the caller no longer waits. */
    readonly timeoutMs?: number;
}

/**
 * Returns the HMAC with which `prover` proves that it knows the secret. It covers the role, so that a proof cannot be
 * reflected to its prover. The acceptor sends its proof only after verifying that of the initiator, so that an
 * unauthenticated peer gets none.
 */
function computeProof(secret: string, nonce: Uint8Array, role: ChannelRole, prover: string, verifier: string): Buffer {
    return createHmac("sha256", secret).update(nonce).update(JSON.stringify([role, prover, verifier])).digest();
}

/** One mutually authenticated connection, as initiator or acceptor. */
class Connection {
    peerId = "";
    isAuthenticated = false;
    private lastReceivedAtMs = performance.now();
    private lastSentAtMs = -Infinity;
    private readonly decoder = new FrameDecoder(maxHandshakeBytes);
    private readonly nonce = randomBytes(nonceBytes);
    private peerNonce: Uint8Array = new Uint8Array();
    private readonly livenessTimer: NodeJS.Timeout;
    private readonly server = new JSONRPCServer<string>({ errorListener: () => undefined });
    private readonly client: JSONRPCClient;
    private outgoing: Buffer[] = [];
    /** Size of the frames that the operating system has not taken completely. */
    private unsentBytes = 0;
    private readonly heldWork = new HeldWork();
    private nextCallId = 1;

    constructor(
        readonly socket: net.Socket,
        private readonly role: ChannelRole,
        private readonly options: ChannelOptions,
        handler: CallHandler,
        private readonly onAuthenticated: (connection: Connection) => void,
        private readonly onAuthenticationFailed: (peer: string) => void,
    ) {
        this.client = new JSONRPCClient(request => this.send(request));
        this.server.applyMiddleware(async (_next, request) => {
            const result = await handler(request.method, request.params, this.peerId);
            return { jsonrpc: "2.0", id: request.id ?? null, result: result ?? null };
        });
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.onSocketClosed());
        this.livenessTimer = setInterval(() => this.checkLiveness(), pingIntervalMs);
        this.livenessTimer.unref();
        this.send({ hello: options.selfId, nonce: this.nonce } satisfies Hello);
    }

    async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
        this.checkCapacity();
        const id = this.nextCallId++;
        const request = { ...createJSONRPCRequest(id, method, params as never), timeoutMs } satisfies TimedRequest;
        const timer = this.startCallTimer(timeoutMs, () => {
            const { message } = new ChannelError("channel-timeout", { peer: this.peerId, method, timeoutMs });
            this.client.receive({ jsonrpc: "2.0", id, error: { code: 0, message } });
        });
        try {
            const { error, result } = await this.client.requestAdvanced(request);
            if (error) {
                throw new JSONRPCErrorException(error.message, error.code, error.data);
            }
            return result;
        }
        finally {
            timer.stop();
        }
    }

    /** Calls `onTimeout` after `timeoutMs`, or later once no message is arriving, since that can be the answer. */
    private startCallTimer(timeoutMs: number, onTimeout: () => void): { stop(): void; } {
        const check = () => {
            const isReceiving = this.decoder.hasPartialFrame &&
                performance.now() - this.lastReceivedAtMs < maxReceivePauseMs;
            if (isReceiving) {
                timer = setTimeout(check, receiveCheckIntervalMs);
            }
            else {
                onTimeout();
            }
        };
        let timer = setTimeout(check, timeoutMs);
        return { stop: () => clearTimeout(timer) };
    }

    /** Throws ChannelError while the peer does not read. */
    private checkCapacity(): void {
        if (this.unsentBytes > maxUnsentBytes) {
            throw new ChannelError("channel-full", { peer: this.peerId, unsentBytes: this.unsentBytes });
        }
    }

    /** Sends a notification; it is dropped while the peer does not read. */
    notify(method: string, params: unknown): void {
        if (this.unsentBytes <= maxUnsentBytes) {
            this.client.notify(method, params as never);
        }
    }

    /** Size of the frames that wait to be sent; after the end of the connection, of those that were not sent. */
    get queuedBytes(): number {
        return this.unsentBytes;
    }

    private send(message: unknown): void {
        if (this.socket.destroyed) {
            throw new ChannelError("channel-closed", { peer: this.peerId });
        }
        if (this.outgoing.length === 0) {
            setImmediate(() => this.flush());
        }
        this.lastSentAtMs = performance.now();
        const frame = encodeFrame(message);
        this.outgoing.push(frame);
        this.unsentBytes += frame.length;
    }

    /** Writes all frames queued in one turn of the event loop with a single call. */
    private flush(): void {
        const frames = this.outgoing;
        this.outgoing = [];
        if (!this.socket.destroyed) {
            const bytes = frames.length === 1 ? frames[0] : Buffer.concat(frames);
            // A write that the end of the connection has interrupted completes without an error.
            this.socket.write(bytes, error => {
                if (!error && !this.socket.destroyed) {
                    this.unsentBytes -= bytes.length;
                    this.runHeldWork();
                }
            });
        }
    }

    private get hasUnsent(): boolean {
        return this.unsentBytes > maxUnsentBytesBeforeAnswer;
    }

    /** Runs an action once the peer has read earlier answers, unless its caller has given up by then. */
    private runOnceRead(action: () => void, timeoutMs: number | undefined): void {
        if (this.hasUnsent) {
            this.heldWork.add(action, timeoutMs, performance.now());
        }
        else {
            action();
        }
    }

    private runHeldWork(): void {
        while (!this.hasUnsent && !this.socket.destroyed) {
            const action = this.heldWork.takeNext(performance.now());
            if (action === undefined) {
                break;
            }
            action();
        }
    }

    private receive(chunk: Buffer): void {
        this.lastReceivedAtMs = performance.now();
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
            const request = message as unknown as TimedRequest;
            if (request.id === undefined) {
                this.answer(request);
            }
            else {
                this.runOnceRead(() => this.answer(request), request.timeoutMs);
            }
        }
        else if ("jsonrpc" in message) {
            this.client.receive(message as unknown as JSONRPCResponse);
        }
    }

    /** Handles a call or notification, and sends the answer of a call. */
    private answer(request: TimedRequest): void {
        const isCall = request.id !== undefined;
        this.server.receive(request, this.peerId).then(answer => {
            if (isCall && answer) {
                this.runOnceRead(() => this.sendAnswer(answer), request.timeoutMs);
            }
        }, () => undefined);
    }

    private sendAnswer(answer: JSONRPCResponse): void {
        try {
            this.send(answer);
        }
        catch {
            this.socket.destroy();
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
            this.onAuthenticated(this);
        }
        else {
            this.onAuthenticationFailed(this.peerId || String(this.socket.remoteAddress));
            this.socket.destroy();
        }
    }

    private sendProof(): void {
        const { secret, selfId } = this.options;
        this.send({ proof: computeProof(secret, this.peerNonce, this.role, selfId, this.peerId) } satisfies Proof);
    }

    private isProofValid(proof: unknown): boolean {
        const peerRole = this.role === ChannelRole.initiator ? ChannelRole.acceptor : ChannelRole.initiator;
        const expected = computeProof(this.options.secret, this.nonce, peerRole, this.peerId, this.options.selfId);
        return this.peerId !== "" && proof instanceof Uint8Array && proof.length === expected.length &&
            timingSafeEqual(proof, expected);
    }

    private checkLiveness(): void {
        if (performance.now() - this.lastReceivedAtMs > peerTimeoutMs) {
            this.socket.destroy();
        }
        else if (this.isAuthenticated && !this.socket.destroyed && this.isSendIdle()) {
            this.send({ ping: true });
        }
    }

    /**
     * Any message proves liveness to the peer, so a ping is needed only when nothing was sent recently. With half the
     * interval between checks as the limit, the peer receives a message at least every 1.5 intervals.
     */
    private isSendIdle(): boolean {
        return performance.now() - this.lastSentAtMs >= pingIntervalMs / 2;
    }

    private onSocketClosed(): void {
        clearInterval(this.livenessTimer);
        this.client.rejectAllPendingRequests(`the connection to ${this.peerId} closed`);
    }
}

/** Bytes that wait to be sent to the peers of a channel server. */
export interface QueuedBytes {
    readonly total: number;
    /** Those of the peer with the most. */
    readonly max: number;
    /** Id of that peer; empty if none wait. */
    readonly maxPeer: string;
}

/** Server side of a channel: accepts connections from other processes. */
export class ChannelServer {
    /** Connections closed because the peer failed to authenticate. */
    authenticationFailureCount = 0;
    /** Called when a connection has closed before the peer had read everything. */
    onUnreadAtClose: (peerId: string, unreadBytes: number) => void = () => undefined;
    private readonly connections = new Set<Connection>();

    /** `server` may listen already, as long as it has not accepted a connection. */
    constructor(options: ChannelOptions, handler: CallHandler, private readonly server = net.createServer()) {
        this.server.on("connection", socket => {
            const connection = new Connection(
                socket,
                ChannelRole.acceptor,
                options,
                handler,
                () => undefined,
                () => this.authenticationFailureCount++,
            );
            this.connections.add(connection);
            socket.on("close", () => this.onConnectionClosed(connection));
        });
    }

    /** Returns the bytes that wait to be sent. */
    get queuedBytes(): QueuedBytes {
        let queued: QueuedBytes = { total: 0, max: 0, maxPeer: "" };
        for (const { queuedBytes, peerId } of this.connections) {
            const isMax = queuedBytes > queued.max;
            queued = {
                total: queued.total + queuedBytes,
                max: isMax ? queuedBytes : queued.max,
                maxPeer: isMax ? peerId : queued.maxPeer,
            };
        }
        return queued;
    }

    /** Starts listening and resolves with the port. Rejects when the address cannot be bound. */
    listen(host: string, port: number): Promise<number> {
        return listenOn(this.server, { host, port });
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.connections.forEach(({ socket }) => socket.destroy());
        await closed;
    }

    private onConnectionClosed(connection: Connection): void {
        this.connections.delete(connection);
        if (connection.queuedBytes > 0) {
            this.onUnreadAtClose(connection.peerId, connection.queuedBytes);
        }
    }
}

/** Client side of a channel to one other process; reconnects automatically. It is connected once authenticated. */
export class ChannelClient {
    private connection: Connection | undefined;
    private socket: net.Socket | undefined;
    private reconnectTimer: NodeJS.Timeout | undefined;
    private connectTimer: NodeJS.Timeout | undefined;
    private consecutiveFailures = 0;
    private isClosed = false;
    private readonly connectionWaiters = new Set<() => void>();

    /** `address` is `host:port`. */
    constructor(
        readonly address: string,
        private readonly options: ChannelOptions,
        private readonly handler: CallHandler = () => undefined,
    ) {
        this.connect();
    }

    /** Waits until the channel is connected. Resolves with false on timeout. */
    async waitConnected(timeoutMs: number): Promise<boolean> {
        if (this.connection !== undefined) {
            return true;
        }
        return new Promise(resolve => {
            const settle = () => {
                clearTimeout(timer);
                this.connectionWaiters.delete(settle);
                resolve(this.connection !== undefined);
            };
            const timer = setTimeout(settle, timeoutMs);
            this.connectionWaiters.add(settle);
        });
    }

    isConnected(): boolean {
        return this.connection !== undefined;
    }

    /**
     * Calls a method. Rejects with ChannelError while disconnected, and with JSONRPCErrorException on an error of the
     * peer, a timeout or the loss of the connection; after the last two the peer may have handled the call.
     */
    async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
        if (this.connection === undefined) {
            throw new ChannelError("channel-closed", { peer: this.address });
        }
        return this.connection.call(method, params, timeoutMs);
    }

    /** Sends a notification; it is dropped while disconnected. */
    notify(method: string, params: unknown): void {
        this.connection?.notify(method, params);
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.reconnectTimer);
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
            computeBackoffMs(initialConnectTimeoutMs, maxConnectTimeoutMs, this.consecutiveFailures),
        );
        this.connectTimer.unref();
        new Connection(
            socket,
            ChannelRole.initiator,
            this.options,
            this.handler,
            connection => {
                clearTimeout(this.connectTimer);
                this.consecutiveFailures = 0;
                this.connection = connection;
                this.connectionWaiters.forEach(settle => settle());
            },
            () => undefined,
        );
    }

    private scheduleReconnect(): void {
        this.connection = undefined;
        clearTimeout(this.connectTimer);
        if (!this.isClosed) {
            const delayMs = computeBackoffMs(initialReconnectDelayMs, maxReconnectDelayMs, this.consecutiveFailures);
            this.consecutiveFailures++;
            this.reconnectTimer = setTimeout(() => this.connect(), delayMs);
            this.reconnectTimer.unref();
        }
    }
}

/** Returns a delay or timeout in milliseconds: `initialMs`, doubled with each failure up to `maxMs`. */
export function computeBackoffMs(initialMs: number, maxMs: number, failureCount: number): number {
    return Math.min(maxMs, initialMs * 2 ** Math.min(failureCount, maxDoublings));
}
