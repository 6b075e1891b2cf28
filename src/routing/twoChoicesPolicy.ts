import { type Candidate, type PickContext, pickLowestCost, RoutingPolicy } from "./routingPolicy.js";

/** Selects the less loaded of two random candidates, by the load reports shared among entries. */
export class TwoChoicesPolicy extends RoutingPolicy {
    override readonly usesSharedReports = true;

    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        const first = context.random.nextInt(candidates.length);
        const step = 1 + context.random.nextInt(Math.max(1, candidates.length - 1));
        const second = (first + step) % candidates.length;
        return pickLowestCost([candidates[first], candidates[second]], context, reportedLoadPerSlot);
    }
}

function reportedLoadPerSlot(candidate: Candidate): number {
    const { reportedInFlight, sentSinceReport, outstanding } = candidate.instance;
    return Math.max(reportedInFlight + sentSinceReport, outstanding) / candidate.effectiveSlots;
}
