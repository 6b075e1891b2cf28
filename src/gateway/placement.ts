import type { UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { RegistrationState } from "../directory/model.js";
import type { UpstreamRow } from "./upstreamBoard.js";

/** Part of the slots of an upstream that is used while requests can wait; the last slot slows down all others. */
const comfortableShare = 0.66;
/** How much longer work takes on an upstream whose slots are nearly all taken. Source: `docs/measurements.md`. */
const crowdedFactor = 1.7;
const crowdedAbove = 0.8;
/** How much longer work takes on an upstream that has just started. */
const warmupFactor = 2;
/** An upstream that was never used goes before others that are as fast, so that a new one does not stay idle. */
const firstUseFactor = 0.4;
const firstUseMaxSlowdown = 1.6;
/** Weight of failures in the order of choice: an upstream that fails a third of its requests ranks as twice as slow. */
const failureFactor = 3;

/**
 * An upstream that can take a request now, with the expected duration as a multiple of the usual one. Failures do not
 * count as duration: when all upstreams refuse alike, waiting brings nothing.
 */
export interface Placement {
    readonly row: UpstreamRow;
    readonly cost: number;
}

/** Returns how many requests an upstream runs, with those that were sent since its load was asked for. */
export function countBusy(row: UpstreamRow): number {
    if (row.load === undefined) {
        return row.openSentAtMs.size;
    }
    let sentSince = 0;
    for (const sentAtMs of row.openSentAtMs) {
        sentSince += sentAtMs >= row.loadAskedAtMs ? 1 : 0;
    }
    return row.load.running + row.load.waiting + sentSince;
}

/**
 * Returns the upstream at which a request is expected to end soonest, or undefined when none has room. With
 * `canCrowd`, the last slots are used too.
 */
export function choosePlacement(
    rows: readonly UpstreamRow[],
    canCrowd: boolean,
    random: RandomSource,
    nowMs: number,
): Placement | undefined {
    let best: Placement | undefined;
    let bestRank = Infinity;
    let tieBreak = 0;
    for (const row of rows) {
        const slots = Math.max(1, row.load?.slots ?? row.registration.slots);
        const busy = countBusy(row);
        if (busy >= (canCrowd ? slots : Math.ceil(slots * comfortableShare))) {
            continue;
        }
        const cost = estimateCost(row, busy, slots, nowMs);
        const draw = random.nextUnit();
        const isFirstUse = !row.isUsed && (row.load?.slowdown ?? 1) <= firstUseMaxSlowdown;
        const rank = cost * (isFirstUse ? firstUseFactor : 1) * (1 + failureFactor * row.failureShare);
        if (rank < bestRank || (rank === bestRank && draw > tieBreak)) {
            best = { row, cost };
            bestRank = rank;
            tieBreak = draw;
        }
    }
    return best;
}

/** What an entry knew of an upstream when it decided, for the log. */
export interface SeenLoad {
    readonly upstream: UpstreamId;
    readonly busy: number;
    readonly slots: number;
    readonly slowdown: number | undefined;
    /** Age of the load figure; undefined when there is none. */
    readonly ageMs: number | undefined;
    readonly isEjected: boolean;
    readonly isDraining: boolean;
}

/** Describes an upstream as the choice sees it. */
export function describeLoad(row: UpstreamRow, nowMs: number): SeenLoad {
    const { load, loadAskedAtMs, registration } = row;
    return {
        upstream: registration.id,
        busy: countBusy(row),
        slots: load?.slots ?? registration.slots,
        slowdown: load?.slowdown,
        ageMs: load === undefined ? undefined : Math.round(nowMs - loadAskedAtMs),
        isEjected: row.ejectedUntilMs > nowMs,
        isDraining: registration.state === RegistrationState.draining,
    };
}

/** A request that waits for an upstream, as far as the choice is concerned. */
export interface WaitingRequest {
    /** 0 goes first. */
    readonly priority: number;
    /** Moment until which an answer is worth most to the caller. */
    readonly targetAtMs: number;
    /** Until when the request looks only for room where it would be in time. */
    readonly inTimeUntilMs: number;
    /** Moment at which the request is refused. */
    readonly untilMs: number;
    /** How long such a request usually takes at a cost of 1. */
    readonly usualMs: number;
}

/**
 * Returns the requests in the order in which they get room: those that can be in time before those that are late, then
 * the more urgent ones, then by the end of their wait.
 */
export function sortWaiting<Waiting extends WaitingRequest>(
    waiting: readonly Waiting[],
    nowMs: number,
): readonly Waiting[] {
    const isLate = (request: WaitingRequest) => nowMs >= request.inTimeUntilMs ? 1 : 0;
    return [...waiting].sort((first, second) =>
        isLate(first) - isLate(second) || first.priority - second.priority || first.untilMs - second.untilMs
    );
}

/**
 * Chooses among upstreams whose load was just asked for. While a request can be in time, it does not go where it would
 * be late: the load changes within moments, and the slot serves another request in time. A late request takes only
 * upstreams without work; otherwise late requests fill the slots, and those that could be in time are late too.
 */
export function placeWaiting(
    request: WaitingRequest,
    rows: readonly UpstreamRow[],
    random: RandomSource,
    nowMs: number,
): Placement | undefined {
    const inTimeCost = (request.targetAtMs - nowMs) / request.usualMs;
    const roomy = choosePlacement(rows, false, random, nowMs);
    if (roomy !== undefined && roomy.cost <= inTimeCost) {
        return roomy;
    }
    if (nowMs < request.inTimeUntilMs) {
        return undefined;
    }
    const crowded = choosePlacement(rows, true, random, nowMs);
    if (crowded !== undefined && crowded.cost <= inTimeCost) {
        return crowded;
    }
    return choosePlacement(rows.filter(row => countBusy(row) === 0), true, random, nowMs);
}

/**
 * Returns upstreams in the order in which they are asked: those without any request so far, which would stay idle
 * otherwise, then those that need no new connection, in random order else.
 */
export function orderForAsking(
    rows: readonly UpstreamRow[],
    isConnected: (row: UpstreamRow) => boolean,
    random: RandomSource,
): readonly UpstreamRow[] {
    const rank = (row: UpstreamRow) => (!row.isUsed ? 0 : isConnected(row) ? 1 : 2) + random.nextUnit();
    return rows.map(row => ({ row, rank: rank(row) }))
        .sort((first, second) => first.rank - second.rank)
        .map(({ row }) => row);
}

/** A machine that is slow, or busy, mostly stays so for this long; its upstream is not asked again sooner. */
const loadStaysMs = 75;

/**
 * Returns whether a new load figure of an upstream can help one of the requests. Questions are limited, so an upstream
 * that was too slow for all of them a moment ago is left out; one whose slots are taken can get a free one any moment.
 */
export function isWorthAsking(row: UpstreamRow, waiting: Iterable<WaitingRequest>, nowMs: number): boolean {
    if (row.load === undefined || nowMs - row.loadAskedAtMs >= loadStaysMs) {
        return true;
    }
    const cost = estimateCost(row, 0, Math.max(1, row.load.slots), nowMs);
    for (const request of waiting) {
        const isLate = nowMs >= request.inTimeUntilMs;
        const isInTime = cost * request.usualMs <= request.targetAtMs - nowMs;
        if (isInTime || (isLate && countBusy(row) === 0)) {
            return true;
        }
    }
    return false;
}

/**
 * Returns whether a request that arrives now is refused at once, since the requests before it take all room until its
 * wait ends. `placedPerSecond` is how many requests found room lately.
 */
export function isHopeless(waitingBefore: number, placedPerSecond: number, patienceMs: number): boolean {
    // Room comes in bursts, and requests before this one can leave, so twice the expected number may wait.
    const msPerSecond = 1000;
    const expected = 2 * placedPerSecond * patienceMs / msPerSecond;
    return waitingBefore > Math.max(minWaiting, expected);
}

/** As many requests wait whatever the rate is, since it is not known before the first ones are placed. */
const minWaiting = 4;

function estimateCost(row: UpstreamRow, busy: number, slots: number, nowMs: number): number {
    const isCrowded = slots > 1 && (busy + 1) / slots > crowdedAbove;
    const isWarming = row.warmUntilMs > nowMs;
    return (row.load?.slowdown ?? 1) * (isCrowded ? crowdedFactor : 1) * (isWarming ? warmupFactor : 1);
}
