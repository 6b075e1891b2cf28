import type { UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { RegistrationState } from "../directory/model.js";
import { getMaxOutstanding } from "../overload/concurrencyLimit.js";
import type { UpstreamState } from "./upstreamStateTable.js";

/**
 * Share of an upstream's slots that is used while requests can wait, since using the last slots slows all others.
 * Rounded up to whole slots, so that an upstream with one or two slots uses all of them.
 */
const softLimitShare = 0.66;
/** Slowdown of an upstream with more than `saturatedSlotShare` of its slots in use. Source: `docs/measurements.md`. */
const saturatedFactor = 1.7;
const saturatedSlotShare = 0.8;
/** Slowdown of an upstream during its warmup. */
const warmupFactor = 2;
/**
 * Rank factor of an upstream that this entry has not used yet, so that it does not stay idle. It applies up to
 * `firstUseMaxSlowdown`: an upstream on a slower machine is not preferred.
 */
const firstUseFactor = 0.4;
const firstUseMaxSlowdown = 1.6;
/** Weight of the failure share in the rank: failing a third of its requests doubles the rank of an upstream. */
const failureFactor = 3;

/**
 * An upstream that can take a request now. `cost` is the expected duration relative to an upstream of normal speed that
 * is neither saturated nor warming up; failures are not included, since waiting does not help when all upstreams refuse
 * equally.
 */
export interface Placement {
    readonly upstreamState: UpstreamState;
    readonly cost: number;
}

/**
 * Estimates the number of requests at an upstream: the load that it last reported plus the open requests sent since by
 * this entry. Without a reported load, only this entry's open requests count.
 */
export function estimateOutstanding(upstreamState: UpstreamState): number {
    if (upstreamState.load === undefined) {
        return upstreamState.openSentAtMs.size;
    }
    let sentSinceProbe = 0;
    for (const sentAtMs of upstreamState.openSentAtMs) {
        sentSinceProbe += sentAtMs >= upstreamState.loadAskedAtMs ? 1 : 0;
    }
    return upstreamState.load.running + upstreamState.load.waiting + sentSinceProbe;
}

/** Returns the slots of an upstream, as last reported. */
export function getSlots({ load, registration }: UpstreamState): number {
    return Math.max(1, load?.slots ?? registration.slots);
}

/**
 * Returns the upstream with the lowest rank: its cost, adjusted for first use and failures. Undefined when none has a
 * free slot below the soft limit or, with `canExceedSoftLimit`, any free slot.
 */
export function choosePlacement(
    candidates: readonly UpstreamState[],
    canExceedSoftLimit: boolean,
    random: RandomSource,
    nowMs: number,
): Placement | undefined {
    let bestPlacement: Placement | undefined;
    let bestRank = Infinity;
    let bestDraw = 0;
    for (const upstreamState of candidates) {
        const slots = getSlots(upstreamState);
        const outstanding = estimateOutstanding(upstreamState);
        const { concurrencyLimit } = upstreamState;
        const isAtLearnedLimit = concurrencyLimit !== undefined &&
            outstanding >= getMaxOutstanding(concurrencyLimit, slots, nowMs);
        if (isAtLearnedLimit || outstanding >= (canExceedSoftLimit ? slots : Math.ceil(slots * softLimitShare))) {
            continue;
        }
        const cost = estimateCost(upstreamState, outstanding, slots, nowMs);
        const randomDraw = random.nextUnit();
        const isFirstUse = !upstreamState.isUsed && (upstreamState.load?.slowdown ?? 1) <= firstUseMaxSlowdown;
        const rank = cost * (isFirstUse ? firstUseFactor : 1) * (1 + failureFactor * upstreamState.failureShare);
        if (rank < bestRank || (rank === bestRank && randomDraw > bestDraw)) {
            bestPlacement = { upstreamState, cost };
            bestRank = rank;
            bestDraw = randomDraw;
        }
    }
    return bestPlacement;
}

/** Summary of an upstream's state that explains placement decisions in the log. */
export interface UpstreamSnapshot {
    readonly upstream: UpstreamId;
    readonly busy: number;
    readonly slots: number;
    readonly slowdown: number | undefined;
    /** Age of the last reported load; undefined when there is none. */
    readonly ageMs: number | undefined;
    readonly isEjected: boolean;
    readonly isDraining: boolean;
}

/** Returns the main values on which the placement at an upstream is based. */
export function describeUpstream(upstreamState: UpstreamState, nowMs: number): UpstreamSnapshot {
    const { load, loadAskedAtMs, registration } = upstreamState;
    return {
        upstream: registration.id,
        busy: estimateOutstanding(upstreamState),
        slots: load?.slots ?? registration.slots,
        slowdown: load?.slowdown,
        ageMs: load === undefined ? undefined : Math.round(nowMs - loadAskedAtMs),
        isEjected: upstreamState.ejectedUntilMs > nowMs,
        isDraining: registration.state === RegistrationState.draining,
    };
}

/** The properties of a waiting request that placement depends on. */
export interface WaitingRequest {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** When the target latency of the request passes. */
    readonly targetAtMs: number;
    /** Until when the request accepts only placements that meet its target latency. */
    readonly onTimeOnlyUntilMs: number;
    /** When the request is refused if it is not placed. */
    readonly waitUntilMs: number;
    /** Expected duration at a cost of 1. */
    readonly baselineMs: number;
    /** Requests of a kind have the same route and priority; undefined where requests are not told apart. */
    readonly kind?: string | undefined;
    /** Organisation of the caller; undefined where none are configured. */
    readonly organisation?: string | undefined;
    /** Whether the caller was probably rejected before. */
    readonly wasRejected?: boolean | undefined;
}

/**
 * Returns the requests in the order in which they are placed: those that accept only on-time placements before the
 * others, then by priority, then by the end of their wait.
 */
export function sortWaiting<Waiting extends WaitingRequest>(
    waiting: readonly Waiting[],
    nowMs: number,
): readonly Waiting[] {
    const placementPhase = (request: WaitingRequest) => nowMs >= request.onTimeOnlyUntilMs ? 1 : 0;
    return [...waiting].sort((first, second) =>
        placementPhase(first) - placementPhase(second) || first.priority - second.priority ||
        first.waitUntilMs - second.waitUntilMs
    );
}

/**
 * Chooses among upstreams that were just probed or have just completed a request. Until `onTimeOnlyUntilMs`, the
 * request is placed only where it is on time below the soft limit: the load may change soon, and the slot can serve
 * another request on time. After that, it may exceed the soft limit to be on time. A request that would be late on all
 * of them gets only an idle upstream; otherwise late requests would fill the slots and make all others late too.
 */
export function placeRequest(
    request: WaitingRequest,
    candidates: readonly UpstreamState[],
    random: RandomSource,
    nowMs: number,
): Placement | undefined {
    const maxOnTimeCost = (request.targetAtMs - nowMs) / request.baselineMs;
    const belowSoftLimit = choosePlacement(candidates, false, random, nowMs);
    if (belowSoftLimit !== undefined && belowSoftLimit.cost <= maxOnTimeCost) {
        return belowSoftLimit;
    }
    if (nowMs < request.onTimeOnlyUntilMs) {
        return undefined;
    }
    const withAnyFreeSlot = choosePlacement(candidates, true, random, nowMs);
    if (withAnyFreeSlot !== undefined && withAnyFreeSlot.cost <= maxOnTimeCost) {
        return withAnyFreeSlot;
    }
    return choosePlacement(
        candidates.filter(upstreamState => estimateOutstanding(upstreamState) === 0),
        true,
        random,
        nowMs,
    );
}

/**
 * Returns upstreams in the order in which they are probed: unused ones first, which would otherwise stay idle, then
 * those that need no new connection, then the others; in random order within each group.
 */
export function orderForProbing(
    candidates: readonly UpstreamState[],
    isConnected: (upstreamState: UpstreamState) => boolean,
    random: RandomSource,
): readonly UpstreamState[] {
    const rank = (upstreamState: UpstreamState) =>
        (!upstreamState.isUsed ? 0 : isConnected(upstreamState) ? 1 : 2) + random.nextUnit();
    return candidates.map(upstreamState => ({ upstreamState, rank: rank(upstreamState) }))
        .sort((first, second) => first.rank - second.rank)
        .map(({ upstreamState }) => upstreamState);
}

/** An upstream that was too slow is not probed again sooner; a slow machine usually stays slow for this long. */
const loadTtlMs = 75;

/**
 * Returns whether a new probe of an upstream can help one of the requests. Probes are limited, so an upstream that was
 * recently too slow for all of them is skipped. One that was only full is probed again, since a slot may become free at
 * any time.
 */
export function isWorthProbing(
    upstreamState: UpstreamState,
    waiting: Iterable<WaitingRequest>,
    nowMs: number,
): boolean {
    if (upstreamState.load === undefined || nowMs - upstreamState.loadAskedAtMs >= loadTtlMs) {
        return true;
    }
    const cost = estimateCost(upstreamState, 0, Math.max(1, upstreamState.load.slots), nowMs);
    for (const request of waiting) {
        const isLateAccepted = nowMs >= request.onTimeOnlyUntilMs;
        const isOnTime = cost * request.baselineMs <= request.targetAtMs - nowMs;
        if (isOnTime || (isLateAccepted && estimateOutstanding(upstreamState) === 0)) {
            return true;
        }
    }
    return false;
}

/**
 * Returns whether a new request is refused immediately, because the requests ahead of it are expected to use all
 * capacity until its wait ends. `placedPerSecond` is the recent rate of placements.
 */
export function isQueueTooLong(requestsAhead: number, placedPerSecond: number, maxWaitMs: number): boolean {
    // Capacity becomes free in bursts and requests ahead may leave, so twice as many as can be placed may wait.
    const msPerSecond = 1000;
    const maxRequestsAhead = 2 * placedPerSecond * maxWaitMs / msPerSecond;
    return requestsAhead > Math.max(minQueueLimit, maxRequestsAhead);
}

/** Queue length that is always allowed, since the rate is unknown until the first requests are placed. */
const minQueueLimit = 4;

function estimateCost(upstreamState: UpstreamState, outstanding: number, slots: number, nowMs: number): number {
    const isSaturated = slots > 1 && (outstanding + 1) / slots > saturatedSlotShare;
    const isWarming = upstreamState.warmUntilMs > nowMs;
    return (upstreamState.load?.slowdown ?? 1) * (isSaturated ? saturatedFactor : 1) * (isWarming ? warmupFactor : 1);
}
