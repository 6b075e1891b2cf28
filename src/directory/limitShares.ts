import type { EntryId, UpstreamId } from "../core/ids.js";
import { LimitDemand, type ZoneDemand } from "./limitDemand.js";
import { type LimitKind, namedLimitKind } from "./limitKinds.js";
import type { Registration } from "./model.js";
import type { EntryDemand, LimitReport } from "./rateLimits.js";

/**
 * Time for which a share may be used without renewal, and for which a new leader waits. Longer than an election usually
 * takes, so that the shares of the previous leader outlast it.
 */
export const shareTtlMs = 4000;
/** Time for which a withdrawn limit is kept, so that all entries learn of it. */
const withdrawnRetentionMs = 10_000;
/**
 * A holder gives way to entries that have no other instance after this time and after this number of requests at its
 * share's rate. The share is idle for `shareTtlMs` then, so terms are long compared with that.
 */
const minTermMs = 30_000;
const minTermRequests = 30;
const msPerSecond = 1000;
const roundingTolerance = 1e-9;
/** Time after the last grant of an earlier limit until the holders of a new one may start with permits. */
const startDelayMs = 1000;
const noIds: ReadonlySet<UpstreamId> = new Set();

interface Grant {
    readonly share: number;
    expiresAtMs: number;
}

/** What the leader granted to one entry of one limit. */
interface Holding {
    /** Grants that the entry may still use, the newest last. */
    grants: Grant[];
    sinceMs: number;
    /** Permits with which the entry starts. */
    start: number;
}

interface LimitState {
    readonly id: UpstreamId;
    readonly bornAtMs: number;
    perSecond: number | undefined;
    observedAtMs: number;
    readonly holdings: Map<EntryId, Holding>;
    /** When entries without a holding had their last one. */
    readonly releasedAtMs: Map<EntryId, number>;
    /** Shares in force, by entry. */
    shares: ReadonlyMap<EntryId, number>;
    /** Starts of the holders that have one, by entry. */
    starts: ReadonlyMap<EntryId, ShareStart>;
    /** Part of the limit that was never granted; only its holders start with permits. */
    unusedShare: number;
}

/** Permits with which the holder of a share starts. */
export interface ShareStart {
    readonly permits: number;
    /** When the entry became a holder; identifies the holding. */
    readonly grantedAtMs: number;
}

/** A limit with the shares in force. */
export type SharedLimit = Readonly<
    Pick<LimitState, "id" | "bornAtMs" | "perSecond" | "observedAtMs" | "shares"> & Partial<Pick<LimitState, "starts">>
>;

/** Inputs of an allocation. */
export interface AllocationInput {
    readonly nowMs: number;
    /** End of the time in which the new and renewed shares may be used. */
    readonly expiresAtMs: number;
    readonly entries: readonly EntryDemand[];
    readonly registrations: readonly Registration[];
    /** Instances with a limit of another kind. */
    readonly otherLimitedIds?: ReadonlySet<UpstreamId>;
    /** Instances that were not registered before this VM led. */
    readonly newIds?: ReadonlySet<UpstreamId>;
}

/**
 * Divides the rate limits of instances among entries, at the leader. A share is a fraction of a limit that an entry
 * holds until it expires. A share that shrinks or ends stays reserved until its last grant has expired, so the usable
 * shares of a limit never add up to more than 1, whatever messages are lost.
 */
export class LimitShares {
    private readonly limits = new Map<UpstreamId, LimitState>();
    private allocatesFromMs = Infinity;

    constructor(private readonly kind: LimitKind = namedLimitKind) {}

    /** Starts with the limits that this VM knows when it becomes the leader; shares of the previous one expire first. */
    startLeading(known: readonly LimitReport[], nowMs: number): void {
        this.limits.clear();
        known.forEach(report => this.observe(report, nowMs));
        this.allocatesFromMs = nowMs + shareTtlMs;
    }

    /** Returns whether the shares of a previous leader have expired. */
    canAllocate(nowMs: number): boolean {
        return nowMs >= this.allocatesFromMs;
    }

    get size(): number {
        return this.limits.size;
    }

    /** Records what an entry saw; returns whether a limit begins or ends. */
    observe({ id, bornAtMs, perSecond, ageMs }: LimitReport, nowMs: number): boolean {
        const observedAtMs = nowMs - ageMs;
        const known = this.limits.get(id);
        if (known !== undefined && (bornAtMs < known.bornAtMs || observedAtMs <= known.observedAtMs)) {
            return false;
        }
        if (known === undefined || bornAtMs !== known.bornAtMs) {
            this.limits.set(id, {
                id,
                bornAtMs,
                perSecond,
                observedAtMs,
                holdings: new Map(),
                releasedAtMs: new Map(),
                shares: new Map(),
                starts: new Map(),
                unusedShare: 1,
            });
            return true;
        }
        if (
            known.perSecond === undefined && perSecond !== undefined && findLastExpiryMs(known) < nowMs - startDelayMs
        ) {
            known.unusedShare = 1;
        }
        const isNews = (known.perSecond === undefined) !== (perSecond === undefined);
        known.perSecond = perSecond;
        known.observedAtMs = observedAtMs;
        return isNews;
    }

    /** Renews, ends and grants shares; returns all limits with the shares in force. */
    allocate(input: AllocationInput): readonly SharedLimit[] {
        const { nowMs, registrations } = input;
        this.removeEnded(registrations, nowMs);
        const active = [...this.limits.values()].filter(limit => limit.perSecond !== undefined);
        const registrationsById = new Map(registrations.map(registered => [registered.id, registered]));
        const demand = new LimitDemand(
            input,
            new Set([...active.map(limit => limit.id), ...input.otherLimitedIds ?? noIds]),
        );
        const holdingCounts = countHoldings(active, nowMs);
        for (const limit of active) {
            const registration = registrationsById.get(limit.id);
            if (registration !== undefined) {
                this.divide(limit, demand.find(registration), holdingCounts, input);
            }
        }
        return [...this.limits.values()].map(({ id, bornAtMs, perSecond, observedAtMs, shares, starts }) => ({
            id,
            bornAtMs,
            perSecond,
            observedAtMs,
            shares,
            starts,
        }));
    }

    private removeEnded(registrations: readonly Registration[], nowMs: number): void {
        const bornAtMsById = new Map(registrations.map(({ id, bornAtMs }) => [id, bornAtMs]));
        for (const limit of this.limits.values()) {
            const isForgotten = limit.perSecond === undefined && nowMs - limit.observedAtMs > withdrawnRetentionMs;
            if (isForgotten || bornAtMsById.get(limit.id) !== limit.bornAtMs) {
                this.limits.delete(limit.id);
            }
        }
    }

    /** Divides one limit into equal shares, as far as they are not reserved by grants that have not expired. */
    private divide(
        limit: LimitState,
        { wanting, isRotating }: ZoneDemand,
        holdingCounts: Map<EntryId, number>,
        { nowMs, expiresAtMs, newIds = noIds }: AllocationInput,
    ): void {
        const { kind } = this;
        const { holdings } = limit;
        removeExpired(limit, nowMs);
        const limitPerSecond = limit.perSecond ?? 0;
        const holderCount = Math.min(kind.maxHolders(limitPerSecond), wanting.length);
        const target = 1 / Math.max(1, holderCount);
        const minShare = 1 / kind.maxHolders(limitPerSecond);
        const requestIntervalMs = msPerSecond / (target * kind.usableRatePerSecond(limitPerSecond));
        const termMs = isRotating ? Math.max(minTermMs, minTermRequests * requestIntervalMs) : Infinity;
        const shares = new Map<EntryId, number>();
        let free = 1 - sumReserved(holdings);
        for (const id of chooseHolders(limit, wanting, holderCount, termMs, holdingCounts, nowMs)) {
            const holding = holdings.get(id) ?? { grants: [], sinceMs: nowMs, start: 0 };
            const reserved = findReserved(holding);
            const share = Math.min(target, reserved + Math.max(0, free));
            if (share < minShare - roundingTolerance) {
                // Too small for a whole request; it waits until more of the limit is free.
                continue;
            }
            const added = Math.max(0, share - reserved);
            free -= added;
            if (!holdings.has(id)) {
                holding.start = added <= limit.unusedShare + roundingTolerance
                    ? kind.findStart(shares.size, holderCount, newIds.has(limit.id))
                    : 0;
                holdings.set(id, holding);
                holdingCounts.set(id, (holdingCounts.get(id) ?? 0) + 1);
            }
            limit.unusedShare = Math.max(0, limit.unusedShare - added);
            addGrant(holding, share, expiresAtMs);
            shares.set(id, share);
        }
        limit.shares = shares;
        limit.starts = findStarts(holdings, shares);
    }
}

function findStarts(
    holdings: ReadonlyMap<EntryId, Holding>,
    shares: ReadonlyMap<EntryId, number>,
): ReadonlyMap<EntryId, ShareStart> {
    return new Map(
        [...holdings].flatMap(([id, { start, sinceMs }]) =>
            start > 0 && shares.has(id) ? [[id, { permits: start, grantedAtMs: sinceMs }] as const] : []
        ),
    );
}

function findLastExpiryMs({ holdings }: LimitState): number {
    return Math.max(
        -Infinity,
        ...[...holdings.values()].flatMap(({ grants }) => grants.map(grant => grant.expiresAtMs)),
    );
}

function removeExpired({ holdings, releasedAtMs }: LimitState, nowMs: number): void {
    for (const [id, holding] of holdings) {
        holding.grants = holding.grants.filter(grant => grant.expiresAtMs > nowMs);
        if (holding.grants.length === 0) {
            holdings.delete(id);
            releasedAtMs.set(id, nowMs);
        }
    }
}

function addGrant({ grants }: Holding, share: number, expiresAtMs: number): void {
    const last = grants.at(-1);
    if (last?.share === share) {
        last.expiresAtMs = expiresAtMs;
    }
    else {
        grants.push({ share, expiresAtMs });
    }
}

function countHoldings(limits: readonly LimitState[], nowMs: number): Map<EntryId, number> {
    const counts = new Map<EntryId, number>();
    for (const { holdings } of limits) {
        for (const [id, { grants }] of holdings) {
            counts.set(id, (counts.get(id) ?? 0) + (grants.some(grant => grant.expiresAtMs > nowMs) ? 1 : 0));
        }
    }
    return counts;
}

function findReserved({ grants }: Holding): number {
    return grants.reduce((max, grant) => Math.max(max, grant.share), 0);
}

function sumReserved(holdings: ReadonlyMap<EntryId, Holding>): number {
    return [...holdings.values()].reduce((sum, holding) => sum + findReserved(holding), 0);
}

/**
 * Chooses the entries that hold a limit: present holders within their term, then the entries with the fewest holdings,
 * and among those the ones that have waited longest.
 */
function chooseHolders(
    { holdings, releasedAtMs }: LimitState,
    wanting: readonly EntryId[],
    count: number,
    termMs: number,
    holdingCounts: ReadonlyMap<EntryId, number>,
    nowMs: number,
): readonly EntryId[] {
    const findSinceMs = (id: EntryId) => holdings.get(id)?.sinceMs ?? -Infinity;
    const isInTerm = (id: EntryId) => nowMs - findSinceMs(id) < termMs && holdings.has(id);
    const present = wanting.filter(isInTerm);
    if (present.length >= count) {
        return present.sort((first, second) => findSinceMs(first) - findSinceMs(second)).slice(0, count);
    }
    const candidates = wanting.filter(id => !isInTerm(id)).map(id => ({
        id,
        otherHoldings: (holdingCounts.get(id) ?? 0) - (holdings.has(id) ? 1 : 0),
        releasedAtMs: holdings.has(id) ? Infinity : releasedAtMs.get(id) ?? -Infinity,
    }));
    candidates.sort((first, second) =>
        first.otherHoldings - second.otherHoldings ||
        (first.releasedAtMs < second.releasedAtMs ? -1 : first.releasedAtMs > second.releasedAtMs ? 1 : 0)
    );
    return [...present, ...candidates.slice(0, count - present.length).map(({ id }) => id)];
}
