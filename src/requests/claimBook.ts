import type { ClaimRow } from "./claim.js";
import type { ClaimId, ClaimReference, OutcomeAnswer } from "./claimMessages.js";
import type { ClaimRecorder } from "./claimRecorder.js";

/** Claims in progress at this entry, by owner and by the id of their current round. */
export class ClaimBook {
    private readonly claims = new Map<string, ClaimRow>();
    private readonly ownersByRound = new Map<ClaimId, string>();

    add(claim: ClaimRow): void {
        this.claims.set(claim.order.ownerId, claim);
    }

    find(ownerId: string): ClaimRow | undefined {
        return this.claims.get(ownerId);
    }

    list(): ClaimRow[] {
        return [...this.claims.values()];
    }

    /** Makes the claim known by the id of its current round. */
    nameRound(claim: ClaimRow): void {
        this.ownersByRound.set(claim.request.claimId, claim.order.ownerId);
    }

    forgetRound(claim: ClaimRow): void {
        this.ownersByRound.delete(claim.request.claimId);
    }

    /** Returns the claim whose current round has this id. */
    findRound(claimId: ClaimId): ClaimRow | undefined {
        const ownerId = this.ownersByRound.get(claimId);
        return ownerId === undefined ? undefined : this.claims.get(ownerId);
    }

    remove(claim: ClaimRow): void {
        this.forgetRound(claim);
        this.claims.delete(claim.order.ownerId);
    }
}

/** Returns what the holder of a claim knows of it. `ownPrefix` starts the ids of this process's claims. */
export function describeClaim(
    { key, claimId }: ClaimReference,
    ownPrefix: string,
    claims: ClaimBook,
    recorder: ClaimRecorder,
): OutcomeAnswer {
    const outcome = recorder.findOutcome(claimId);
    if (outcome !== undefined) {
        return { key, claimId, state: "outcome", outcome };
    }
    const claim = claims.findRound(claimId);
    if (claim !== undefined) {
        return { key, claimId, state: claim.state === "granted" ? "running" : "undecided" };
    }
    if (recorder.isFinished(claimId)) {
        return { key, claimId, state: "finished" };
    }
    return { key, claimId, state: claimId.startsWith(ownPrefix) ? "released" : "lost" };
}
