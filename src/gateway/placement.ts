import type { RandomSource } from "../core/random.js";
import type { UpstreamRow } from "./upstreamBoard.js";

/** Part of the slots of an upstream that is used while requests can wait; the last slot slows down all others. */
const comfortableShare = 0.66;
/** How much longer work takes on an upstream whose slots are nearly all taken. Source: `docs/measurements.md`. */
const crowdedFactor = 1.7;
const crowdedAbove = 0.8;
/** How much longer work takes on an upstream that has just started. */
const warmupFactor = 2;
/** An upstream that was never used is tried early, so that a new one does not stay idle. */
const firstUseFactor = 0.4;
/** Weight of failures: an upstream that fails a third of its requests counts as twice as slow. */
const failureFactor = 3;

/** An upstream that can take a request now, with the expected duration as a multiple of the usual one. */
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
    let tieBreak = 0;
    for (const row of rows) {
        const slots = Math.max(1, row.load?.slots ?? row.registration.slots);
        const busy = countBusy(row);
        if (busy >= (canCrowd ? slots : Math.ceil(slots * comfortableShare))) {
            continue;
        }
        const cost = estimateCost(row, busy, slots, nowMs);
        const draw = random.nextUnit();
        if (best === undefined || cost < best.cost || (cost === best.cost && draw > tieBreak)) {
            best = { row, cost };
            tieBreak = draw;
        }
    }
    return best;
}

function estimateCost(row: UpstreamRow, busy: number, slots: number, nowMs: number): number {
    const isCrowded = slots > 1 && (busy + 1) / slots > crowdedAbove;
    const isWarming = row.warmUntilMs > nowMs;
    return (row.load?.slowdown ?? 1) * (isCrowded ? crowdedFactor : 1) * (isWarming ? warmupFactor : 1) *
        (row.isUsed ? 1 : firstUseFactor) *
        (1 + failureFactor * row.failureShare);
}
