import type { StatsD } from "hot-shots";
import type { ILogObj, Logger } from "tslog";
import type { Clock } from "../core/clock.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { ClaimSettings } from "../requests/claimStack.js";

/** Where a server listens. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Limits of one entry; they bound its memory whatever callers and upstreams do. */
export interface EntryLimits {
    /** Largest request head. */
    readonly headBytes: number;
    /** Largest request body. */
    readonly bodyBytes: number;
    /** Bodies up to this size are buffered, so that they can be sent again and hashed. */
    readonly bufferedBodyBytes: number;
    /** Largest response body that is retained for resends. */
    readonly retainedBodyBytes: number;
    /** Connections of callers and upstreams. */
    readonly connections: number;
    /** Connections to one upstream. */
    readonly connectionsPerUpstream: number;
    /** Requests that are being read, waiting or in flight, over all services. */
    readonly requests: number;
    /** Requests that may be in flight, over all services. */
    readonly places: number;
    /** Bytes of request and response bodies that are held in memory, over all requests. */
    readonly bufferedBytes: number;
    /** Time to receive a request head. */
    readonly headTimeoutMs: number;
    /** Time to receive a body that is buffered. */
    readonly bodyTimeoutMs: number;
    /** Idle time after which a caller's connection is closed. */
    readonly keepAliveTimeoutMs: number;
    /** Idle time after which a connection to an upstream is not used again. */
    readonly upstreamIdleMs: number;
    /** Time to connect to an upstream. */
    readonly connectTimeoutMs: number;
    /** Time after which a caller that does not read its response is disconnected. */
    readonly stallTimeoutMs: number;
    /** Longest deadline that a caller can state. */
    readonly maxDeadlineMs: number;
}

/** Limits used when the settings state none. */
export const defaultEntryLimits: EntryLimits = {
    headBytes: 16 * 1024,
    bodyBytes: 32 * 1024 * 1024,
    bufferedBodyBytes: 256 * 1024,
    retainedBodyBytes: 256 * 1024,
    connections: 4096,
    connectionsPerUpstream: 64,
    requests: 4096,
    places: 2048,
    bufferedBytes: 64 * 1024 * 1024,
    headTimeoutMs: 10_000,
    bodyTimeoutMs: 10_000,
    keepAliveTimeoutMs: 15_000,
    upstreamIdleMs: 1000,
    connectTimeoutMs: 1000,
    stallTimeoutMs: 30_000,
    maxDeadlineMs: 600_000,
};

/** What `startEntry` needs. */
export interface EntryOptions {
    readonly id: EntryId;
    readonly region: string;
    readonly availabilityZone: string;
    /** For callers and upstreams. */
    readonly listen: ListenAddress;
    /** For other processes of the system. */
    readonly peerListen: ListenAddress;
    /** `host:port` of the control VMs. */
    readonly controlAddresses: readonly string[];
    readonly clusterSecret: string;
    readonly limits: EntryLimits;
    /** Settings of claims that differ from the defaults. */
    readonly claims?: Partial<ClaimSettings>;
    readonly logger: Logger<ILogObj>;
    readonly metrics: StatsD;
    readonly clock: Clock;
    readonly random: RandomSource;
}
