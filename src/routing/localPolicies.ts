import { type Candidate, type PickContext, pickLowest, RoutingPolicy } from "./routingPolicy.js";

/** Any candidate with equal probability. */
export class RandomPolicy extends RoutingPolicy {
    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        return candidates[context.random.nextInt(candidates.length)];
    }
}

/** Candidates in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
    private next: number | undefined;

    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        // A random start keeps entries that started together from moving in step.
        this.next ??= context.random.nextInt(candidates.length);
        this.next = (this.next + 1) % candidates.length;
        return candidates[this.next];
    }
}

/** The candidate with the fewest attempts in flight from this entry for its speed. */
export class LeastOutstandingPolicy extends RoutingPolicy {
    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        return pickLowest(candidates, context, localCost);
    }
}

function localCost(candidate: Candidate): number {
    return candidate.instance.outstanding / candidate.effectiveSlots;
}
