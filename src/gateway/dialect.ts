import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamId } from "../core/ids.js";
import type { ResponseHead } from "../requests/model.js";

/** Load of an instance at the time of its response. */
export interface InstanceLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current duration of work on the instance's machine relative to normal; undefined when not reported. */
    readonly slowdown: number | undefined;
}

/** What a response says about the rate limit of its instance. */
export type RateLimitStatement =
    | { readonly kind: "none"; }
    /** Requests a second that the instance accepts from all entries together. */
    | { readonly kind: "limit"; readonly perSecond: number; }
    | { readonly kind: "invalid"; readonly text: string; };

/** Headers that an entry exchanges with its callers and upstreams. */
export abstract class Dialect {
    /** Lower-case names of request headers that the entry replaces. */
    abstract readonly replacedHeaders: ReadonlySet<string>;
    /** Lower-case names of request headers that a caller must not set when organisations are configured. */
    abstract readonly organisationHeaders: ReadonlySet<string>;
    /** Returns the caller's deadline in ms; undefined when it is absent, NaN when it is invalid. */
    abstract readDeadlineMs(headers: IncomingHttpHeaders): number | undefined;
    /** Returns the id of the caller's request; undefined when it is absent. */
    abstract readRequestId(headers: IncomingHttpHeaders): string | undefined;
    /** Returns the keys of a request, one for each header field that carries one, from a flat list of header fields. */
    abstract readKeys(rawHeaders: readonly string[]): readonly string[];
    /** Returns the headers that tell an instance the organisation of a request, as a flat list of names and values. */
    abstract listOrganisationHeaders(organisation: string): readonly string[];
    /** Returns the headers that the entry adds to an attempt, as a flat list of names and values. */
    abstract listAttemptHeaders(upstreamId: UpstreamId, remainingMs: number): readonly string[];
    /** Returns the token with which an entry relayed the request; undefined when it is absent. */
    abstract readRelayToken(headers: IncomingHttpHeaders): string | undefined;
    /** Returns how many attempts the relaying entry leaves to this one; undefined from versions that do not state it. */
    abstract readRelayedAttempts(headers: IncomingHttpHeaders): number | undefined;
    /** Returns the headers that replace the caller's own when the entry relays its request to another entry. */
    abstract listRelayHeaders(remainingMs: number, attemptsLeft: number, token: string): readonly string[];
    /** Returns the id of the request that a response answers; undefined when it states none. */
    abstract readAnsweredRequestId(head: ResponseHead): string | undefined;
    /** Returns whether the upstream states that it did not run the request; true for status 421. */
    abstract isNotRun(head: ResponseHead): boolean;
    /** Returns whether the response can be the upstream's own, unaltered response. */
    abstract isAuthentic(head: ResponseHead): boolean;
    /** Returns the load that a response reports; undefined when it is absent or invalid. */
    abstract readLoad(head: ResponseHead): InstanceLoad | undefined;
    /** Returns the rate limit that a response names. */
    abstract readRateLimit(head: ResponseHead): RateLimitStatement;
    /** Returns whether the response announces that its instance leaves. */
    abstract isLeaving(head: ResponseHead): boolean;
    /**
     * Returns for how long an instance that rejected a message wants no further ones from this entry; undefined unless
     * the response is a 503 that states that the message did not run and names a delay.
     */
    abstract readBackOffMs(head: ResponseHead): number | undefined;
    /** Returns the rest of the warmup that an answer to a health check states; undefined when it states none. */
    abstract readWarmupMs(head: ResponseHead): number | undefined;
    /** Returns whether the request reached a process other than the upstream. */
    abstract isMisdirected(head: ResponseHead): boolean;
    /** Returns the upstream id that a health check response states. */
    abstract readUpstreamId(head: ResponseHead): UpstreamId | undefined;
}
