import { isIPv4 } from "node:net";
import type { ServiceName, UpstreamId } from "../core/ids.js";

/** Target of a route with its share of the requests. */
export interface WeightedService {
    readonly service: ServiceName;
    /** Not negative; relative to the sum of the route's weights. */
    readonly weight: number;
}

/** How often a request of a route may run, and whether its body is streamed. */
export const RequestKind = {
    /** May run more than once. */
    idempotent: "idempotent",
    /** Runs at most once. */
    nonIdempotent: "non-idempotent",
    /** Runs at most once; its body may be large and is streamed to the upstream. */
    upload: "upload",
} as const;

export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

/** Rule for the requests to a host whose path begins with a prefix. */
export interface Route {
    readonly name: string;
    /** Begins and ends with a slash; the longest matching prefix applies. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Undefined in routes stored by versions without uploads. */
    readonly kind?: RequestKind;
    /** Target time for the answer; a later answer is worth less to the caller. */
    readonly targetLatencyMs: number | undefined;
    /** Priority among queued requests; 0 is the highest. */
    readonly priority: number;
    /** Longest time that a caller waits; if undefined, only the caller's deadline applies. */
    readonly timeoutMs: number | undefined;
    /** Maximum number of instances to which one request is sent. */
    readonly maxAttempts: number;
    readonly targets: readonly WeightedService[];
    /** Whether the operator wrote the targets as a weighted split; preserved when the table is read back. */
    readonly isSplit: boolean;
    /** Whether requests need no key although organisations are configured; undefined if not stated. */
    readonly isPublic?: boolean;
    /** Regions whose instances may get the requests; undefined if all may. */
    readonly homes?: readonly string[];
}

/** Returns the kind of a route's requests, also for routes stored without one. */
export function requestKindOf({ kind, isIdempotent }: Route): RequestKind {
    return kind ?? (isIdempotent ? RequestKind.idempotent : RequestKind.nonIdempotent);
}

/** The routes of one host name. */
export interface HostRoutes {
    readonly host: string;
    readonly routes: readonly Route[];
}

/** A service that routes can refer to. */
export interface RoutedService {
    readonly name: ServiceName;
    readonly healthPath: string;
    /** Total number of connections that one instance accepts. */
    readonly maxConnections: number | undefined;
    /** Whether instances deduplicate requests by their id. */
    readonly isDeduplicating: boolean | undefined;
    /** Protocol of the instances, as written by the operator. */
    readonly protocol: string | undefined;
    readonly isTls: boolean | undefined;
    /** Time for which an instance is cold after its start; undefined if instances need no warmup. */
    readonly warmupMs?: number;
    /** Requests a second that a cold instance tolerates from all entries together. */
    readonly warmupPerSecond?: number;
}

/** Returns whether a service limits the rate of its cold instances. */
export function isWarmupLimited(
    service: RoutedService,
): service is RoutedService & { readonly warmupPerSecond: number; } {
    // The codec between processes may decode undefined as null.
    return typeof service.warmupPerSecond === "number";
}

/** A customer of the operators whose callers authenticate with keys. */
export interface Organisation {
    readonly name: string;
    /** Secrets of its callers. Empty in messages to entries, which carry only digests. */
    readonly keys: readonly string[];
    /** Digests of the keys; present only in messages to entries. */
    readonly keyDigests?: readonly string[];
    /** Takes precedence over the priority of the route; 0 is the highest, undefined if the route's applies. */
    readonly priority?: number;
    /** Quota over all entries together; undefined or 0 without a limit. */
    readonly ratePerSecond?: number;
    /** Requests beyond the rate that the quota allows at once. */
    readonly burst?: number;
    /** Regions whose instances may get the requests; undefined if all may. */
    readonly homes?: readonly string[];
}

/** Limits on a caller's request at an entry. */
export interface CallerLimits {
    readonly maxHeadBytes: number | undefined;
    readonly maxBodyBytes: number | undefined;
    readonly headTimeoutMs: number | undefined;
    readonly idleTimeoutMs: number | undefined;
}

/** A complete configuration of routes at one version. */
export interface RouteTable {
    /** Chosen by the operator; increases, not necessarily by 1. 0 if nothing was configured. */
    readonly version: number;
    readonly limits: CallerLimits;
    readonly hosts: readonly HostRoutes[];
    readonly services: readonly RoutedService[];
    /** Undefined if no key is required. */
    readonly organisations?: readonly Organisation[];
}

/** Table of a directory without a configuration. */
export const emptyRouteTable: RouteTable = {
    version: 0,
    limits: { maxHeadBytes: undefined, maxBodyBytes: undefined, headTimeoutMs: undefined, idleTimeoutMs: undefined },
    hosts: [],
    services: [],
};

/** Routes (listed under their hosts), services and organisations to add or replace, and names of those to remove. */
export interface RouteUpdate {
    /** Version of the updated table. */
    readonly version: number;
    /** Undefined if unchanged. */
    readonly limits: CallerLimits | undefined;
    readonly hosts: readonly HostRoutes[];
    readonly services: readonly RoutedService[];
    readonly removedRoutes: readonly string[];
    readonly removedServices: readonly string[];
    /** Organisations to add or replace by name; undefined if unchanged. */
    readonly organisations?: readonly Organisation[];
    /** Names of organisations to remove; undefined if there are none. */
    readonly removedOrganisations?: readonly string[];
}

/** Whether an instance accepts new requests. */
export const RegistrationState = { ready: "ready", draining: "draining" } as const;

export type RegistrationState = typeof RegistrationState[keyof typeof RegistrationState];

/** State of an instance, as stated in its heartbeat. */
export interface Registration {
    readonly id: UpstreamId;
    /** Start time in Unix milliseconds; distinguishes incarnations with the same id. 0 if not stated. */
    readonly bornAtMs: number;
    readonly service: ServiceName;
    /** `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Number of requests that the instance runs concurrently. */
    readonly slots: number;
    readonly state: RegistrationState;
    /** Increases with each heartbeat of an incarnation. */
    readonly sequence: number;
    /** Remaining time for which the instance is slow after its start. */
    readonly warmupMs: number;
}

/** Highest number of slots of an instance. */
export const maxSlots = 1_000_000;
/** Longest warmup of an instance. */
export const maxWarmupMs = 24 * 60 * 60 * 1000;
/** Latest time that a date can have, in Unix milliseconds. */
export const maxUnixMs = 8.64e15;

const maxPort = 65_535;

/** Returns whether a value is an IPv4 address with a port to which connections can be opened. */
export function isInstanceAddress(address: unknown): boolean {
    if (typeof address !== "string") {
        return false;
    }
    const separator = address.lastIndexOf(":");
    const port = address.slice(separator + 1);
    return isIPv4(address.slice(0, separator)) && /^\d{1,5}$/.test(port) && Number(port) >= 1 &&
        Number(port) <= maxPort;
}

/** Returns whether requests can be sent to an instance; one that another writer registered may lack what it takes. */
export function isUsableRegistration({ address, slots, warmupMs, bornAtMs }: Registration): boolean {
    return isInstanceAddress(address) && isWithin(slots, maxSlots) && isWithin(warmupMs, maxWarmupMs) &&
        isWithin(bornAtMs, maxUnixMs);
}

function isWithin(value: unknown, max: number): boolean {
    return typeof value === "number" && value >= 0 && value <= max;
}

/** Addresses and availability zone of a control VM. */
export interface ControlNode {
    /** For other processes of the system, `host:port`. */
    readonly peerAddress: string;
    /** For upstreams and operators, `host:port`. */
    readonly operatorAddress: string;
    readonly availabilityZone: string;
}
