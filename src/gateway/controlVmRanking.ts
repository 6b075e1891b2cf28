import { createHash } from "node:crypto";

/**
 * Ranks control VMs by a hash of entry and address (rendezvous hashing). Each control VM is the first choice of about
 * the same number of entries; when one is lost, only its entries move, and these spread over the others.
 */
export function rankControlVms(entryId: string, addresses: readonly string[]): readonly string[] {
    const scored = addresses.map(address => ({ address, score: computeScore(entryId, address) }));
    return scored.sort((first, second) => first.score - second.score).map(({ address }) => address);
}

function computeScore(entryId: string, address: string): number {
    return createHash("sha256").update(JSON.stringify([entryId, address])).digest().readUIntBE(0, 6);
}
