import { once } from "node:events";
import http, { type IncomingHttpHeaders } from "node:http";
import net, { type AddressInfo } from "node:net";
import { SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import type { RouteTable } from "../directory/model.js";
import { makeRegistration } from "../directory/testing.js";
import { BufferBudget } from "../entry/bufferBudget.js";
import { checkConnection } from "../entry/connectionCheck.js";
import { findHeader } from "../entry/headers.js";
import { defaultEntryLimits } from "../entry/options.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { type QuotaGate, UnlimitedQuotaGate } from "../organisations/quotaGate.js";
import type { ResponseHead } from "../requests/model.js";
import { CallerServer } from "./callerServer.js";
import { CrashSuspects } from "./crashSuspects.js";
import { Dialect, type InstanceLoad, type RateLimitStatement } from "./dialect.js";
import { DurationEstimates } from "./durationEstimates.js";
import { GatewayExchange } from "./gatewayExchange.js";
import type { RequestDependencies } from "./gatewayRequest.js";
import { GatewayRequestHandler } from "./gatewayRequestHandler.js";
import { LoadProber } from "./loadProber.js";
import type { GatewayLogger } from "./options.js";
import { OverloadControl } from "./overloadControl.js";
import { Placer } from "./placer.js";
import { SharedRetryBudget } from "./sharedRetryBudget.js";
import { ShutdownSchedule } from "./shutdownPhases.js";
import { UpstreamAffinity } from "./upstreamAffinity.js";
import { UpstreamConnections } from "./upstreamConnections.js";
import { UpstreamLimits } from "./upstreamLimits.js";
import { UpstreamStatements } from "./upstreamStatements.js";
import { UpstreamStateTable } from "./upstreamStateTable.js";

const stallTimeoutMs = 5000;
const highProbeRate = 1000;
/** Deadline of requests; on a busy machine, many consecutive load probes can time out. */
const longDeadlineMs = 100_000;
const pollMs = 5;

/** Polls until a condition holds; the test's timeout bounds the wait. */
export async function waitFor(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}

/** Starts a server on a free loopback port; resolves with its address as `host:port`. */
export async function listenOnLoopback(server: net.Server): Promise<string> {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Headers of tests: deadline, request id, not-run statement, load and upstream id. */
export class TestDialect extends Dialect {
    readonly replacedHeaders: ReadonlySet<string> = new Set(["deadline-ms", "key", "relay", "relay-attempts"]);
    readonly organisationHeaders: ReadonlySet<string> = new Set(["organisation"]);

    readDeadlineMs(headers: IncomingHttpHeaders): number | undefined {
        return headers["deadline-ms"] === undefined ? undefined : Number(headers["deadline-ms"]);
    }

    readRequestId(headers: IncomingHttpHeaders): string | undefined {
        return headers["request-id"] === undefined ? undefined : String(headers["request-id"]);
    }

    readKeys(rawHeaders: readonly string[]): readonly string[] {
        return rawHeaders.filter((_value, index) => index % 2 === 1 && rawHeaders[index - 1].toLowerCase() === "key");
    }

    listOrganisationHeaders(organisation: string): readonly string[] {
        return ["Organisation", organisation];
    }

    listAttemptHeaders(_upstreamId: string, remainingMs: number): readonly string[] {
        return ["Deadline-Ms", String(remainingMs)];
    }

    readRelayToken(headers: IncomingHttpHeaders): string | undefined {
        return headers["relay"] === undefined ? undefined : String(headers["relay"]);
    }

    readRelayedAttempts(headers: IncomingHttpHeaders): number | undefined {
        return headers["relay-attempts"] === undefined ? undefined : Number(headers["relay-attempts"]);
    }

    listRelayHeaders(remainingMs: number, attemptsLeft: number, token: string): readonly string[] {
        return ["Deadline-Ms", String(remainingMs), "Relay-Attempts", String(attemptsLeft), "Relay", token];
    }

    readAnsweredRequestId({ headers }: ResponseHead): string | undefined {
        return findHeader(headers, "request-id");
    }

    isNotRun({ status, headers }: ResponseHead): boolean {
        return findHeader(headers, "not-run") !== undefined || status === 421;
    }

    isAuthentic(): boolean {
        return true;
    }

    /** Format: `running,slots,slowdown`. */
    readLoad({ headers }: ResponseHead): InstanceLoad | undefined {
        const text = findHeader(headers, "load");
        if (text === undefined) {
            return undefined;
        }
        const [running, slots, slowdown] = text.split(",").map(Number);
        return { running, waiting: 0, slots, slowdown };
    }

    readRateLimit({ headers }: ResponseHead): RateLimitStatement {
        const text = findHeader(headers, "rate-limit");
        return text === undefined ? { kind: "none" } : { kind: "limit", perSecond: Number(text) };
    }

    isLeaving({ headers }: ResponseHead): boolean {
        return findHeader(headers, "leaving") !== undefined;
    }

    readBackOffMs(head: ResponseHead): number | undefined {
        const text = findHeader(head.headers, "back-off-ms");
        return this.isNotRun(head) && text !== undefined ? Number(text) : undefined;
    }

    readWarmupMs({ headers }: ResponseHead): number | undefined {
        const text = findHeader(headers, "warmup-ms");
        return text === undefined ? undefined : Number(text);
    }

    isMisdirected({ status }: ResponseHead): boolean {
        return status === 421;
    }

    readUpstreamId({ headers }: ResponseHead): string | undefined {
        return findHeader(headers, "upstream-id");
    }
}

/** An upstream on a loopback port. `answer` handles all requests except load probes. */
export class TestUpstream {
    /** Ids of the requests that it received, without load probes. */
    readonly receivedIds: string[] = [];
    /** Whether it answers load probes. */
    isAnsweringProbes = true;
    load = "0,3,1";
    /** Header fields that it adds to answers to load probes. */
    probeFields: Record<string, string> = {};
    /** Rest of the warmup that it states in answers to load probes. */
    warmupMs: number | undefined;
    /** Time that it takes to answer a load probe. */
    probeDelayMs = 0;
    /** Number of load probes that it received. */
    probeCount = 0;
    /** Number of connections that it accepted. */
    connectionCount = 0;
    answer: (request: http.IncomingMessage, response: http.ServerResponse) => void = (_request, response) =>
        response.end("done");
    private readonly server = http.createServer((request, response) => {
        if (request.url === "/healthz") {
            this.probeCount++;
            if (this.isAnsweringProbes) {
                setTimeout(() => this.answerProbe(response), this.probeDelayMs);
            }
            return;
        }
        const requestId = String(request.headers["request-id"]);
        this.receivedIds.push(requestId);
        response.setHeader("Request-Id", requestId);
        this.answer(request, response);
    });

    constructor(readonly id: string) {}

    start(): Promise<string> {
        this.server.on("connection", () => this.connectionCount++);
        return listenOnLoopback(this.server);
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private answerProbe(response: http.ServerResponse): void {
        const warmup = this.warmupMs === undefined ? {} : { "Warmup-Ms": this.warmupMs };
        response.writeHead(200, { "Load": this.load, "Upstream-Id": this.id, ...warmup, ...this.probeFields });
        response.end();
    }
}

/** A caller's connection to which the test writes raw bytes. */
export class RawCaller {
    /** All data received so far. */
    text = "";
    isClosed = false;
    /** Whether the entry has ended its side of the connection. */
    hasEnded = false;
    /** Code of the error that closed the connection. */
    errorCode: string | undefined;

    static async connect(port: number): Promise<RawCaller> {
        const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        await once(socket, "connect");
        return new RawCaller(socket);
    }

    private constructor(readonly socket: net.Socket) {
        socket.setEncoding("latin1").on("data", (chunk: string) => this.text += chunk);
        socket.on("error", (error: NodeJS.ErrnoException) => this.errorCode = error.code);
        socket.on("end", () => this.hasEnded = true).on("close", () => this.isClosed = true);
    }

    /** Writes the head of a request; `fields` are additional header lines. */
    writeHead(path: string, id: string, ...fields: readonly string[]): void {
        const lines = [
            `POST ${path} HTTP/1.1`,
            "Host: shop.example",
            `Request-Id: ${id}`,
            `Deadline-Ms: ${longDeadlineMs}`,
            ...fields,
        ];
        this.socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    }
}

/** Options of a TestEntry. */
export interface TestEntryOptions {
    readonly quotaGate?: QuotaGate;
    readonly isOverloadControlled?: boolean;
    readonly dialect?: Dialect;
}

/** An entry without control VMs; the test sets its routes and upstreams. */
export class TestEntry {
    readonly lines: { readonly text: string; readonly fields: Record<string, unknown>; }[] = [];
    readonly upstreamTable = new UpstreamStateTable();
    readonly upstreamLimits: UpstreamLimits;
    readonly requestHandler: GatewayRequestHandler;
    readonly dependencies: RequestDependencies;
    readonly clock = new SystemClock();
    readonly upstreamStatements: UpstreamStatements;
    /** How often an upstream announced that it leaves. */
    leavingReportCount = 0;
    /** How often the control VM would have been told about crash suspects. */
    suspectNewsCount = 0;
    /** Exceptions that ended requests. */
    readonly internalErrors: Error[] = [];
    /** Called when a request waits for the directory. */
    onDirectoryWait: () => void = () => undefined;
    /** Whether the directory is confirmed to be up to date. */
    isConfirmed = true;
    readonly metrics = new GatewayMetrics({
        inFlight: () => 0,
        directoryVersion: () => 1,
        routesVersion: () => this.requestHandler.routesVersion,
        isConfirmed: () => true,
        upstreams: () => this.upstreamTable.list().length,
        ejectedUpstreams: () => this.upstreamTable.countEjected(this.clock.monotonicMs()),
        limitedUpstreams: () => 0,
        coldUpstreams: () => 0,
    });
    private readonly server = new CallerServer(defaultEntryLimits, (incoming, outgoing) => {
        const exchange = new GatewayExchange("x", "", incoming.url ?? "/", incoming, outgoing, stallTimeoutMs, () => 0);
        exchange.dialect = this.dialect;
        exchange.receivedAtMs = this.clock.monotonicMs();
        exchange.onError = error => this.internalErrors.push(error);
        incoming.on("error", () => undefined);
        void this.requestHandler.handleRequest(exchange);
    });
    private readonly dialect: Dialect;

    constructor(
        {
            quotaGate = new UnlimitedQuotaGate(),
            isOverloadControlled = false,
            dialect = new TestDialect(),
        }: TestEntryOptions = {},
    ) {
        this.dialect = dialect;
        const { upstreamTable, clock, metrics } = this;
        const random = new SeededRandom(1);
        const limits = defaultEntryLimits;
        const logger = this.makeLogger();
        const upstreamLimits = new UpstreamLimits({ upstreamTable, clock, logger, metrics, onObserved: () => 0 });
        const upstreamStatements = new UpstreamStatements({
            upstreamTable,
            dialect,
            clock,
            logger,
            metrics,
            onLeaving: () => this.leavingReportCount++,
        });
        this.upstreamStatements = upstreamStatements;
        this.upstreamLimits = upstreamLimits;
        const connections = new UpstreamConnections(limits);
        const overloadControl = isOverloadControlled
            ? new OverloadControl({ logger, metrics, clock, random, availabilityZone: "az-1", onShortage: () => 0 })
            : undefined;
        const prober = new LoadProber({
            upstreamTable,
            upstreamLimits,
            upstreamStatements,
            connections,
            dialect,
            clock,
            metrics,
            overloadControl,
        });
        const probesPerSecond = () => highProbeRate;
        this.dependencies = {
            placer: new Placer({
                affinity: new UpstreamAffinity("entry-1"),
                upstreamTable,
                upstreamLimits,
                prober,
                availabilityZone: "az-1",
                probesPerSecond,
                clock,
                random,
            }),
            upstreamTable,
            upstreamLimits,
            quotaGate,
            upstreamStatements,
            retryBudget: new SharedRetryBudget({
                limits: { ratio: 1, slack: 100, windowMs: 10_000 },
                countEntries: () => 1,
                isCounted: () => true,
                startedAtMs: -Infinity,
            }),
            durationEstimates: new DurationEstimates(),
            bufferBudget: new BufferBudget(limits.bufferedBytes),
            overloadControl,
            crashSuspects: new CrashSuspects({
                clock,
                logger,
                metrics,
                checkConnection,
                isPartitionSuspected: () => false,
                onNews: () => this.suspectNewsCount++,
            }),
            shutdownSchedule: new ShutdownSchedule(),
            dialect,
            metrics,
            logger,
            clock,
            random,
        };
        const waitUntilKnown = () => Promise.resolve(this.onDirectoryWait());
        const isConfirmed = () => this.isConfirmed;
        const watch = {
            version: 1,
            get isConfirmed() {
                return isConfirmed();
            },
            confirmedAgeMs: 0,
            waitUntilKnown,
        };
        this.requestHandler = new GatewayRequestHandler({
            limits,
            dialect,
            logger,
            metrics,
            random,
            region: "west",
            dependencies: this.dependencies,
            watch,
        });
    }

    /** Port for callers. */
    get port(): number {
        return this.server.port;
    }

    async start(table?: RouteTable): Promise<void> {
        if (table !== undefined) {
            this.requestHandler.setRoutes(table);
        }
        await this.server.listen({ host: "127.0.0.1", port: 0 });
    }

    /** Adds a running upstream of the service `orders`. */
    async addUpstream(upstream: TestUpstream, availabilityZone = "az-1"): Promise<void> {
        const address = await upstream.start();
        this.upstreamTable.set(
            makeRegistration({ id: upstream.id, address, availabilityZone }),
            this.clock.monotonicMs(),
        );
    }

    /** Sends a request; resolves with status and body, or rejects when the connection breaks. */
    async send(
        path: string,
        id: string,
        method = "GET",
        fields: http.OutgoingHttpHeaders = {},
    ): Promise<{ readonly status: number; readonly text: string; }> {
        const { port } = this.server;
        const headers = { "Host": "shop.example", "Request-Id": id, "Deadline-Ms": String(longDeadlineMs), ...fields };
        const request = http.request({ host: "127.0.0.1", port, path, method, headers, agent: false });
        request.end();
        const [response] = await once(request, "response") as [http.IncomingMessage];
        let text = "";
        for await (const chunk of response as AsyncIterable<Buffer>) {
            text += chunk.toString();
        }
        return { status: response.statusCode ?? 0, text };
    }

    /** Opens a caller's connection for raw bytes. */
    connect(): Promise<RawCaller> {
        return RawCaller.connect(this.server.port);
    }

    close(): void {
        this.server.closeAllConnections();
    }

    private makeLogger(): GatewayLogger {
        const write = (text: string, fields = {}) => this.lines.push({ text, fields });
        return { debug: write, info: write, warn: write, error: write };
    }
}
