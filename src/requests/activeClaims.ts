import type { ActiveClaim } from "./claim.js";
import type { ClaimId, ClaimReference, OutcomeAnswer } from "./claimMessages.js";
import type { ClaimRecorder } from "./claimRecorder.js";

/** Active claims of this entry, indexed by owner and by the claim id of their current round. */
export class ActiveClaims {
    private readonly claims = new Map<string, ActiveClaim>();
    private readonly ownersByRound = new Map<ClaimId, string>();

    add(claim: ActiveClaim): void {
        this.claims.set(claim.spec.ownerId, claim);
    }

    find(ownerId: string): ActiveClaim | undefined {
        return this.claims.get(ownerId);
    }

    list(): ActiveClaim[] {
        return [...this.claims.values()];
    }

    /** Indexes the claim by the id of its current round. */
    indexRound(claim: ActiveClaim): void {
        this.ownersByRound.set(claim.request.claimId, claim.spec.ownerId);
    }

    unindexRound(claim: ActiveClaim): void {
        this.ownersByRound.delete(claim.request.claimId);
    }

    /** Returns the claim whose current round has this id. */
    findByRound(claimId: ClaimId): ActiveClaim | undefined {
        const ownerId = this.ownersByRound.get(claimId);
        return ownerId === undefined ? undefined : this.claims.get(ownerId);
    }

    remove(claim: ActiveClaim): void {
        this.unindexRound(claim);
        this.claims.delete(claim.spec.ownerId);
    }
}

/** Returns the holder's answer to an outcome query. The claim ids of this process start with `claimIdPrefix`. */
export function makeOutcomeAnswer(
    { key, claimId }: ClaimReference,
    claimIdPrefix: string,
    claims: ActiveClaims,
    recorder: ClaimRecorder,
): OutcomeAnswer {
    const outcome = recorder.findOutcome(claimId);
    if (outcome !== undefined) {
        return { key, claimId, state: "outcome", outcome };
    }
    const claim = claims.findByRound(claimId);
    if (claim !== undefined) {
        return { key, claimId, state: claim.state === "granted" ? "running" : "undecided" };
    }
    if (recorder.isFinished(claimId)) {
        return { key, claimId, state: "finished" };
    }
    return { key, claimId, state: claimId.startsWith(claimIdPrefix) ? "released" : "lost" };
}
