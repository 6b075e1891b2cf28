import type { BufferBudget } from "../entry/bufferBudget.js";
import type { Dialect } from "../gateway/dialect.js";
import { type AttemptResult, GatewayAttempt, isConnectionReusable } from "../gateway/gatewayAttempt.js";
import type { GatewayExchange } from "../gateway/gatewayExchange.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { EntryRelay } from "./entryRelay.js";

/** Status with which a peer declines a relayed request that it cannot serve either; it states that it has not run. */
export const declinedStatus = 421;
/** Peers to which one request is sent while none of them has accepted it. */
const maxPeers = 3;
/** The peer gets this much less time, so that its answer arrives before this entry's own timeout. */
const relayMarginMs = 30;
const minRemainingMs = 20;

/** How relaying a request ended. */
export const RelayOutcome = {
    /** The caller has an answer or was disconnected. */
    ended: "ended",
    /** No peer took the request; it has not run. */
    unavailable: "unavailable",
    /** A peer may have run the request, but no complete response arrived. */
    lost: "lost",
    /** The last peer failed, and its answer does not cover an earlier attempt, which may have run the request. */
    failed: "failed",
} as const;

export type RelayOutcome = typeof RelayOutcome[keyof typeof RelayOutcome];

/** Inputs of a relayed request. */
export interface RelayedRequestContext {
    readonly exchange: GatewayExchange;
    readonly requestId: string | undefined;
    readonly relay: EntryRelay;
    readonly dialect: Dialect;
    readonly bufferBudget: BufferBudget;
    readonly metrics: Pick<GatewayMetrics, "relayedRequests">;
    /** Returns the time that the peer may take at most. */
    readonly computeRemainingMs: () => number;
    /** Attempts at instances that the peer may make. */
    readonly attemptsLeft: number;
    /** Returns whether the same body can be sent again. */
    readonly canReplayBody: () => boolean;
    /** Whether an earlier attempt may have run the request; a peer does not know it and could state the opposite. */
    readonly mayHaveRun: boolean;
    /** Called with each attempt before it is sent, so that it can be cancelled. */
    readonly onAttempt: (attempt: GatewayAttempt) => void;
    readonly log: (text: string, fields: object) => void;
}

/**
 * Relays a request through another entry. A peer that cannot be reached or is cut off is replaced by another one, which
 * needs no retry budget, as no instance was involved. Every other response of the peer is the caller's response: the peer
 * has made all retries that the request allows.
 */
export async function relayRequest(context: RelayedRequestContext): Promise<RelayOutcome> {
    const { exchange, relay, metrics, computeRemainingMs, canReplayBody, log } = context;
    const tried = new Set<string>();
    while (tried.size < maxPeers && !exchange.isEnded && computeRemainingMs() - relayMarginMs > minRemainingMs) {
        const lease = relay.leasePeer(tried);
        if (lease === undefined) {
            break;
        }
        const { peer } = lease;
        tried.add(peer.address);
        const attempt = makeAttempt(context);
        const result = await attempt.start(lease.connection.dispatcher);
        const isDeclined = result.kind === "not-run" && result.status === declinedStatus;
        const isPeerBroken = "failure" in result && result.failure !== "cancelled";
        relay.releasePeer(lease, isConnectionReusable(result), isPeerBroken || isDeclined);
        const end = isDeclined ? "declined" : result.kind;
        metrics.relayedRequests.inc({ end });
        log("relayed", { peer: peer.address, zone: peer.availabilityZone, ...result, end });
        const outcome = settle(attempt, result, context, isDeclined);
        if (outcome !== RelayOutcome.unavailable || !canReplayBody()) {
            return outcome;
        }
    }
    return exchange.isEnded ? RelayOutcome.ended : RelayOutcome.unavailable;
}

function makeAttempt(context: RelayedRequestContext): GatewayAttempt {
    const { exchange, requestId, relay, dialect, bufferBudget, computeRemainingMs, onAttempt, attemptsLeft } = context;
    const remainingMs = Math.floor(computeRemainingMs() - relayMarginMs);
    const method = exchange.incoming.method ?? "GET";
    const token = relay.sign({ requestId, method, path: exchange.path });
    const headers = exchange.buildRelayHeaders(remainingMs, attemptsLeft, token);
    const attempt = new GatewayAttempt(
        { exchange, requestId, headers, isRelayed: true, onHead: () => undefined },
        dialect,
        bufferBudget,
    );
    onAttempt(attempt);
    return attempt;
}

/** Delivers the response of a peer, unless another peer should be tried. */
function settle(
    attempt: GatewayAttempt,
    result: AttemptResult,
    { exchange, mayHaveRun }: RelayedRequestContext,
    isDeclined: boolean,
): RelayOutcome {
    switch (result.kind) {
        case "delivered":
            return RelayOutcome.ended;
        case "not-run":
        case "failed-answer":
            if (isDeclined) {
                return RelayOutcome.unavailable;
            }
            if (mayHaveRun) {
                return RelayOutcome.failed;
            }
            attempt.deliver();
            return RelayOutcome.ended;
        case "not-sent":
            return exchange.isEnded ? RelayOutcome.ended : RelayOutcome.unavailable;
        case "cut-off":
            exchange.destroyCaller();
            return RelayOutcome.ended;
        case "lost":
            return exchange.isEnded ? RelayOutcome.ended : RelayOutcome.lost;
    }
}
