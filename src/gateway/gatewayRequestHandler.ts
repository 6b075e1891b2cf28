import type { RandomSource } from "../core/random.js";
import {
    emptyRouteTable,
    RequestKind,
    requestKindOf,
    type Route,
    type RoutedService,
    type RouteTable,
} from "../directory/model.js";
import { refuse } from "../entry/answers.js";
import type { EntryLimits } from "../entry/options.js";
import { parseBodyLength, readBody } from "../entry/requestBody.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { CallerAgeEstimator } from "./callerAge.js";
import type { Dialect } from "./dialect.js";
import type { DirectoryWatch } from "./directoryWatch.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import { GatewayRequest, type RequestContext, type RequestDependencies } from "./gatewayRequest.js";
import type { GatewayLogger } from "./options.js";
import { RouteLookup } from "./routeLookup.js";
import { UploadBody } from "./uploadBody.js";
import { WeightedRoundRobin } from "./weightedRoundRobin.js";

/**
 * Longest time that a request waits for the directory at an entry that has just started. The directory arrives within
 * about 0.1 s, sooner than a refused caller retries; some callers retry only once.
 */
const maxDirectoryWaitMs = 400;
/** Share of the caller's deadline that the wait for the directory may take. */
const directoryWaitShare = 0.2;
/**
 * Minimum and jitter of a caller's retry delay while the routes are unknown. When all processes start at once, routes
 * arrive after about a second; a caller that retries sooner is refused again.
 */
const notReadyRetryAfterMs = 600;
const notReadyJitterMs = 600;
const stoppingRetryAfterMs = 1;

/** Options of a request handler. */
export interface RequestHandlerOptions {
    readonly limits: EntryLimits;
    readonly dialect: Dialect;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    readonly random: RandomSource;
    readonly dependencies: RequestDependencies;
    readonly watch: Pick<DirectoryWatch, "version" | "isConfirmed" | "waitUntilKnown">;
}

/** Handles callers' requests: checks the deadline, receives the body, and finds the route and the service. */
export class GatewayRequestHandler {
    /** Whether all requests are refused because the entry is shutting down. */
    isRefusing = false;
    private routeLookup = new RouteLookup(emptyRouteTable);
    private services = new Map<string, RoutedService>();
    private readonly roundRobin = new WeightedRoundRobin();
    private readonly callerAgeEstimator = new CallerAgeEstimator();

    constructor(private readonly options: RequestHandlerOptions) {}

    /** Version of the routes in force; 0 before any were applied. */
    get routesVersion(): number {
        return this.routeLookup.table.version;
    }

    /** Replaces the routes in force. */
    setRoutes(table: RouteTable): void {
        this.routeLookup = new RouteLookup(table);
        this.services = new Map(table.services.map(routedService => [routedService.name, routedService]));
    }

    /** Handles a request whose head has arrived; resolves when it has ended. */
    async handleRequest(exchange: GatewayExchange): Promise<void> {
        const { dialect, limits } = this.options;
        let request: GatewayRequest | undefined;
        exchange.outgoing.on("close", () => {
            if (!exchange.isEnded) {
                exchange.finish();
                request?.onCallerGone();
            }
        });
        const deadlineMs = dialect.readDeadlineMs(exchange.incoming.headers) ?? limits.maxDeadlineMs;
        if (Number.isNaN(deadlineMs)) {
            this.refuse(exchange, 400, "invalid-deadline", "The deadline is not a number of milliseconds.");
            return;
        }
        await this.options.watch.waitUntilKnown(Math.min(maxDirectoryWaitMs, directoryWaitShare * deadlineMs));
        const deadlineAtMs = exchange.receivedAtMs + deadlineMs;
        const context = isUpload(this.findRoute(exchange))
            ? this.prepareUpload(exchange, deadlineAtMs)
            : await this.prepareBuffered(exchange, deadlineAtMs);
        if (context !== undefined) {
            request = new GatewayRequest(context, this.options.dependencies);
            await request.run();
        }
    }

    private findRoute({ incoming, path }: GatewayExchange): Route | undefined {
        return this.routeLookup.find(incoming.headers.host ?? "", path);
    }

    private get maxBodyBytes(): number {
        return this.routeLookup.table.limits.maxBodyBytes ?? this.options.limits.bodyBytes;
    }

    /** Uploads are refused or get an upstream before their body is read. */
    private prepareUpload(exchange: GatewayExchange, deadlineAtMs: number): RequestContext | undefined {
        const { incoming } = exchange;
        const lengthBytes = parseBodyLength(incoming);
        if (lengthBytes !== undefined && lengthBytes > this.maxBodyBytes) {
            this.refuseTooLarge(exchange);
            return undefined;
        }
        if (lengthBytes !== 0) {
            exchange.body = new UploadBody(incoming, this.maxBodyBytes, () => exchange.sendContinueIfExpected());
        }
        return exchange.isEnded ? undefined : this.makeRequestContext(exchange, deadlineAtMs);
    }

    /** Receives the body first, so that the entry can retry a request whose body fits into the buffer. */
    private async prepareBuffered(
        exchange: GatewayExchange,
        deadlineAtMs: number,
    ): Promise<RequestContext | undefined> {
        const isReceived = !exchange.isEnded && await this.receiveBody(exchange);
        return isReceived && !exchange.isEnded ? this.makeRequestContext(exchange, deadlineAtMs) : undefined;
    }

    /** Receives the body; returns false when the request was refused or its caller has disconnected. */
    private async receiveBody(exchange: GatewayExchange): Promise<boolean> {
        exchange.sendContinueIfExpected();
        const result = await readBody(exchange.incoming, { ...this.options.limits, bodyBytes: this.maxBodyBytes });
        switch (result.kind) {
            case "body":
                exchange.body = result.body;
                return true;
            case "too-large":
                this.refuseTooLarge(exchange);
                return false;
            case "too-slow":
                this.refuse(exchange, 408, "body-too-slow", "The request body took too long to arrive.");
                return false;
            case "gone":
                exchange.finish();
                return false;
        }
    }

    private refuseTooLarge(exchange: GatewayExchange): void {
        this.refuse(exchange, 413, "body-too-large", "The request body is too large.");
    }

    private makeRequestContext(exchange: GatewayExchange, deadlineAtMs: number): RequestContext | undefined {
        const requestId = this.options.dialect.readRequestId(exchange.incoming.headers);
        const route = this.findRoute(exchange);
        if (this.isRefusing) {
            this.refuse(exchange, 503, "draining", "The entry stops.", stoppingRetryAfterMs);
            return undefined;
        }
        if (route === undefined) {
            // An unconfirmed directory may lack a route that is in force.
            const isAuthoritative = this.routesVersion > 0 && this.options.watch.isConfirmed;
            const status = isAuthoritative ? 404 : 503;
            this.refuse(
                exchange,
                status,
                "no-route",
                "No route matches.",
                isAuthoritative ? undefined : this.drawNotReadyRetryAfterMs(),
            );
            return undefined;
        }
        const service = this.services.get(this.roundRobin.choose(route));
        if (service === undefined) {
            this.refuse(
                exchange,
                503,
                "no-service",
                "The route's service is not known.",
                this.drawNotReadyRetryAfterMs(),
            );
            return undefined;
        }
        const callerAgeMs = this.callerAgeEstimator.recordDeadline(route.name, deadlineAtMs - exchange.receivedAtMs);
        return { exchange, requestId, route, service, deadlineAtMs, callerAgeMs };
    }

    private drawNotReadyRetryAfterMs(): number {
        return notReadyRetryAfterMs + this.options.random.nextUnit() * notReadyJitterMs;
    }

    private refuse(
        exchange: GatewayExchange,
        status: number,
        reason: string,
        detail: string,
        retryAfterMs?: number,
    ): void {
        const { dialect, watch, logger, metrics } = this.options;
        const requestId = dialect.readRequestId(exchange.incoming.headers);
        const { version } = watch;
        logger.info("request refused", { requestId, status, reason, version, routesVersion: this.routesVersion });
        metrics.refusals.inc({ reason });
        exchange.answer(refuse(status, reason, detail, retryAfterMs));
    }
}

function isUpload(route: Route | undefined): boolean {
    return route !== undefined && requestKindOf(route) === RequestKind.upload;
}
