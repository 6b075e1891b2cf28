import type { ListenAddress } from "../control/options.js";
import type { Clock } from "../core/clock.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { EntryLimits } from "../entry/options.js";
import type { QuotaBounds } from "../quotas/quotaBounds.js";
import type { Dialect } from "./dialect.js";
import type { RetryLimits } from "./sharedRetryBudget.js";

/** Logger of a gateway; a tslog logger satisfies it. */
export interface GatewayLogger {
    debug(text: string, fields?: object): unknown;
    info(text: string, fields?: object): unknown;
    warn(text: string, fields?: object): unknown;
    error(text: string, fields?: object): unknown;
}

/** Time limits for the shutdown of a gateway. */
export interface ShutdownTimes {
    /** Time from the stop request until the process is killed. */
    readonly graceMs: number;
    /** Time for which callers may cache the address of the entry. */
    readonly addressLifetimeMs: number;
}

/** Options of a gateway. */
export interface GatewayOptions {
    readonly id: EntryId;
    readonly availabilityZone: string;
    /** Region of the entry; requests whose home regions do not include it are refused. */
    readonly region: string;
    readonly listen: ListenAddress;
    /** Address on which metrics are served; undefined to disable. */
    readonly metricsListen: ListenAddress | undefined;
    /** Peer addresses of control VMs. */
    readonly seeds: readonly string[];
    /** Number of availability zones; used to estimate the number of entries while the control VMs report none. */
    readonly availabilityZoneCount: number;
    readonly clusterSecret: string;
    readonly limits: EntryLimits;
    readonly retries: RetryLimits;
    /** Limit on load probes per second and upstream, over all entries; a service's upstreams share the sum. */
    readonly probesPerUpstreamSecond: number;
    /** Bounds of the quotas of organisations. */
    readonly quotaBounds?: QuotaBounds;
    /** Whether requests are ordered and refused by their worth while capacity is insufficient; default false. */
    readonly isOverloadControlled?: boolean;
    readonly stop: ShutdownTimes;
    /** Whether requests are relayed through other entries while no instance can be reached; false if undefined. */
    readonly canRelay?: boolean;
    readonly dialect: Dialect;
    readonly logger: GatewayLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
}
