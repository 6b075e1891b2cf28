import type { Dispatcher } from "undici";
import type { Clock } from "../core/clock.js";
import { toHeaderFields } from "../entry/headers.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { EntryRelay } from "../relay/entryRelay.js";
import type { ResponseHead } from "../requests/model.js";
import type { Dialect } from "./dialect.js";
import type { OverloadControl } from "./overloadControl.js";
import type { LeasedConnection, UpstreamConnections } from "./upstreamConnections.js";
import { MessageKind, type UpstreamLimits } from "./upstreamLimits.js";
import type { UpstreamStatements } from "./upstreamStatements.js";
import {
    recordReportedLoad,
    UpstreamOutcome,
    type UpstreamState,
    type UpstreamStateTable,
} from "./upstreamStateTable.js";

/** Timeout for the response; a later one is useless because the load has changed by then. */
const probeTimeoutMs = 40;
/** Timeout until the probe is sent; a new connection takes a round trip and time for the upstream to accept it. */
const connectTimeoutMs = 120;

/**
 * A connection without a load probe is reused only if one was leased within this time; an older one may have been closed
 * by the upstream.
 */
const maxUnprobedIdleMs = 1000;
/** Age up to which the load in an earlier response describes an upstream that is not probed. */
const maxUnprobedLoadAgeMs = 150;

/** An upstream that has just passed a load probe, or may be used without one, with a leased connection. */
export interface ProbeResult {
    readonly upstreamState: UpstreamState;
    readonly connection: LeasedConnection;
}

/** Dependencies of a load prober. */
export interface LoadProberOptions {
    readonly upstreamTable: UpstreamStateTable;
    readonly upstreamLimits: UpstreamLimits;
    readonly upstreamStatements: UpstreamStatements;
    /** Learns which upstreams answer; undefined if the entry does not relay. */
    readonly relay?: Pick<EntryRelay, "recordResponse" | "recordFailure"> | undefined;
    readonly connections: UpstreamConnections;
    readonly dialect: Dialect;
    readonly clock: Clock;
    readonly metrics: GatewayMetrics;
    /** Undefined where the settings do not ask for it. */
    readonly overloadControl?: OverloadControl | undefined;
}

/** Probes upstreams for their load just before a request is placed. */
export class LoadProber {
    constructor(private readonly options: LoadProberOptions) {}

    /** Returns whether a probe needs no new connection. */
    isConnected(upstreamState: UpstreamState): boolean {
        return this.options.connections.hasIdle(upstreamState.registration.address);
    }

    /** Probes all candidates in parallel; returns the healthy ones, with `load` updated if it was reported. */
    async probeAll(candidates: readonly UpstreamState[], healthPath: string): Promise<readonly ProbeResult[]> {
        const probeResults = await Promise.all(
            candidates.map(upstreamState => this.probeOne(upstreamState, healthPath)),
        );
        return probeResults.filter(probeResult => probeResult !== undefined);
    }

    /** Leases a connection without a probe, which would count against the rate limit of the upstream. */
    connect(upstreamState: UpstreamState): ProbeResult | undefined {
        const nowMs = this.options.clock.monotonicMs();
        if (nowMs - upstreamState.loadAskedAtMs > maxUnprobedLoadAgeMs) {
            upstreamState.load = undefined;
        }
        const connection = this.options.connections.lease(
            upstreamState.registration.address,
            nowMs,
            maxUnprobedIdleMs,
        );
        return connection === undefined ? undefined : { upstreamState, connection };
    }

    private async probeOne(upstreamState: UpstreamState, healthPath: string): Promise<ProbeResult | undefined> {
        const {
            upstreamTable,
            upstreamLimits,
            upstreamStatements,
            connections,
            dialect,
            clock,
            metrics,
            overloadControl,
        } = this.options;
        const probedAtMs = clock.monotonicMs();
        const { address, id } = upstreamState.registration;
        const isNewConnection = !connections.hasIdle(address);
        const connection = connections.lease(address, probedAtMs);
        if (connection === undefined) {
            return undefined;
        }
        upstreamLimits.recordSent(upstreamState, MessageKind.probe);
        const { head, isConnectionError, isReset } = await fetchHead(connection.dispatcher, healthPath);
        if (head === undefined) {
            this.options.relay?.recordFailure(id, isNewConnection && isConnectionError);
        }
        else {
            this.options.relay?.recordResponse(isNewConnection);
        }
        // A duplicate of an earlier response on the connection states the id of its request.
        const isMatchingResponse = head !== undefined && dialect.readAnsweredRequestId(head) === undefined &&
            (dialect.readUpstreamId(head) ?? id) === id;
        if (isMatchingResponse) {
            upstreamStatements.recordHead(upstreamState, head, MessageKind.probe);
        }
        if (!isMatchingResponse || head.status !== 200) {
            connection.discard();
            metrics.loadProbes.inc({ end: head === undefined ? "silent" : "unwell" });
            const nowMs = clock.monotonicMs();
            const wasFull = isReset && overloadControl?.recordReset(upstreamState, nowMs) === true;
            upstreamTable.recordOutcome(
                upstreamState,
                wasFull ? UpstreamOutcome.refused : UpstreamOutcome.broken,
                nowMs,
            );
            return undefined;
        }
        metrics.loadProbes.inc({ end: "answered" });
        // Instances need not name their limit in answers to probes, so such an answer does not withdraw it.
        upstreamLimits.recordStatement(upstreamState, dialect.readRateLimit(head), MessageKind.probe, false);
        upstreamLimits.cold.recordProbe(upstreamState, dialect.readWarmupMs(head));
        const load = dialect.readLoad(head);
        if (load !== undefined) {
            recordReportedLoad(upstreamState, load, probedAtMs);
        }
        return { upstreamState, connection };
    }
}

interface FetchResult {
    /** Undefined when the request failed or timed out. */
    readonly head: ResponseHead | undefined;
    /** Whether the connection was not established in time, or failed before the response. */
    readonly isConnectionError: boolean;
    /** Whether the connection was closed or reset after the request had been sent on it. */
    readonly isReset: boolean;
}

function fetchHead(dispatcher: Dispatcher, path: string): Promise<FetchResult> {
    return new Promise(resolve => {
        let controller: Dispatcher.DispatchController | undefined;
        let head: ResponseHead | undefined;
        let isFinished = false;
        const finish = (result: ResponseHead | undefined, isConnectionError: boolean, isReset = false) => {
            isFinished = true;
            clearTimeout(timer);
            resolve({ head: result, isConnectionError, isReset });
        };
        const onProbeTimeout = () => {
            finish(undefined, controller === undefined);
            controller?.abort(new Error("load probe timed out"));
        };
        let timer = setTimeout(onProbeTimeout, connectTimeoutMs);
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(requestController) {
                controller = requestController;
                if (isFinished) {
                    requestController.abort(new Error("load probe has already finished"));
                    return;
                }
                clearTimeout(timer);
                timer = setTimeout(onProbeTimeout, probeTimeoutMs);
            },
            onResponseStart(requestController, status) {
                head = { status, headers: toHeaderFields((requestController.rawHeaders ?? []) as (string | Buffer)[]) };
            },
            onResponseData: () => undefined,
            onResponseEnd: () => finish(head, false),
            // Treated like a missing response.
            onResponseError: (_controller, error) =>
                finish(undefined, true, controller !== undefined && isClosed(error)),
        };
        try {
            dispatcher.dispatch({ method: "GET", path }, handler);
        }
        catch {
            // undici throws for an invalid path; treated like a missing response.
            finish(undefined, false);
        }
    });
}

const closedCodes = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

function isClosed(error: NodeJS.ErrnoException): boolean {
    return closedCodes.has(error.code ?? "");
}
