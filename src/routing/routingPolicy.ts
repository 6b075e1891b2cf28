import type { RandomSource } from "../core/random.js";
import type { UpstreamRow } from "../membership/view.js";
import type { InstanceStats } from "./instanceStats.js";

/** An upstream that an attempt can be sent to. */
export interface Candidate {
    readonly upstream: UpstreamRow;
    readonly instance: InstanceStats;
    /** Slots that may be used now; fewer than the announced slots during the ramp. */
    readonly effectiveSlots: number;
}

/** Inputs of a policy besides the candidates. */
export interface PickContext {
    readonly nowMs: number;
    readonly availabilityZone: string;
    readonly random: RandomSource;
}

/** Selects the upstream for an attempt. Each service has its own instance, so a policy can keep state. */
export abstract class RoutingPolicy {
    /** True when the service's owner entry selects upstreams and this policy is only the fallback. */
    readonly usesOwner: boolean = false;
    /** True when the policy uses load reports shared among entries. */
    readonly usesSharedReports: boolean = false;

    /** Selects a candidate; `candidates` must not be empty. */
    abstract pick(candidates: readonly Candidate[], context: PickContext): Candidate;
}

/** Returns the candidate with the lowest cost; ties prefer the entry's availability zone, then break at random. */
export function pickLowestCost(
    candidates: readonly Candidate[],
    context: PickContext,
    costOf: (candidate: Candidate) => number,
): Candidate {
    let best = candidates[0];
    let bestCost = Number.POSITIVE_INFINITY;
    let isBestSameZone = false;
    let tieCount = 0;
    for (const candidate of candidates) {
        const cost = costOf(candidate);
        const isSameZone = candidate.upstream.announcement.availabilityZone === context.availabilityZone;
        const isTie = cost === bestCost && isSameZone === isBestSameZone;
        if (cost < bestCost || cost === bestCost && isSameZone && !isBestSameZone) {
            [best, bestCost, isBestSameZone, tieCount] = [candidate, cost, isSameZone, 1];
        }
        else if (isTie && context.random.nextInt(++tieCount) === 0) {
            best = candidate;
        }
    }
    return best;
}
