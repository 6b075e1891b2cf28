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
import { readBody, statedLength } from "../entry/requestBody.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { CallerAges } from "./callerAge.js";
import type { Dialect } from "./dialect.js";
import type { DirectoryWatch } from "./directoryWatch.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import { GatewayRequest, type RequestParts, type RequestPlan } from "./gatewayRequest.js";
import type { GatewayLogger } from "./options.js";
import { RouteLookup } from "./routeLookup.js";
import { UploadBody } from "./uploadBody.js";
import { WeightedChoice } from "./weightedChoice.js";

/**
 * Longest time that a request waits for the directory at an entry that has just started. A control VM tells it within
 * about 0.1 s, sooner than a refused caller is back; some callers come back only once.
 */
const maxDirectoryWaitMs = 400;
/** Part of the caller's time that the wait for the directory may take. */
const directoryWaitShare = 0.2;
/**
 * Shortest wait and spread of a caller that came before the entry knew the routes. When all processes start at once,
 * that takes about a second; a caller that comes back sooner is refused again.
 */
const notReadyRetryMs = 600;
const notReadySpreadMs = 600;
const stoppingRetryMs = 1;

/** What the intake works with. */
export interface IntakeOptions {
    readonly limits: EntryLimits;
    readonly dialect: Dialect;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    readonly random: RandomSource;
    readonly parts: RequestParts;
    readonly watch: Pick<DirectoryWatch, "version" | "isConfirmed" | "waitUntilKnown">;
}

/** Takes callers' requests up to the point where upstreams are looked for: deadline, body, route and service. */
export class GatewayIntake {
    /** Whether all requests are refused because the entry is about to end. */
    isRefusing = false;
    private lookup = new RouteLookup(emptyRouteTable);
    private services = new Map<string, RoutedService>();
    private readonly weights = new WeightedChoice();
    private readonly callerAges = new CallerAges();

    constructor(private readonly options: IntakeOptions) {}

    /** Version of the routes in force; 0 before the first ones. */
    get routesVersion(): number {
        return this.lookup.table.version;
    }

    /** Puts routes in force. */
    setRoutes(table: RouteTable): void {
        this.lookup = new RouteLookup(table);
        this.services = new Map(table.services.map(row => [row.name, row]));
    }

    /** Takes a request whose head has arrived, and runs it to its end. */
    async take(exchange: GatewayExchange): Promise<void> {
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
        const plan = isUpload(this.findRoute(exchange))
            ? this.planUpload(exchange, deadlineAtMs)
            : await this.planBuffered(exchange, deadlineAtMs);
        if (plan !== undefined) {
            request = new GatewayRequest(plan, this.options.parts);
            await request.run();
        }
    }

    private findRoute({ incoming, path }: GatewayExchange): Route | undefined {
        return this.lookup.find(incoming.headers.host ?? "", path);
    }

    private get maxBodyBytes(): number {
        return this.lookup.table.limits.maxBodyBytes ?? this.options.limits.bodyBytes;
    }

    /** An upload is refused, or has its upstream, before its body is read. */
    private planUpload(exchange: GatewayExchange, deadlineAtMs: number): RequestPlan | undefined {
        const { incoming } = exchange;
        const lengthBytes = statedLength(incoming);
        if (lengthBytes !== undefined && lengthBytes > this.maxBodyBytes) {
            this.refuseTooLarge(exchange);
            return undefined;
        }
        if (lengthBytes !== 0) {
            exchange.body = new UploadBody(incoming, this.maxBodyBytes, () => exchange.inviteBody());
        }
        return exchange.isEnded ? undefined : this.makePlan(exchange, deadlineAtMs);
    }

    /** Plans a request whose body is small enough to be read first, so that it can be sent again. */
    private async planBuffered(exchange: GatewayExchange, deadlineAtMs: number): Promise<RequestPlan | undefined> {
        const isReceived = !exchange.isEnded && await this.receiveBody(exchange);
        return isReceived && !exchange.isEnded ? this.makePlan(exchange, deadlineAtMs) : undefined;
    }

    /** Reads the body; returns whether the request goes on. */
    private async receiveBody(exchange: GatewayExchange): Promise<boolean> {
        exchange.inviteBody();
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

    private makePlan(exchange: GatewayExchange, deadlineAtMs: number): RequestPlan | undefined {
        const requestId = this.options.dialect.readRequestId(exchange.incoming.headers);
        const route = this.findRoute(exchange);
        if (this.isRefusing) {
            this.refuse(exchange, 503, "draining", "The entry stops.", stoppingRetryMs);
            return undefined;
        }
        if (route === undefined) {
            // A view that is not confirmed can lack a route that is in force.
            const isSure = this.routesVersion > 0 && this.options.watch.isConfirmed;
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
        const { dialect, watch, logger, metrics } = this.options;
        const requestId = dialect.readRequestId(exchange.incoming.headers);
        const { version } = watch;
        logger.info("refused a request", { requestId, status, reason, version, routesVersion: this.routesVersion });
        metrics.refusals.inc({ reason });
        exchange.answer(refuse(status, reason, detail, retryAfterMs));
    }
}

function isUpload(route: Route | undefined): boolean {
    return route !== undefined && requestKindOf(route) === RequestKind.upload;
}
