import { type Candidate, type PickContext, pickLowestCost, RoutingPolicy } from "./routingPolicy.js";

/** Selects a candidate uniformly at random. */
export class RandomPolicy extends RoutingPolicy {
    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        return candidates[context.random.nextInt(candidates.length)];
    }
}

/** Selects the candidates in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
    private currentIndex: number | undefined;

    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        // A random start prevents entries that started together from selecting the same upstreams in lockstep.
        this.currentIndex ??= context.random.nextInt(candidates.length);
        this.currentIndex = (this.currentIndex + 1) % candidates.length;
        return candidates[this.currentIndex];
    }
}

/** Selects the candidate with the fewest attempts in flight from this entry per effective slot. */
export class LeastOutstandingPolicy extends RoutingPolicy {
    pick(candidates: readonly Candidate[], context: PickContext): Candidate {
        return pickLowestCost(candidates, context, outstandingPerSlot);
    }
}

function outstandingPerSlot(candidate: Candidate): number {
    return candidate.instance.outstanding / candidate.effectiveSlots;
}
