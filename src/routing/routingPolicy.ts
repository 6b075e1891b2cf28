import type { RandomSource } from "../core/random.js";
import type { UpstreamRow } from "../membership/view.js";
import type { InstanceRow } from "./instanceRow.js";

/** An upstream that may get the attempt. */
export interface Candidate {
    readonly upstream: UpstreamRow;
    readonly instance: InstanceRow;
    /** Slots that the instance may use now; below its announced slots while it ramps up. */
    readonly effectiveSlots: number;
}

/** What a policy may look at besides the candidates. */
export interface PickContext {
    readonly nowMs: number;
    readonly availabilityZone: string;
    readonly random: RandomSource;
}

/** Chooses one of the upstreams that may get an attempt. One object serves one service. */
export abstract class RoutingPolicy {
    /** True when the service's owner entry chooses and this policy is only the fallback. */
    readonly usesOwner: boolean = false;
    /** True when the policy needs load reports that are shared among entries. */
    readonly usesSharedReports: boolean = false;

    /** `candidates` is not empty. */
    abstract pick(candidates: readonly Candidate[], context: PickContext): Candidate;
}

/** Returns the candidate with the lowest cost; ties go to the availability zone of the entry, then to chance. */
export function pickLowest(
    candidates: readonly Candidate[],
    context: PickContext,
    costOf: (candidate: Candidate) => number,
): Candidate {
    let best = candidates[0];
    let bestCost = Number.POSITIVE_INFINITY;
    let bestIsLocal = false;
    let tieCount = 0;
    for (const candidate of candidates) {
        const cost = costOf(candidate);
        const isLocal = candidate.upstream.announcement.availabilityZone === context.availabilityZone;
        const isTie = cost === bestCost && isLocal === bestIsLocal;
        if (cost < bestCost || cost === bestCost && isLocal && !bestIsLocal) {
            [best, bestCost, bestIsLocal, tieCount] = [candidate, cost, isLocal, 1];
        }
        else if (isTie && context.random.nextInt(++tieCount) === 0) {
            best = candidate;
        }
    }
    return best;
}
