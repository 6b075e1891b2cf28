import { type Candidate, type PickContext, pickLowest, RoutingPolicy } from "./routingPolicy.js";

/** The less loaded of two random candidates, by the newest load reports that entries share. */
export class TwoChoicesPolicy extends RoutingPolicy {
    override readonly usesSharedReports = true;

    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        const first = context.random.nextInt(candidates.length);
        const step = 1 + context.random.nextInt(Math.max(1, candidates.length - 1));
        const second = (first + step) % candidates.length;
        return pickLowest([candidates[first], candidates[second]], context, reportedCost);
    }
}

function reportedCost(candidate: Candidate): number {
    const { reportedInFlight, sentSinceReport, outstanding } = candidate.instance;
    return Math.max(reportedInFlight + sentSinceReport, outstanding) / candidate.effectiveSlots;
}
