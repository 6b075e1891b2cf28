import { ageMs, type Clock, type Instant } from "../core/clock.js";
import type { ServiceName } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { Admission, computeAdmission } from "../overload/admission.js";
import { isNearlyFull, lowerLimit } from "../overload/concurrencyLimit.js";
import { DemandCounter, type ServiceDemand, type ZoneDemand } from "../overload/demand.js";
import type { GatewayLogger } from "./options.js";
import { estimateOutstanding, getSlots } from "./placement.js";
import { type QueuePolicy, WorthQueuePolicy } from "./queuePolicy.js";
import type { UpstreamState } from "./upstreamStateTable.js";

/** Maximum age of the demand that a control VM returned; answers come at least every 400 ms while it is in touch. */
const demandTtlMs = 2000;

/** Dependencies of OverloadControl. */
export interface OverloadControlOptions {
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly availabilityZone: string;
    /** Called when this entry finds that capacity has become insufficient. */
    readonly onShortage: () => void;
}

/** Decisions of an entry while the capacity of a service is insufficient. */
export class OverloadControl {
    private readonly counter = new DemandCounter();
    /** Admitted fractions by service and priority. */
    private fractions: ReadonlyMap<ServiceName, ReadonlyMap<number, number>> = new Map();
    private receivedAt: Instant | undefined;

    constructor(private readonly options: OverloadControlOptions) {}

    /** Returns what this entry reports; undefined while nothing is rejected here or at the other entries. */
    describeDemand(): readonly ServiceDemand[] | undefined {
        return this.counter.describe(service => this.getFractions(service) !== undefined, this.nowMs());
    }

    /** Applies the demand that all entries of the zones reported; `sentAt` is when the call was sent. */
    applyDemand(demand: readonly ZoneDemand[] | undefined, sentAt: Instant): void {
        const { availabilityZone, logger } = this.options;
        const previous = this.fractions;
        this.receivedAt = sentAt;
        this.fractions = new Map(
            (demand ?? [])
                .filter(row => row.availabilityZone === availabilityZone)
                .map(({ service, rows }) => [service, computeAdmission(rows)]),
        );
        for (const [service, fractions] of this.fractions) {
            if (!previous.has(service)) {
                logger.info("service is short of capacity in the zone", { service, admitted: [...fractions] });
            }
        }
        for (const service of previous.keys()) {
            if (!this.fractions.has(service)) {
                logger.info("service is no longer short of capacity in the zone", { service });
            }
        }
    }

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
        const { logger, metrics, random, onShortage } = this.options;
        const admission = new Admission(random);
        return new WorthQueuePolicy({
            isZoneShort: () => this.getFractions(service) !== undefined,
            isAdmitted: ({ priority }) => admission.isAdmitted(priority, this.getFractions(service) ?? new Map()),
            onEnd: ({ priority }, outcome) => this.counter.record(service, priority, outcome, this.nowMs()),
            onShortage: () => {
                logger.info("capacity of a service is insufficient", { service });
                onShortage();
            },
            onShed: ({ priority }) => metrics.shedRequests.inc({ service, priority }),
        });
    }

    /** Returns the admitted fractions of a service; undefined if it is not short or the figures are too old. */
    private getFractions(service: ServiceName): ReadonlyMap<number, number> | undefined {
        const isValid = this.receivedAt !== undefined && ageMs(this.receivedAt, this.options.clock) < demandTtlMs;
        return isValid ? this.fractions.get(service) : undefined;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
