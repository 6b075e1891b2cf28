import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamId } from "../core/ids.js";
import type { ResponseHead } from "../requests/model.js";

/** Load of an instance at the moment of its answer. */
export interface InstanceLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on the instance's machine at the moment; 1 is usual. Undefined when it is not told. */
    readonly slowdown: number | undefined;
}

/** Headers by which an entry, its callers and its upstreams understand each other. */
export abstract class Dialect {
    /** Header fields of callers that the entry replaces, in lower case. */
    abstract readonly replacedHeaders: ReadonlySet<string>;
    /** Returns how long the caller waits; undefined when it does not say, NaN when it cannot be read. */
    abstract readDeadlineMs(headers: IncomingHttpHeaders): number | undefined;
    /** Returns the id of the caller's request. */
    abstract readRequestId(headers: IncomingHttpHeaders): string | undefined;
    /** Returns the fields that the entry adds, as a flat list of names and values. */
    abstract listAttemptHeaders(upstreamId: UpstreamId, remainingMs: number): readonly string[];
    /** Returns the id of the request that a response answers; undefined when it names none. */
    abstract readAnsweredId(head: ResponseHead): string | undefined;
    /** Returns whether the upstream states that it did not run the request. */
    abstract isNotRun(head: ResponseHead): boolean;
    /** Returns whether the response can be the upstream's own, unaltered one. */
    abstract isGenuine(head: ResponseHead): boolean;
    abstract readLoad(head: ResponseHead): InstanceLoad | undefined;
    /** Returns the id that an upstream states when its health is asked for. */
    abstract readUpstreamId(head: ResponseHead): UpstreamId | undefined;
}
