import type { Dispatcher } from "undici";
import type { Clock } from "../core/clock.js";
import { toHeaderFields } from "../entry/headers.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { EntryRelay } from "../relay/entryRelay.js";
import { isFinalStatus, type ResponseHead } from "../requests/model.js";
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

/** Time after which a round goes on without the response. */
const probeTimeoutMs = 40;
/** The same until the probe is sent; a new connection takes a round trip and time for the upstream to accept it. */
const connectTimeoutMs = 120;
/**
 * Time after which a probe is given up. On a busy machine all responses are late; if they were not used, and their
 * connections closed, the probes alone would keep the machine busy.
 */
const lateTimeoutMs = 400;

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

    /**
     * Probes all candidates in parallel; returns the healthy ones that answered in time, with `load` updated if it was
     * reported. `onLate` is called with those that answer later.
     */
    async probeAll(
        candidates: readonly UpstreamState[],
        healthPath: string,
        onLate: (probeResult: ProbeResult) => void,
    ): Promise<readonly ProbeResult[]> {
        const probeResults = await Promise.all(
            candidates.map(upstreamState => this.probeOne(upstreamState, healthPath, onLate)),
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

    private probeOne(
        upstreamState: UpstreamState,
        healthPath: string,
        onLate: (probeResult: ProbeResult) => void,
    ): Promise<ProbeResult | undefined> {
        const { upstreamLimits, connections, clock } = this.options;
        const sentAtMs = clock.monotonicMs();
        const { address } = upstreamState.registration;
        const isNewConnection = !connections.hasIdle(address);
        const connection = connections.lease(address, sentAtMs);
        if (connection === undefined) {
            return Promise.resolve(undefined);
        }
        const probe: Probe = { upstreamState, connection, isNewConnection, sentAtMs };
        upstreamLimits.recordSent(upstreamState, MessageKind.probe);
        return new Promise(resolve => {
            let isLate = false;
            const onDue = (isSent: boolean) => {
                isLate = true;
                this.recordFailure(probe, { head: undefined, isConnectionError: !isSent, isReset: false });
                resolve(undefined);
            };
            void fetchHead(connection.dispatcher, healthPath, onDue).then(fetched => {
                if (!isLate) {
                    resolve(this.recordResult(probe, fetched));
                    return;
                }
                const probeResult = this.recordLateResult(probe, fetched);
                if (probeResult !== undefined) {
                    onLate(probeResult);
                }
            });
        });
    }

    private recordResult(probe: Probe, fetched: FetchResult): ProbeResult | undefined {
        const { head } = fetched;
        if (head === undefined || !this.isUsable(probe, head)) {
            this.recordFailure(probe, fetched);
            probe.connection.discard();
            return undefined;
        }
        this.options.metrics.loadProbes.inc({ end: "answered" });
        return this.recordAnswer(probe, head);
    }

    /** Records the result of a probe that was counted as a failure when it was due. */
    private recordLateResult(probe: Probe, { head }: FetchResult): ProbeResult | undefined {
        const { metrics, upstreamTable } = this.options;
        if (head === undefined || !this.isUsable(probe, head)) {
            probe.connection.discard();
            return undefined;
        }
        metrics.loadProbes.inc({ end: "late" });
        upstreamTable.withdrawFailure(probe.upstreamState);
        return this.recordAnswer(probe, head);
    }

    /** Returns whether a head is the successful response of this upstream to a probe. */
    private isUsable({ upstreamState }: Probe, head: ResponseHead): boolean {
        const { dialect, upstreamStatements } = this.options;
        const { id } = upstreamState.registration;
        // A duplicate of an earlier response on the connection states the id of its request.
        const isMatchingResponse = dialect.readAnsweredRequestId(head) === undefined &&
            (dialect.readUpstreamId(head) ?? id) === id;
        if (isMatchingResponse) {
            upstreamStatements.recordHead(upstreamState, head, MessageKind.probe);
        }
        return isMatchingResponse && head.status === 200;
    }

    private recordFailure({ upstreamState, isNewConnection }: Probe, fetched: FetchResult): void {
        const { relay, metrics, overloadControl, upstreamTable, clock } = this.options;
        const { head, isConnectionError, isReset } = fetched;
        if (head === undefined) {
            relay?.recordFailure(upstreamState.registration.id, isNewConnection && isConnectionError);
        }
        else {
            relay?.recordResponse(isNewConnection);
        }
        metrics.loadProbes.inc({ end: head === undefined ? "silent" : "unwell" });
        const nowMs = clock.monotonicMs();
        const wasFull = isReset && overloadControl?.recordReset(upstreamState, nowMs) === true;
        upstreamTable.recordOutcome(
            upstreamState,
            wasFull ? UpstreamOutcome.refused : UpstreamOutcome.broken,
            nowMs,
        );
    }

    private recordAnswer(
        { upstreamState, connection, isNewConnection, sentAtMs }: Probe,
        head: ResponseHead,
    ): ProbeResult {
        const { relay, upstreamLimits, dialect } = this.options;
        relay?.recordResponse(isNewConnection);
        // Instances need not name their limit in answers to probes, so such an answer does not withdraw it.
        upstreamLimits.recordStatement(upstreamState, dialect.readRateLimit(head), MessageKind.probe, false);
        upstreamLimits.cold.recordProbe(upstreamState, dialect.readWarmupMs(head));
        const load = dialect.readLoad(head);
        if (load !== undefined) {
            recordReportedLoad(upstreamState, load, sentAtMs);
        }
        return { upstreamState, connection };
    }
}

/** A probe that was sent or waits for its connection. */
interface Probe {
    readonly upstreamState: UpstreamState;
    readonly connection: LeasedConnection;
    readonly isNewConnection: boolean;
    readonly sentAtMs: number;
}

interface FetchResult {
    /** Undefined when the request failed or timed out. */
    readonly head: ResponseHead | undefined;
    /** Whether the connection was not established in time, or failed before the response. */
    readonly isConnectionError: boolean;
    /** Whether the connection was closed or reset after the request had been sent on it. */
    readonly isReset: boolean;
}

/** Sends a probe. `onDue` is called if it has no response in time; a late one still settles the promise. */
function fetchHead(dispatcher: Dispatcher, path: string, onDue: (isSent: boolean) => void): Promise<FetchResult> {
    return new Promise(resolve => {
        let controller: Dispatcher.DispatchController | undefined;
        let head: ResponseHead | undefined;
        let isDue = false;
        let isFinished = false;
        const finish = (result: ResponseHead | undefined, isConnectionError: boolean, isReset = false) => {
            isFinished = true;
            clearTimeout(dueTimer);
            clearTimeout(lateTimer);
            resolve({ head: result, isConnectionError, isReset });
        };
        // After a pause of the event loop, timers run before what has arrived meanwhile is read.
        const afterReading = (action: () => void) => () => void setImmediate(() => isFinished || action());
        const reportDue = afterReading(() => {
            isDue = true;
            onDue(controller !== undefined);
        });
        let dueTimer = setTimeout(reportDue, connectTimeoutMs);
        const lateTimer = setTimeout(
            afterReading(() => {
                finish(undefined, controller === undefined);
                controller?.abort(new Error("load probe timed out"));
            }),
            lateTimeoutMs,
        );
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart(requestController) {
                controller = requestController;
                if (isFinished) {
                    requestController.abort(new Error("load probe has already finished"));
                    return;
                }
                if (!isDue) {
                    clearTimeout(dueTimer);
                    dueTimer = setTimeout(reportDue, probeTimeoutMs);
                }
            },
            onResponseStart(requestController, status) {
                if (!isFinalStatus(status)) {
                    return;
                }
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
