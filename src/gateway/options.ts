import type { ListenAddress } from "../control/options.js";
import type { Clock } from "../core/clock.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { EntryLimits } from "../entry/options.js";
import type { Dialect } from "./dialect.js";
import type { ResendLimits } from "./resendBudget.js";

/** Receives the log lines of an entry; a tslog logger fits. */
export interface GatewayLogger {
    debug(text: string, fields?: object): unknown;
    info(text: string, fields?: object): unknown;
    warn(text: string, fields?: object): unknown;
    error(text: string, fields?: object): unknown;
}

/** Times that bound the stop of an entry. */
export interface StopTimes {
    /** From the request to stop until the process is killed. */
    readonly graceMs: number;
    /** How long callers may keep an answer that names the entry. */
    readonly addressLifetimeMs: number;
}

/** Options of an entry that follows a directory. */
export interface GatewayOptions {
    readonly id: EntryId;
    readonly availabilityZone: string;
    readonly listen: ListenAddress;
    /** Where metrics are served; nowhere when undefined. */
    readonly metricsListen: ListenAddress | undefined;
    /** Peer addresses of control VMs. */
    readonly seeds: readonly string[];
    /** Availability zones of the system; estimates the number of entries while the control VMs do not tell it. */
    readonly availabilityZoneCount: number;
    readonly clusterSecret: string;
    readonly limits: EntryLimits;
    readonly resends: ResendLimits;
    /** Questions for its load that one upstream may get in a second from all entries together. */
    readonly asksPerUpstreamSecond: number;
    readonly stop: StopTimes;
    readonly dialect: Dialect;
    readonly logger: GatewayLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
}
