import type { RandomSource } from "../core/random.js";
import type { PeerTableRow } from "../membership/peerTable.js";

/** Time for which a caller may cache an address answer. */
export const addressAnswerTtlMs = 5000;

/** Address of an entry for callers. */
export interface EntryAddress {
    readonly address: string;
    readonly availabilityZone: string;
}

/** Answer of `GET /v1/entries`; entries in the order to try. */
export interface AddressAnswer {
    readonly entries: readonly EntryAddress[];
    readonly expiresInMs: number;
}

/** Lists the entries that accept new requests, in random order to spread callers over them. */
export function listEntries(
    self: EntryAddress | undefined,
    peers: readonly PeerTableRow[],
    random: RandomSource,
): AddressAnswer {
    const listed = peers.filter(peer => peer.isServing && !peer.isDraining);
    const entries = [...(self === undefined ? [] : [self]), ...listed].map(({ address, availabilityZone }) => ({
        address,
        availabilityZone,
    }));
    for (let index = entries.length - 1; index > 0; index--) {
        const swapIndex = random.nextInt(index + 1);
        [entries[index], entries[swapIndex]] = [entries[swapIndex], entries[index]];
    }
    return { entries, expiresInMs: addressAnswerTtlMs };
}
