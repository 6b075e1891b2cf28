import type { EntryId } from "../core/ids.js";
import type { ActiveClaim } from "./claim.js";
import { ClaimMethod, type ClaimReference } from "./claimMessages.js";
import type { ClaimTable } from "./claimTable.js";
import type { Outbox } from "./outbox.js";

/** Sends a claimant's messages to the replicas of its claims. */
export class ClaimSender {
    constructor(
        private readonly selfId: EntryId,
        private readonly table: ClaimTable,
        private readonly outbox: Outbox,
    ) {}

    /** Returns the replicas of the claim other than this entry. */
    remoteReplicas(claim: ActiveClaim): EntryId[] {
        return claim.replicaIds.filter(id => id !== this.selfId);
    }

    /** Sends the request of the current round to the replicas that have not answered it. */
    request(claim: ActiveClaim): void {
        for (const id of this.remoteReplicas(claim)) {
            if (!claim.answers.has(id)) {
                this.outbox.send(id, ClaimMethod.request, claim.request);
            }
        }
    }

    /** Releases a claim id at all replicas of the claim. */
    release(claim: ActiveClaim, { key, claimId }: ClaimReference, nowMs: number): void {
        const reference: ClaimReference = { key, claimId };
        if (claim.replicaIds.includes(this.selfId)) {
            this.table.release(reference, nowMs);
        }
        for (const id of this.remoteReplicas(claim)) {
            this.outbox.send(id, ClaimMethod.release, reference);
        }
    }
}
