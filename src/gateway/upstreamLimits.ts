import type { Clock } from "../core/clock.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { RateLimitStatement } from "./dialect.js";
import type { GatewayLogger } from "./options.js";
import type { UpstreamState } from "./upstreamStateTable.js";

/**
 * A response without a limit withdraws it only if none was named for this time: responses of one instance can overtake
 * each other on different connections.
 */
const withdrawalDelayMs = 1000;

/** What a message to an upstream was for. */
export const MessageKind = { request: "request", probe: "probe" } as const;

export type MessageKind = typeof MessageKind[keyof typeof MessageKind];

/** Dependencies of UpstreamLimits. */
export interface UpstreamLimitsOptions {
    readonly clock: Clock;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
}

/** Rate limits that upstreams name in their responses. */
export class UpstreamLimits {
    constructor(private readonly options: UpstreamLimitsOptions) {}

    /** Returns the requests a second that an upstream accepts from all entries together; undefined without a limit. */
    getLimit(upstreamState: UpstreamState): number | undefined {
        return upstreamState.namedLimit?.perSecond;
    }

    /** Records what a response names. `canWithdraw` is false for responses that do not show that a limit has ended. */
    recordStatement(
        upstreamState: UpstreamState,
        statement: RateLimitStatement,
        kind: MessageKind,
        canWithdraw: boolean,
    ): void {
        const { clock, logger } = this.options;
        const nowMs = clock.monotonicMs();
        const previous = upstreamState.namedLimit;
        const upstream = upstreamState.registration.id;
        switch (statement.kind) {
            case "limit":
                upstreamState.namedLimit = { perSecond: statement.perSecond, observedAtMs: nowMs };
                if (previous?.perSecond !== statement.perSecond) {
                    logger.info("upstream names a rate limit", { upstream, perSecond: statement.perSecond, in: kind });
                }
                break;
            case "invalid":
                logger.warn("upstream names an invalid rate limit", { upstream, text: statement.text, in: kind });
                break;
            case "none":
                if (
                    canWithdraw && previous?.perSecond !== undefined &&
                    nowMs - previous.observedAtMs >= withdrawalDelayMs
                ) {
                    upstreamState.namedLimit = { perSecond: undefined, observedAtMs: nowMs };
                    logger.info("upstream names no rate limit any more", { upstream });
                }
                break;
        }
    }

    /** Records that a message is sent to an upstream. */
    recordSent(upstreamState: UpstreamState, kind: MessageKind): void {
        const perSecond = this.getLimit(upstreamState);
        if (perSecond !== undefined) {
            this.options.metrics.limitedUpstreamMessages.inc({ kind });
            this.options.logger.info("sent to a limited upstream", {
                upstream: upstreamState.registration.id,
                kind,
                perSecond,
            });
        }
    }
}
