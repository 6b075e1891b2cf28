import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DirectoryDelta } from "../directory/directoryState.js";
import type { EntryReport } from "../directory/messages.js";
import { isUsableRegistration, type Registration, type RouteTable } from "../directory/model.js";
import { digestRouteTable, digestToNumber } from "../directory/routeDigest.js";
import { BufferBudget } from "../entry/bufferBudget.js";
import { checkConnection } from "../entry/connectionCheck.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { serveMetrics } from "../metrics/metricsServer.js";
import { EntryQuotas } from "../quotas/entryQuotas.js";
import { defaultQuotaBounds } from "../quotas/quotaBounds.js";
import { EntryRelay } from "../relay/entryRelay.js";
import { CallerServer } from "./callerServer.js";
import { CrashSuspects } from "./crashSuspects.js";
import { DirectoryWatch } from "./directoryWatch.js";
import { DurationEstimates } from "./durationEstimates.js";
import { GatewayExchange } from "./gatewayExchange.js";
import type { RequestDependencies } from "./gatewayRequest.js";
import { GatewayRequestHandler } from "./gatewayRequestHandler.js";
import { LoadProber } from "./loadProber.js";
import type { GatewayOptions } from "./options.js";
import { OverloadControl } from "./overloadControl.js";
import { Placer } from "./placer.js";
import { SharedRetryBudget } from "./sharedRetryBudget.js";
import { computeShutdownPhases, ShutdownSchedule } from "./shutdownPhases.js";
import { UpstreamAffinity } from "./upstreamAffinity.js";
import { UpstreamConnections } from "./upstreamConnections.js";
import { MessageKind, UpstreamLimits } from "./upstreamLimits.js";
import { UpstreamStatements } from "./upstreamStatements.js";
import { UpstreamStateTable } from "./upstreamStateTable.js";

const connectionCleanupIntervalMs = 5000;
const drainPollMs = 50;
const idPrefixBytes = 6;
const msPerSecond = 1000;

/** A running gateway: an entry that takes its routes and upstreams from the directory. */
export interface RunningGateway {
    /** Whether callers may be directed to this entry. */
    isReady(): boolean;
    /** Returns the number of requests in flight. */
    inFlight(): number;
    /** Completes the requests in flight and closes all connections within the configured grace period. */
    drain(): Promise<void>;
}

/** Starts a gateway. Rejects when its address cannot be bound. */
export async function startGateway(options: GatewayOptions): Promise<RunningGateway> {
    const daemon = new GatewayDaemon(options);
    await daemon.start();
    return daemon;
}

class GatewayDaemon implements RunningGateway {
    private isDraining = false;
    private nextRequestNumber = 1;
    private routesDigest = "";
    private readonly idPrefix = randomBytes(idPrefixBytes).toString("hex");
    private readonly exchanges = new Set<GatewayExchange>();
    private readonly upstreamTable = new UpstreamStateTable();
    private readonly upstreamLimits: UpstreamLimits;
    private readonly upstreamStatements: UpstreamStatements;
    private readonly quotas: EntryQuotas;
    private readonly crashSuspects: CrashSuspects;
    private readonly relay: EntryRelay | undefined;
    private readonly peerConnections: UpstreamConnections;
    private readonly overloadControl: OverloadControl | undefined;
    private readonly server: CallerServer;
    private readonly watch: DirectoryWatch;
    private readonly connections: UpstreamConnections;
    private readonly requestHandler: GatewayRequestHandler;
    private readonly metrics: GatewayMetrics;
    private connectionCleanupTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: GatewayOptions) {
        const { id, clock, random, dialect, logger, limits, availabilityZone, seeds, clusterSecret } = options;
        this.connections = new UpstreamConnections(limits);
        this.peerConnections = new UpstreamConnections(limits);
        this.metrics = new GatewayMetrics({
            inFlight: () => this.exchanges.size,
            directoryVersion: () => this.watch.version,
            routesVersion: () => this.requestHandler.routesVersion,
            routesDigest: () => digestToNumber(this.routesDigest),
            isConfirmed: () => this.watch.isConfirmed,
            upstreams: () => this.upstreamTable.list().length,
            ejectedUpstreams: () => this.upstreamTable.countEjected(this.nowMs()),
            limitedUpstreams: () => this.upstreamLimits.countLimited(),
            evacuatedZones: () => this.upstreamTable.evacuatedZones.size,
            coldUpstreams: () => this.upstreamLimits.cold.count(),
        });
        const { metrics } = this;
        this.upstreamLimits = new UpstreamLimits({
            upstreamTable: this.upstreamTable,
            clock,
            logger,
            metrics,
            onObserved: () => this.watch.report(),
        });
        this.quotas = new EntryQuotas({
            bounds: options.quotaBounds ?? defaultQuotaBounds,
            clock,
            random,
            countEntries: () => countEntries(),
            onUrgent: () => this.watch.report(),
            onDecision: outcome => metrics.quotaDecisions.inc({ outcome }),
        });
        const { upstreamLimits } = this;
        this.upstreamStatements = new UpstreamStatements({
            upstreamTable: this.upstreamTable,
            dialect,
            clock,
            logger,
            metrics,
            onLeaving: () => this.watch.report(),
        });
        const { upstreamStatements } = this;
        this.crashSuspects = new CrashSuspects({
            clock,
            logger,
            metrics,
            checkConnection,
            isPartitionSuspected: () => this.relay?.wantsPeers === true,
            onNews: () => this.watch.report(),
        });
        const { crashSuspects } = this;
        this.relay = options.canRelay === true ? this.createRelay() : undefined;
        const { relay } = this;
        this.overloadControl = options.isOverloadControlled === true
            ? new OverloadControl({
                logger,
                metrics,
                clock,
                random,
                availabilityZone,
                onShortage: () => this.watch.report(),
            })
            : undefined;
        const { overloadControl } = this;
        const prober = new LoadProber({
            upstreamTable: this.upstreamTable,
            upstreamLimits,
            upstreamStatements,
            connections: this.connections,
            dialect,
            clock,
            metrics,
            relay,
            overloadControl,
        });
        this.server = new CallerServer(limits, (incoming, outgoing) => this.onRequest(incoming, outgoing));
        this.watch = new DirectoryWatch({
            channel: { selfId: `${id}.${this.idPrefix}`, secret: clusterSecret },
            availabilityZone,
            seeds,
            clock,
            random,
            logger,
            metrics,
            describeEntry: () => this.buildReport(),
            onDelta: (delta, table) => this.onDelta(delta, table),
            limits: upstreamLimits,
            quotas: this.quotas,
            suspects: crashSuspects,
            peers: relay,
            onDemand: overloadControl && ((demand, sentAt) => overloadControl.applyDemand(demand, sentAt)),
        });
        const { watch } = this;
        const countEntries = () => watch.entryTotal ?? watch.entryCount * options.availabilityZoneCount;
        const dependencies: RequestDependencies = {
            placer: new Placer({
                upstreamTable: this.upstreamTable,
                upstreamLimits,
                prober,
                affinity: new UpstreamAffinity(id),
                availabilityZone,
                probesPerSecond: () => options.probesPerUpstreamSecond / countEntries(),
                clock,
                random,
                makeQueuePolicy: overloadControl && (service => overloadControl.makeQueuePolicy(service)),
            }),
            upstreamTable: this.upstreamTable,
            upstreamLimits,
            quotaGate: this.quotas,
            upstreamStatements,
            retryBudget: new SharedRetryBudget({
                limits: options.retries,
                countEntries,
                isCounted: () => watch.isCounted,
                startedAtMs: this.nowMs(),
            }),
            durationEstimates: new DurationEstimates(),
            bufferBudget: new BufferBudget(limits.bufferedBytes),
            overloadControl,
            crashSuspects,
            shutdownSchedule: new ShutdownSchedule(),
            dialect,
            metrics,
            logger,
            clock,
            random,
            relay,
        };
        this.requestHandler = new GatewayRequestHandler({
            limits,
            dialect,
            logger,
            metrics,
            random,
            region: options.region,
            dependencies,
            watch: this.watch,
        });
    }

    async start(): Promise<void> {
        const { listen, metricsListen } = this.options;
        await this.server.listen(listen);
        if (metricsListen !== undefined) {
            serveMetrics(metricsListen, this.metrics.registry, this.options.logger);
        }
        void this.watch.run();
        this.connectionCleanupTimer = setInterval(
            () => {
                this.connections.closeUnusedPools(this.nowMs());
                this.peerConnections.closeUnusedPools(this.nowMs());
            },
            connectionCleanupIntervalMs,
        );
        this.options.logger.info("entry started", { id: this.options.id, incarnation: this.idPrefix });
    }

    isReady(): boolean {
        return this.watch.version > 0 && this.requestHandler.routesVersion > 0 && !this.isDraining;
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
        const { acceptingMs, closingMs } = computeShutdownPhases(stop);
        this.requestHandler.beginShutdown(startMs + closingMs);
        await this.waitUntil(startMs + acceptingMs, () => false);
        this.requestHandler.isRefusingAll = true;
        this.server.stopListening();
        await this.waitUntil(startMs + closingMs, () => this.exchanges.size === 0);
        logger.info("entry drained", { inFlight: this.exchanges.size, afterMs: Math.round(this.nowMs() - startMs) });
        clearInterval(this.connectionCleanupTimer);
        this.watch.close();
        this.relay?.close();
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

    private createRelay(): EntryRelay {
        const { clock, random, logger, clusterSecret } = this.options;
        return new EntryRelay({
            secret: clusterSecret,
            clock,
            random,
            logger,
            metrics: this.metrics,
            connections: this.peerConnections,
            listCheckable: () =>
                this.upstreamTable.listProbeable(this.nowMs())
                    .filter(upstreamState => !this.upstreamLimits.isLimited(upstreamState))
                    .map(upstreamState => upstreamState.registration),
            findHealthPath: service => this.requestHandler.findService(service)?.healthPath,
            onCheckHead: (id, head) => {
                const upstreamState = this.upstreamTable.get(id);
                if (upstreamState !== undefined) {
                    this.upstreamStatements.recordHead(upstreamState, head, MessageKind.probe);
                }
            },
            onChanged: () => this.watch.report(),
        });
    }

    private buildReport(): EntryReport {
        const { id, listen, availabilityZone } = this.options;
        const leaving = this.upstreamStatements.listUnreported();
        const demand = this.overloadControl?.describeDemand();
        const suspects = this.crashSuspects.describe();
        return {
            id,
            address: `${listen.host}:${listen.port}`,
            availabilityZone,
            isServing: this.isReady(),
            services: this.upstreamLimits.listRequestedServices(),
            limits: this.upstreamLimits.listUnreported(),
            ...(leaving.length > 0 ? { leaving } : {}),
            ...this.upstreamLimits.cold.describeUnreported(),
            ...this.quotas.takeReport(),
            ...(this.relay?.isRelaying === true ? { isCutOff: true } : {}),
            ...(demand === undefined ? {} : { demand }),
            ...(suspects === undefined ? {} : { suspects }),
        };
    }

    private onDelta(
        { version, isFull, registrations, ended, evacuatedZones }: DirectoryDelta,
        table: RouteTable | undefined,
    ): void {
        if (isFull) {
            this.upstreamTable.keepOnly(new Set(registrations.map(registered => registered.id)));
        }
        ended.forEach(id => this.upstreamTable.delete(id));
        registrations.forEach(registered => this.applyRegistration(registered));
        this.applyEvacuatedZones(evacuatedZones ?? (isFull ? [] : undefined));
        if (table !== undefined) {
            this.quotas.configure(table.organisations);
            this.requestHandler.setRoutes(table);
            this.upstreamLimits.cold.setServices(table.services);
            this.server.setIdleTimeoutMs(table.limits.idleTimeoutMs ?? this.options.limits.keepAliveTimeoutMs);
            this.routesDigest = digestRouteTable(table);
            this.options.logger.info("applied routes", {
                routesVersion: table.version,
                version,
                digest: this.routesDigest,
            });
        }
        this.watch.report();
    }

    private applyRegistration(registered: Registration): void {
        if (isUsableRegistration(registered)) {
            this.upstreamTable.set(registered, this.nowMs());
            return;
        }
        const { id, address, slots, warmupMs, bornAtMs } = registered;
        this.upstreamTable.delete(id);
        this.options.logger.warn("ignored an instance that cannot be used", { id, address, slots, warmupMs, bornAtMs });
    }

    private applyEvacuatedZones(availabilityZones: readonly string[] | undefined): void {
        const { evacuatedZones } = this.upstreamTable;
        if (availabilityZones !== undefined && availabilityZones.join() !== [...evacuatedZones].join()) {
            this.upstreamTable.setEvacuatedZones(availabilityZones);
            this.options.logger.info("evacuated zones changed", { evacuatedZones: availabilityZones });
        }
    }

    private onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
        const id = `${this.idPrefix}-${this.nextRequestNumber++}`;
        const { stallTimeoutMs } = this.options.limits;
        const path = incoming.url ?? "/";
        const onEnd = () => this.onEnd(exchange);
        const exchange = new GatewayExchange(id, "", path, incoming, outgoing, stallTimeoutMs, onEnd);
        exchange.dialect = this.options.dialect;
        exchange.mustClose = this.isDraining;
        exchange.receivedAtMs = this.nowMs();
        this.exchanges.add(exchange);
        // A connection error is always followed by a close event, which is handled.
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
        exchange.onError = error => this.recordInternalError(id, error);
        this.requestHandler.handleRequest(exchange).catch((error: Error) => {
            this.recordInternalError(id, error);
            exchange.destroyCaller();
        });
    }

    private recordInternalError(id: string, error: Error): void {
        this.metrics.internalErrors.inc();
        this.options.logger.error("internal error while handling a request", {
            id,
            reason: error.stack ?? error.message,
        });
    }

    private onEnd(exchange: GatewayExchange): void {
        this.exchanges.delete(exchange);
        const { outgoing, source } = exchange;
        const seconds = (this.nowMs() - exchange.receivedAtMs) / msPerSecond;
        this.metrics.requests.inc({ status: outgoing.headersSent ? outgoing.statusCode : "none", source });
        this.metrics.requestSeconds.observe({ source }, seconds);
    }
}
