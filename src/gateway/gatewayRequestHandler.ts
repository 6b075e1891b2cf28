import type { RandomSource } from "../core/random.js";
import {
    emptyRouteTable,
    type Organisation,
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
import type { Authentication } from "../organisations/authentication.js";
import { OrganisationAdmission } from "../organisations/organisationAdmission.js";
import { declinedStatus } from "../relay/relayedRequest.js";
import { CallerAgeEstimator } from "./callerAge.js";
import type { Dialect } from "./dialect.js";
import type { DirectoryWatch } from "./directoryWatch.js";
import type { GatewayExchange } from "./gatewayExchange.js";
import { GatewayRequest, type RequestContext, type RequestDependencies } from "./gatewayRequest.js";
import type { GatewayLogger } from "./options.js";
import { RequestTimes } from "./requestTimes.js";
import { RouteLookup } from "./routeLookup.js";
import { UploadBody } from "./uploadBody.js";
import { WeightedRoundRobin } from "./weightedRoundRobin.js";

/**
 * Maximum time that a request waits for the directory. An entry that starts alone receives it within about 0.1 s, so
 * waiting is faster than a refusal and a retry; some callers also retry only once.
 */
const maxDirectoryWaitMs = 400;
/** Share of the caller's deadline that the wait for the directory may take. */
const directoryWaitShare = 0.2;
/**
 * Minimum and jitter of a caller's retry delay, 600 to 1200 ms in all, while the routes are not confirmed or lack a
 * service. When all processes start at once, routes arrive only after about a second; an earlier retry waits for them
 * up to `maxDirectoryWaitMs` and is then refused again.
 */
const unconfirmedRetryAfterMs = 600;
const unconfirmedJitterMs = 600;
/** Retry delay while the entry shuts down; the caller can retry at another entry immediately. */
const stoppingRetryAfterMs = 1;

/** Options of a request handler. */
export interface RequestHandlerOptions {
    readonly limits: EntryLimits;
    readonly dialect: Dialect;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    readonly random: RandomSource;
    /** Region of the entry; undefined if it is not known. */
    readonly region?: string;
    readonly dependencies: RequestDependencies;
    readonly watch: Pick<DirectoryWatch, "version" | "isConfirmed" | "confirmedAgeMs" | "waitUntilKnown">;
}

/** Handles callers' requests: checks the deadline, receives the body, and finds the route and the service. */
export class GatewayRequestHandler {
    /** Set in the last part of a shutdown; all further requests are refused. */
    isRefusingAll = false;
    private routeLookup = new RouteLookup(emptyRouteTable);
    private services = new Map<string, RoutedService>();
    private readonly roundRobin: WeightedRoundRobin;
    /** Requests whose body has been received, or is streamed. */
    private readonly runningRequests = new Set<GatewayRequest>();
    private readonly callerAgeEstimator = new CallerAgeEstimator();
    private readonly admission: OrganisationAdmission;

    constructor(private readonly options: RequestHandlerOptions) {
        const { region, metrics, random, dependencies } = options;
        this.roundRobin = new WeightedRoundRobin(random);
        this.admission = new OrganisationAdmission({ region, metrics, quotaGate: dependencies.quotaGate });
    }

    /** Version of the routes in force; 0 before any were applied. */
    get routesVersion(): number {
        return this.routeLookup.table.version;
    }

    /** Returns a service of the routes in force. */
    findService(name: string): RoutedService | undefined {
        return this.services.get(name);
    }

    /** Replaces the routes in force. */
    setRoutes(table: RouteTable): void {
        this.routeLookup = new RouteLookup(table);
        this.services = new Map(table.services.map(routedService => [routedService.name, routedService]));
        this.admission.setTable(table);
        this.roundRobin.keepOnly(table);
    }

    /**
     * Refuses requests from now on, also those that wait for an upstream, unless they will be answered before connections
     * are closed at `closesAtMs`.
     */
    beginShutdown(closesAtMs: number): void {
        this.options.dependencies.shutdownSchedule.begin(closesAtMs);
        this.runningRequests.forEach(request => request.onShutdown());
    }

    /** Handles a request whose head has arrived; resolves when it has ended. */
    async handleRequest(exchange: GatewayExchange): Promise<void> {
        const { dialect, limits } = this.options;
        this.readRelayToken(exchange);
        let request: GatewayRequest | undefined;
        exchange.outgoing.on("close", () => {
            if (!exchange.isEnded) {
                exchange.finish();
                exchange.contain(() => request?.onCallerDisconnect());
            }
        });
        if (exchange.isRelayed && this.options.dependencies.relay?.isCutOff === true) {
            this.refuse(exchange, declinedStatus, "cut-off", "This entry reaches no instance either.");
            return;
        }
        const deadlineMs = dialect.readDeadlineMs(exchange.incoming.headers) ?? limits.maxDeadlineMs;
        if (Number.isNaN(deadlineMs)) {
            this.refuse(exchange, 400, "invalid-deadline", "The deadline is not a number of milliseconds.");
            return;
        }
        await this.options.watch.waitUntilKnown(Math.min(maxDirectoryWaitMs, directoryWaitShare * deadlineMs));
        const deadlineAtMs = exchange.receivedAtMs + deadlineMs;
        const route = this.findRoute(exchange);
        // No body is read for a request that will be refused.
        if (route !== undefined && !this.isRefusingAll && this.authenticate(exchange, route).kind === "refused") {
            return;
        }
        if (route !== undefined && !this.isRefusingAll && !this.canBeAnswered(exchange, route, deadlineAtMs)) {
            this.refuseAtStop(exchange);
            return;
        }
        const context = isUpload(route)
            ? this.prepareUpload(exchange, deadlineAtMs)
            : await this.prepareBuffered(exchange, deadlineAtMs);
        if (context !== undefined) {
            request = new GatewayRequest(context, this.options.dependencies);
            this.runningRequests.add(request);
            await request.run().finally(() => this.runningRequests.delete(request!));
        }
    }

    private canBeAnswered({ receivedAtMs }: GatewayExchange, route: Route, deadlineAtMs: number): boolean {
        const { latestAnswerAtMs } = new RequestTimes(route, receivedAtMs, 0, deadlineAtMs);
        return this.options.dependencies.shutdownSchedule.canAnswerBy(latestAnswerAtMs);
    }

    private refuseAtStop(exchange: GatewayExchange): void {
        const status = exchange.isRelayed ? declinedStatus : 503;
        this.refuse(exchange, status, "draining", "The entry stops.", stoppingRetryAfterMs);
    }

    /** A request with an invalid token is handled as the caller's own, but is not relayed, so that no loop can arise. */
    private readRelayToken(exchange: GatewayExchange): void {
        const { dialect, metrics, logger, dependencies: { relay } } = this.options;
        const { incoming, path } = exchange;
        const token = dialect.readRelayToken(incoming.headers);
        if (token === undefined || relay === undefined) {
            return;
        }
        const requestId = dialect.readRequestId(incoming.headers);
        exchange.isRelayAllowed = false;
        exchange.isRelayed = relay.isTokenValid({ requestId, method: incoming.method ?? "GET", path }, token);
        if (exchange.isRelayed) {
            exchange.relayedAttempts = dialect.readRelayedAttempts(incoming.headers);
            metrics.acceptedRelayedRequests.inc();
        }
        else {
            logger.info("ignored an invalid relay token", { requestId });
        }
    }

    private findRoute({ incoming, path }: GatewayExchange): Route | undefined {
        return this.routeLookup.find(incoming.headers.host ?? "", path);
    }

    private get maxBodyBytes(): number {
        return this.routeLookup.table.limits.maxBodyBytes ?? this.options.limits.bodyBytes;
    }

    /** Refuses an upload that states too large a length; any other is streamed once it has an upstream. */
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
        return exchange.isEnded ? undefined : this.resolveRequestContext(exchange, deadlineAtMs);
    }

    /** Receives the body first, so that the request can be retried; a body larger than the buffer is streamed. */
    private async prepareBuffered(
        exchange: GatewayExchange,
        deadlineAtMs: number,
    ): Promise<RequestContext | undefined> {
        const isReceived = !exchange.isEnded && await this.receiveBody(exchange);
        return isReceived && !exchange.isEnded ? this.resolveRequestContext(exchange, deadlineAtMs) : undefined;
    }

    /** Buffers the body as far as it fits; returns false if the request was refused or its caller has disconnected. */
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

    /** Finds the route and the service; returns undefined when it has refused the request. */
    private resolveRequestContext(exchange: GatewayExchange, deadlineAtMs: number): RequestContext | undefined {
        const requestId = this.options.dialect.readRequestId(exchange.incoming.headers);
        // The routes may have changed while the body arrived.
        const route = this.findRoute(exchange);
        if (this.isRefusingAll) {
            this.refuseAtStop(exchange);
            return undefined;
        }
        if (route === undefined) {
            // An unconfirmed directory may lack a route that is in force.
            const { isRouteTableConfirmed } = this;
            const status = isRouteTableConfirmed ? 404 : 503;
            this.refuse(
                exchange,
                status,
                "no-route",
                "No route matches.",
                isRouteTableConfirmed ? undefined : this.drawUnconfirmedRetryAfterMs(),
            );
            return undefined;
        }
        // A key may have been removed while the body arrived.
        const authentication = this.authenticate(exchange, route);
        if (authentication.kind === "refused") {
            return undefined;
        }
        const { organisation } = authentication;
        const service = this.services.get(this.roundRobin.choose(route));
        if (service === undefined) {
            this.refuse(
                exchange,
                503,
                "no-service",
                "The route's service is not known.",
                this.drawUnconfirmedRetryAfterMs(),
            );
            return undefined;
        }
        // The entry that relayed a request has charged the quota.
        if (organisation !== undefined && !exchange.isRelayed && !this.takeQuota(exchange, organisation)) {
            return undefined;
        }
        exchange.hasOrganisations = this.admission.hasOrganisations;
        exchange.organisation = organisation?.name;
        const callerAgeMs = this.callerAgeEstimator.recordAndEstimateAgeMs(
            route.name,
            deadlineAtMs - exchange.receivedAtMs,
        );
        return { exchange, requestId, route, organisation, service, deadlineAtMs, callerAgeMs };
    }

    private get isRouteTableConfirmed(): boolean {
        return this.routesVersion > 0 && this.options.watch.isConfirmed;
    }

    /** Checks the key and the home regions; has answered the request if the result is a refusal. */
    private authenticate(exchange: GatewayExchange, route: Route): Authentication {
        const readKeys = () => this.options.dialect.readKeys(exchange.incoming.rawHeaders);
        const authentication = this.admission.check(route, readKeys, this.isRouteTableConfirmed);
        if (authentication.kind === "refused") {
            const { status, reason, detail, isUnconfirmed } = authentication;
            this.refuse(
                exchange,
                status,
                reason,
                detail,
                isUnconfirmed ? this.drawUnconfirmedRetryAfterMs() : undefined,
            );
        }
        return authentication;
    }

    /** Takes a unit of the organisation's quota; returns false when it has refused the request. */
    private takeQuota(exchange: GatewayExchange, organisation: Organisation): boolean {
        const { isAdmitted, retryAfterMs } = this.admission.takeQuota(organisation);
        if (!isAdmitted) {
            const detail = "The organisation has used its quota.";
            this.refuse(exchange, 429, "over-quota", detail, retryAfterMs, organisation.name);
        }
        return isAdmitted;
    }

    private drawUnconfirmedRetryAfterMs(): number {
        return unconfirmedRetryAfterMs + this.options.random.nextUnit() * unconfirmedJitterMs;
    }

    private refuse(
        exchange: GatewayExchange,
        status: number,
        reason: string,
        detail: string,
        retryAfterMs?: number,
        organisation?: string,
    ): void {
        const { dialect, watch, logger, metrics } = this.options;
        const requestId = dialect.readRequestId(exchange.incoming.headers);
        const { version, confirmedAgeMs } = watch;
        const { routesVersion } = this;
        logger.info("request refused", {
            requestId,
            status,
            reason,
            organisation,
            version,
            routesVersion,
            confirmedAgeMs: Math.round(confirmedAgeMs),
        });
        metrics.refusals.inc({ reason });
        exchange.answer(refuse(status, reason, detail, retryAfterMs));
    }
}

function isUpload(route: Route | undefined): boolean {
    return route !== undefined && requestKindOf(route) === RequestKind.upload;
}
