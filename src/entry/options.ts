import type { StatsD } from "hot-shots";
import type { ILogObj, Logger } from "tslog";
import type { Clock } from "../core/clock.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { ClaimSettings } from "../requests/claimProtocol.js";

/** Host and port on which a server listens. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Limits of one entry; they bound its memory use regardless of callers and upstreams. */
export interface EntryLimits {
    /** Maximum size of a request head. */
    readonly headBytes: number;
    /** Maximum size of a request body. */
    readonly bodyBytes: number;
    /** Request bodies up to this size are buffered, so that they can be hashed and resent. */
    readonly bufferedBodyBytes: number;
    /** Maximum size of a response body that is retained for resubmissions of a keyed request. */
    readonly retainedBodyBytes: number;
    /** Maximum connections from callers and upstreams. */
    readonly connections: number;
    /** Maximum connections to one upstream. */
    readonly connectionsPerUpstream: number;
    /** Maximum requests being read, queued or in flight, across all services. */
    readonly requests: number;
    /** Maximum requests in flight, across all services. */
    readonly places: number;
    /** Maximum bytes of request and response bodies in memory, across all requests. */
    readonly bufferedBytes: number;
    /** Timeout for receiving a request head. */
    readonly headTimeoutMs: number;
    /** Timeout for receiving a buffered request body. */
    readonly bodyTimeoutMs: number;
    /** Idle time after which a caller's connection is closed. */
    readonly keepAliveTimeoutMs: number;
    /** Idle time after which a connection to an upstream is not reused. */
    readonly upstreamIdleMs: number;
    /** Timeout for connecting to an upstream. */
    readonly connectTimeoutMs: number;
    /** Time after which a caller that does not read its response is disconnected. */
    readonly stallTimeoutMs: number;
    /** Upper bound of the deadline that a caller requests. */
    readonly maxDeadlineMs: number;
}

/** Limits that apply unless the settings override them. */
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

/** Options of `startEntry`. */
export interface EntryOptions {
    readonly id: EntryId;
    readonly region: string;
    readonly availabilityZone: string;
    /** Address for callers and upstreams. */
    readonly listen: ListenAddress;
    /** Address for other processes of the system. */
    readonly peerListen: ListenAddress;
    /** `host:port` of the control VMs. */
    readonly controlAddresses: readonly string[];
    readonly clusterSecret: string;
    readonly limits: EntryLimits;
    /** Overrides of the default claim settings. */
    readonly claims?: Partial<ClaimSettings>;
    readonly logger: Logger<ILogObj>;
    readonly metrics: StatsD;
    readonly clock: Clock;
    readonly random: RandomSource;
}
