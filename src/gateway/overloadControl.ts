import type { ServiceName } from "../core/ids.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { isNearlyFull, lowerLimit } from "../overload/concurrencyLimit.js";
import type { GatewayLogger } from "./options.js";
import { estimateOutstanding, getSlots } from "./placement.js";
import { type QueuePolicy, WorthQueuePolicy } from "./queuePolicy.js";
import type { UpstreamState } from "./upstreamStateTable.js";

/** Dependencies of OverloadControl. */
export interface OverloadControlOptions {
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
}

/** Decisions of an entry while the capacity of a service is insufficient. */
export class OverloadControl {
    constructor(private readonly options: OverloadControlOptions) {}

    /**
     * Records that an upstream reset or closed the connection of a request or probe that this entry no longer counts as
     * open. Returns whether the upstream was nearly full, so that its limit is lowered.
     */
    recordReset(upstreamState: UpstreamState, nowMs: number): boolean {
        const { logger, metrics } = this.options;
        const { id, service } = upstreamState.registration;
        const slots = getSlots(upstreamState);
        const outstanding = Math.max(estimateOutstanding(upstreamState), upstreamState.openSentAtMs.size) + 1;
        if (!isNearlyFull(outstanding, slots)) {
            return false;
        }
        const limit = lowerLimit(upstreamState.concurrencyLimit, outstanding, slots, nowMs);
        upstreamState.concurrencyLimit = limit;
        metrics.resetsWhenFull.inc({ service });
        const { maxOutstanding, recoveryMs } = limit;
        logger.info("upstream reset a connection when full", { upstream: id, slots, maxOutstanding, recoveryMs });
        return true;
    }

    /** Creates the queue policy of a service. */
    makeQueuePolicy(service: ServiceName): QueuePolicy {
        const { logger, metrics } = this.options;
        return new WorthQueuePolicy({
            onShortage: () => logger.info("capacity of a service is insufficient", { service }),
            onShed: ({ priority }) => metrics.shedRequests.inc({ service, priority }),
        });
    }
}
