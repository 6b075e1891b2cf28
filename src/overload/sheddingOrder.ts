import { computeLossPerMs, isTooLate, type ValuedRequest } from "./requestWorth.js";
import { ServedShares } from "./servedShares.js";

/**
 * A kind is preferred while its served share is below this part of the mean. Twice the quarter that callers are
 * promised, since an entry counts only tens of requests and reacts after the fact.
 */
const preferredBelowMean = 0.5;
/** Prefixes that keep kinds and organisations apart in the counts. */
const kindPrefix = "kind ";
const organisationPrefix = "organisation ";

/** A request that waits for capacity. */
export interface PendingRequest extends ValuedRequest {
    /** Requests of a kind have the same route and priority. */
    readonly kind: string;
    /** Undefined where no organisations are configured. */
    readonly organisation?: string | undefined;
    /** When the request is rejected if it is not placed. */
    readonly waitUntilMs: number;
}

/** Requests that wait whatever the expected capacity, so that capacity that becomes free finds one. */
const minWaiting = 1;
/**
 * Time after a request was not placed for which capacity counts as insufficient. Callers of the platform that are
 * rejected return within a second, and an entry gets a few requests each second.
 */
const shortageMs = 2000;

/**
 * Order in which the requests of a service are placed when capacity is insufficient, and the choice of those that are
 * rejected: the rejection of the last one loses the least worth for the instance time that it frees. A kind or
 * organisation that was served much less than the mean precedes the others, and a kind never precedes a more urgent
 * one that was served less often than it.
 */
export class SheddingOrder {
    private readonly shares = new ServedShares();
    private shortUntilMs = -Infinity;

    /** Records that a request was placed, or rejected for lack of capacity. */
    record(request: PendingRequest, isServed: boolean, nowMs: number): void {
        this.shares.record(listGroups(request), isServed, nowMs);
        if (!isServed) {
            this.shortUntilMs = nowMs + shortageMs;
        }
    }

    /** Returns whether a request was not placed recently; otherwise neither order nor rejections apply. */
    isShort(nowMs: number): boolean {
        return nowMs < this.shortUntilMs;
    }

    /** Returns the requests in the order in which they are placed. */
    sort<Request extends PendingRequest>(pending: readonly Request[], nowMs: number): readonly Request[] {
        const ranks = this.rank(pending, nowMs);
        const rankOf = (request: Request) => ranks.get(request) ?? 0;
        return [...pending].sort((first, second) =>
            rankOf(second) - rankOf(first) || first.priority - second.priority ||
            first.waitUntilMs - second.waitUntilMs
        );
    }

    /** Returns whether a request that would be late is rejected while capacity is insufficient. */
    isDispensable(request: PendingRequest, nowMs: number): boolean {
        return isDispensable(request, this.listPreferred(), nowMs);
    }

    /**
     * Selects the requests that are rejected now, while capacity is insufficient: those that would be late, which take
     * instance time that requests in time need here or at another entry, and those that the expected capacity does not
     * reach before they stop waiting. Late requests of a kind that is served much less than the mean are kept, since a
     * kind whose work exceeds its target latency would otherwise starve. `capacityPerMs` is the instance time in ms that becomes available each ms.
     */
    selectRejected<Request extends PendingRequest>(
        pending: readonly Request[],
        capacityPerMs: number,
        nowMs: number,
    ): readonly Request[] {
        const preferredGroups = this.listPreferred();
        const rejected: Request[] = [];
        let aheadCount = 0;
        let aheadWorkMs = 0;
        for (const request of this.sort(pending, nowMs)) {
            const expectedMs = capacityPerMs * Math.max(0, request.waitUntilMs - nowMs);
            const isReached = aheadCount < minWaiting || aheadWorkMs + request.workMs <= expectedMs;
            if (!isReached || isDispensable(request, preferredGroups, nowMs)) {
                rejected.push(request);
            }
            else {
                aheadCount++;
                aheadWorkMs += request.workMs;
            }
        }
        return rejected;
    }

    /** Ranks by worth lost for each ms, raised where fairness requires it; the highest rank is placed first. */
    private rank<Request extends PendingRequest>(pending: readonly Request[], nowMs: number): Map<Request, number> {
        this.shares.settle(nowMs);
        const maxLoss = Math.max(0, ...pending.map(request => computeLossPerMs(request, nowMs)));
        const preferredGroups = this.listPreferred();
        const ranks = new Map<Request, number>();
        const maxRankByKind = new Map<string, { readonly priority: number; readonly rank: number; }>();
        for (const request of [...pending].sort((first, second) => second.priority - first.priority)) {
            let rank = computeLossPerMs(request, nowMs) + (isInGroup(request, preferredGroups) ? maxLoss : 0);
            if (!isTooLate(request, nowMs)) {
                for (const [kind, highest] of maxRankByKind) {
                    if (highest.priority > request.priority && this.isServedLess(request.kind, kind)) {
                        rank = Math.max(rank, highest.rank);
                    }
                }
            }
            ranks.set(request, rank);
            if (rank > (maxRankByKind.get(request.kind)?.rank ?? -Infinity)) {
                maxRankByKind.set(request.kind, { priority: request.priority, rank });
            }
        }
        return ranks;
    }

    private isServedLess(kind: string, lessUrgentKind: string): boolean {
        return (this.shares.get(kindPrefix + kind) ?? 0) <= (this.shares.get(kindPrefix + lessUrgentKind) ?? 1);
    }

    private listPreferred(): ReadonlySet<string> {
        return new Set([kindPrefix, organisationPrefix].flatMap(prefix => {
            const names = this.shares.list(prefix);
            const mean = this.shares.getMean(names);
            return names.filter(name => (this.shares.get(name) ?? mean) < preferredBelowMean * mean);
        }));
    }
}

function isDispensable(request: PendingRequest, preferredGroups: ReadonlySet<string>, nowMs: number): boolean {
    return isTooLate(request, nowMs) && !isInGroup(request, preferredGroups);
}

function isInGroup(request: PendingRequest, groups: ReadonlySet<string>): boolean {
    return listGroups(request).some(group => groups.has(group));
}

function listGroups({ kind, organisation }: PendingRequest): readonly string[] {
    return organisation === undefined
        ? [kindPrefix + kind]
        : [kindPrefix + kind, organisationPrefix + organisation];
}
