import type { ServiceName } from "../core/ids.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { GatewayLogger } from "./options.js";
import { type QueuePolicy, WorthQueuePolicy } from "./queuePolicy.js";

/** Dependencies of OverloadControl. */
export interface OverloadControlOptions {
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
}

/** Decisions of an entry while the capacity of a service is insufficient. */
export class OverloadControl {
    constructor(private readonly options: OverloadControlOptions) {}

    /** Creates the queue policy of a service. */
    makeQueuePolicy(service: ServiceName): QueuePolicy {
        const { logger, metrics } = this.options;
        return new WorthQueuePolicy({
            onShortage: () => logger.info("capacity of a service is insufficient", { service }),
            onShed: ({ priority }) => metrics.shedRequests.inc({ service, priority }),
        });
    }
}
