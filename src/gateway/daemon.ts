import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DirectoryDelta } from "../directory/directoryState.js";
import type { EntryReport } from "../directory/messages.js";
import type { RoutedService } from "../directory/model.js";
import { emptyRouteTable } from "../directory/model.js";
import { refuse } from "../entry/answers.js";
import { BufferBudget } from "../entry/bufferBudget.js";
import { readBody } from "../entry/requestBody.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { serveMetrics } from "../metrics/metricsServer.js";
import { CallerAges } from "./callerAge.js";
import { CallerServer } from "./callerServer.js";
import { DirectoryWatch } from "./directoryWatch.js";
import { DurationEstimates } from "./durationEstimates.js";
import { GatewayExchange } from "./gatewayExchange.js";
import { GatewayRequest, type RequestParts, type RequestPlan } from "./gatewayRequest.js";
import { LoadInquiry } from "./loadInquiry.js";
import type { GatewayOptions } from "./options.js";
import { Placer } from "./placer.js";
import { ResendBudget } from "./resendBudget.js";
import { RouteLookup } from "./routeLookup.js";
import { UpstreamBoard } from "./upstreamBoard.js";
import { UpstreamConnections } from "./upstreamConnections.js";
import { WeightedChoice } from "./weightedChoice.js";

const connectionCheckMs = 5000;
const drainPollMs = 50;
/** Part of the grace after which requests are refused: one that comes later may not end before the kill. */
const acceptShare = 0.6;
/** Part of the grace after which the process ends even though callers keep connections open. */
const endShare = 0.9;
const idPrefixBytes = 6;
const msPerSecond = 1000;
/**
 * Shortest wait and spread of a caller that came before the entry knew the routes. When all processes start at once,
 * that takes about a second; a caller that comes back sooner is refused again.
 */
const notReadyRetryMs = 600;
const notReadySpreadMs = 600;

/** A running entry. */
export interface RunningGateway {
    /** Whether callers are to be sent here. */
    isReady(): boolean;
    /** Requests in flight. */
    inFlight(): number;
    /** Stops gracefully within the grace of the settings. */
    drain(): Promise<void>;
}

/** Starts an entry that follows a directory. Rejects when its address cannot be bound. */
export async function startGateway(options: GatewayOptions): Promise<RunningGateway> {
    const daemon = new GatewayDaemon(options);
    await daemon.start();
    return daemon;
}

class GatewayDaemon implements RunningGateway {
    private lookup = new RouteLookup(emptyRouteTable);
    private services = new Map<string, RoutedService>();
    private isDraining = false;
    private isRefusing = false;
    private nextNumber = 1;
    private readonly idPrefix = randomBytes(idPrefixBytes).toString("hex");
    private readonly exchanges = new Set<GatewayExchange>();
    private readonly board = new UpstreamBoard();
    private readonly weights = new WeightedChoice();
    private readonly callerAges = new CallerAges();
    private readonly server: CallerServer;
    private readonly watch: DirectoryWatch;
    private readonly connections: UpstreamConnections;
    private readonly parts: RequestParts;
    private readonly metrics: GatewayMetrics;
    private connectionTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: GatewayOptions) {
        const { id, clock, random, dialect, logger, limits, availabilityZone, seeds, clusterSecret } = options;
        this.connections = new UpstreamConnections(limits);
        this.metrics = new GatewayMetrics({
            inFlight: () => this.exchanges.size,
            directoryVersion: () => this.watch.version,
            routesVersion: () => this.lookup.table.version,
            isConfirmed: () => this.watch.isConfirmed,
            upstreams: () => this.board.list().length,
            ejectedUpstreams: () => this.board.countEjected(this.nowMs()),
        });
        const { metrics } = this;
        const inquiry = new LoadInquiry(this.board, this.connections, dialect, clock, metrics);
        this.server = new CallerServer(limits, (incoming, outgoing) => this.onRequest(incoming, outgoing));
        this.watch = new DirectoryWatch({
            channel: { selfId: `${id}.${this.idPrefix}`, secret: clusterSecret },
            availabilityZone,
            seeds,
            clock,
            random,
            logger,
            metrics,
            describeEntry: () => this.describe(),
            onDelta: delta => this.onDelta(delta),
        });
        const countEntries = () => this.watch.entryCount * options.availabilityZoneCount;
        this.parts = {
            placer: new Placer({
                board: this.board,
                inquiry,
                availabilityZone,
                asksPerSecond: () => options.asksPerUpstreamSecond / countEntries(),
                clock,
                random,
            }),
            board: this.board,
            resends: new ResendBudget(options.resends, countEntries, this.nowMs()),
            durations: new DurationEstimates(),
            budget: new BufferBudget(limits.bufferedBytes),
            dialect,
            metrics,
            logger,
            clock,
            random,
        };
    }

    async start(): Promise<void> {
        const { listen, metricsListen } = this.options;
        await this.server.listen(listen);
        if (metricsListen !== undefined) {
            await serveMetrics(metricsListen, this.metrics.registry);
        }
        void this.watch.run();
        this.connectionTimer = setInterval(() => this.connections.tick(this.nowMs()), connectionCheckMs);
        this.options.logger.info("entry started", { id: this.options.id, incarnation: this.idPrefix });
    }

    isReady(): boolean {
        return this.watch.version > 0 && this.lookup.table.version > 0 && !this.isDraining;
    }

    inFlight(): number {
        return this.exchanges.size;
    }

    async drain(): Promise<void> {
        const { logger, stop } = this.options;
        const startMs = this.nowMs();
        logger.info("entry drains", { inFlight: this.exchanges.size });
        this.isDraining = true;
        this.watch.report();
        const closeAtMs = Math.min(stop.addressLifetimeMs, acceptShare * stop.graceMs);
        await this.waitUntil(startMs + closeAtMs, () => false);
        this.isRefusing = true;
        this.server.stopListening();
        await this.waitUntil(startMs + endShare * stop.graceMs, () => this.exchanges.size === 0);
        logger.info("entry drained", { inFlight: this.exchanges.size, afterMs: Math.round(this.nowMs() - startMs) });
        clearInterval(this.connectionTimer);
        this.watch.close();
        this.server.closeAllConnections();
    }

    private async waitUntil(untilMs: number, isDone: () => boolean): Promise<void> {
        while (this.nowMs() < untilMs && !isDone()) {
            await new Promise(resolve => setTimeout(resolve, drainPollMs));
            this.server.closeIdleConnections();
        }
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private describe(): EntryReport {
        const { id, listen, availabilityZone } = this.options;
        return { id, address: `${listen.host}:${listen.port}`, availabilityZone, isServing: this.isReady() };
    }

    private onDelta({ version, isFull, table, registrations, ended }: DirectoryDelta): void {
        if (isFull) {
            this.board.keepOnly(new Set(registrations.map(row => row.id)));
        }
        ended.forEach(id => this.board.delete(id));
        registrations.forEach(row => this.board.set(row, this.nowMs()));
        if (table !== undefined && table !== null) {
            this.lookup = new RouteLookup(table);
            this.services = new Map(table.services.map(row => [row.name, row]));
            this.server.setIdleTimeoutMs(table.limits.idleTimeoutMs ?? this.options.limits.keepAliveTimeoutMs);
            this.options.logger.info("applied routes", { routesVersion: table.version, version });
        }
        this.watch.report();
    }

    private onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const id = `${this.idPrefix}-${this.nextNumber++}`;
        const { stallTimeoutMs } = this.options.limits;
        const path = incoming.url ?? "/";
        const onEnd = () => this.onEnd(exchange);
        const exchange = new GatewayExchange(id, "", path, incoming, outgoing, stallTimeoutMs, onEnd);
        exchange.dialect = this.options.dialect;
        exchange.mustClose = this.isDraining;
        exchange.receivedAtMs = this.nowMs();
        this.exchanges.add(exchange);
        // Errors of the connection are followed by its close, which is handled.
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
        this.accept(exchange).catch((error: Error) => {
            this.options.logger.error("a request failed inside the entry", {
                id,
                reason: error.stack ?? error.message,
            });
            exchange.destroyCaller();
        });
    }

    private onEnd(exchange: GatewayExchange): void {
        this.exchanges.delete(exchange);
        const { outgoing, source } = exchange;
        const seconds = (this.nowMs() - exchange.receivedAtMs) / msPerSecond;
        this.metrics.requests.inc({ status: outgoing.headersSent ? outgoing.statusCode : "none", source });
        this.metrics.requestSeconds.observe({ source }, seconds);
    }

    private async accept(exchange: GatewayExchange): Promise<void> {
        const { dialect } = this.options;
        const { headers } = exchange.incoming;
        let request: GatewayRequest | undefined;
        exchange.outgoing.on("close", () => {
            if (!exchange.isEnded) {
                exchange.finish();
                request?.onCallerGone();
            }
        });
        const deadlineMs = dialect.readDeadlineMs(headers) ?? this.options.limits.maxDeadlineMs;
        if (Number.isNaN(deadlineMs)) {
            this.refuse(exchange, 400, "invalid-deadline", "The deadline is not a number of milliseconds.");
            return;
        }
        const body = await this.receiveBody(exchange);
        if (!body || exchange.isEnded) {
            return;
        }
        const plan = this.makePlan(exchange, exchange.receivedAtMs + deadlineMs);
        if (plan !== undefined) {
            request = new GatewayRequest(plan, this.parts);
            await request.run();
        }
    }

    /** Reads the body; returns whether the request goes on. */
    private async receiveBody(exchange: GatewayExchange): Promise<boolean> {
        const { limits } = this.options;
        const { maxBodyBytes } = this.lookup.table.limits;
        const bodyBytes = maxBodyBytes ?? limits.bodyBytes;
        const result = await readBody(exchange.incoming, { ...limits, bodyBytes });
        switch (result.kind) {
            case "body":
                exchange.body = result.body;
                return true;
            case "too-large":
                this.refuse(exchange, 413, "body-too-large", "The request body is too large.");
                return false;
            case "too-slow":
                this.refuse(exchange, 408, "body-too-slow", "The request body took too long to arrive.");
                return false;
            case "gone":
                exchange.finish();
                return false;
        }
    }

    private makePlan(exchange: GatewayExchange, deadlineAtMs: number): RequestPlan | undefined {
        const { headers } = exchange.incoming;
        const requestId = this.options.dialect.readRequestId(headers);
        const route = this.lookup.find(headers.host ?? "", exchange.path);
        if (this.isRefusing) {
            this.refuse(exchange, 503, "draining", "The entry stops.", 1);
            return undefined;
        }
        if (route === undefined) {
            // A view that is not confirmed can lack a route that is in force.
            const isSure = this.isReady() && this.watch.isConfirmed;
            const status = isSure ? 404 : 503;
            this.refuse(exchange, status, "no-route", "No route matches.", isSure ? undefined : this.drawNotReadyMs());
            return undefined;
        }
        const service = this.services.get(this.weights.choose(route));
        if (service === undefined) {
            this.refuse(exchange, 503, "no-service", "The route's service is not known.", this.drawNotReadyMs());
            return undefined;
        }
        const callerAgeMs = this.callerAges.note(route.name, deadlineAtMs - exchange.receivedAtMs);
        return { exchange, requestId, route, service, deadlineAtMs, callerAgeMs };
    }

    private drawNotReadyMs(): number {
        return notReadyRetryMs + this.options.random.nextUnit() * notReadySpreadMs;
    }

    private refuse(
        exchange: GatewayExchange,
        status: number,
        reason: string,
        detail: string,
        retryAfterMs?: number,
    ): void {
        const requestId = this.options.dialect.readRequestId(exchange.incoming.headers);
        const { version } = this.watch;
        const routesVersion = this.lookup.table.version;
        this.options.logger.info("refused a request", { requestId, status, reason, version, routesVersion });
        this.metrics.refusals.inc({ reason });
        exchange.answer(refuse(status, reason, detail, retryAfterMs));
    }
}
