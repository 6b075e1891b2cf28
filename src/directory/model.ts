import type { ServiceName, UpstreamId } from "../core/ids.js";

/** One target of a route and its share of the route's requests. */
export interface WeightedService {
    readonly service: ServiceName;
    /** Not negative; shares are relative to the sum over the route. */
    readonly weight: number;
}

/** What may be done with the requests of a route. */
export const RequestKind = {
    /** May run more than once. */
    idempotent: "idempotent",
    /** Runs at most once. */
    nonIdempotent: "non-idempotent",
    /** Runs at most once; its body can be large and is streamed to the upstream as it arrives. */
    upload: "upload",
} as const;

export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

/** Where requests of a host whose path begins with a prefix go. */
export interface Route {
    readonly name: string;
    /** Begins and ends with a slash; the longest one that matches wins. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Undefined in routes of earlier versions, which had no uploads. */
    readonly kind?: RequestKind;
    /** Time within which an answer is worth most to the caller. */
    readonly targetLatencyMs: number | undefined;
    /** Rank among the requests that wait; 0 goes first. */
    readonly priority: number;
    /** Longest time that a caller waits; without one its own deadline applies. */
    readonly timeoutMs: number | undefined;
    /** Instances to which one request may be sent. */
    readonly maxAttempts: number;
    readonly targets: readonly WeightedService[];
    /** Whether the operator wrote the targets as a split, which is kept when the table is read back. */
    readonly isSplit: boolean;
}

/** Returns what may be done with the requests of a route. */
export function requestKindOf({ kind, isIdempotent }: Route): RequestKind {
    return kind ?? (isIdempotent ? RequestKind.idempotent : RequestKind.nonIdempotent);
}

/** The routes of one host name. */
export interface HostRoutes {
    readonly host: string;
    readonly routes: readonly Route[];
}

/** A service that routes can name. */
export interface RoutedService {
    readonly name: ServiceName;
    readonly healthPath: string;
    /** Connections that one instance accepts from all callers together. */
    readonly maxConnections: number | undefined;
    /** Whether instances recognize a repeated request by its id. */
    readonly isDeduplicating: boolean | undefined;
    /** Protocol that instances speak, as the operator wrote it. */
    readonly protocol: string | undefined;
    readonly isTls: boolean | undefined;
}

/** What a caller's request may cost an entry. */
export interface CallerLimits {
    readonly maxHeadBytes: number | undefined;
    readonly maxBodyBytes: number | undefined;
    readonly headTimeoutMs: number | undefined;
    readonly idleTimeoutMs: number | undefined;
}

/** A complete configuration of routes at one version. */
export interface RouteTable {
    /** Chosen by the operator; rises in uneven steps. 0 means that nothing was configured. */
    readonly version: number;
    readonly limits: CallerLimits;
    readonly hosts: readonly HostRoutes[];
    readonly services: readonly RoutedService[];
}

export const emptyRouteTable: RouteTable = {
    version: 0,
    limits: { maxHeadBytes: undefined, maxBodyBytes: undefined, headTimeoutMs: undefined, idleTimeoutMs: undefined },
    hosts: [],
    services: [],
};

/** Named items to add, replace or remove. */
export interface RouteUpdate {
    readonly version: number;
    readonly limits: CallerLimits | undefined;
    readonly hosts: readonly HostRoutes[];
    readonly services: readonly RoutedService[];
    readonly removedRoutes: readonly string[];
    readonly removedServices: readonly string[];
}

/** Whether an instance takes new requests. */
export const RegistrationState = { ready: "ready", draining: "draining" } as const;

export type RegistrationState = typeof RegistrationState[keyof typeof RegistrationState];

/** What an instance says of itself. */
export interface Registration {
    readonly id: UpstreamId;
    /** Unix time of its start in milliseconds; tells two lives under one id apart. 0 when it is not stated. */
    readonly bornAtMs: number;
    readonly service: ServiceName;
    /** `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
    /** Requests that it runs at the same time. */
    readonly slots: number;
    readonly state: RegistrationState;
    /** Rises with each message of one life. */
    readonly sequence: number;
    /** How much longer it is slow after its start. */
    readonly warmupMs: number;
}

/** A control VM, as entries and upstreams reach it. */
export interface ControlNode {
    /** For other processes of the system, `host:port`. */
    readonly peerAddress: string;
    /** For upstreams and operators, `host:port`. */
    readonly operatorAddress: string;
    readonly availabilityZone: string;
}
