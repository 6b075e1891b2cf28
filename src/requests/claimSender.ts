import type { EntryId } from "../core/ids.js";
import type { ActiveClaim } from "./claim.js";
import { ClaimMethod, type ClaimReference } from "./claimMessages.js";
import type { ClaimTable } from "./claimTable.js";
import type { Outbox } from "./outbox.js";

/** Sends a claimant's messages to the replicas. */
export class ClaimSender {
    constructor(
        private readonly selfId: EntryId,
        private readonly table: ClaimTable,
        private readonly outbox: Outbox,
    ) {}

    /** Replicas of the claim, without this entry. */
    remoteReplicas(claim: ActiveClaim): EntryId[] {
        return claim.replicaIds.filter(id => id !== this.selfId);
    }

    /** Asks the replicas that have not answered in this round. */
    request(claim: ActiveClaim): void {
        for (const id of this.remoteReplicas(claim)) {
            if (!claim.answers.has(id)) {
                this.outbox.send(id, ClaimMethod.request, claim.request);
            }
        }
    }

    /** Makes all replicas of the claim forget a claim id. */
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
