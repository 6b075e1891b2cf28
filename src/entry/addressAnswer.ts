import type { RandomSource } from "../core/random.js";
import type { PeerState } from "../membership/peerTable.js";

/** Lifetime of an address answer at a caller. */
export const addressAnswerLifeMs = 5000;

/** An entry that a caller can use. */
export interface EntryAddress {
    readonly address: string;
    readonly availabilityZone: string;
}

/** Answer of `GET /v1/entries`; entries in the order to try. */
export interface AddressAnswer {
    readonly entries: readonly EntryAddress[];
    readonly expiresInMs: number;
}

/** Lists the entries that accept new work, in random order so that callers spread over them. */
export function listEntries(
    self: EntryAddress | undefined,
    peers: readonly PeerState[],
    random: RandomSource,
): AddressAnswer {
    const listed = peers.filter(peer => peer.isServing && !peer.isDraining);
    const entries = [...(self === undefined ? [] : [self]), ...listed].map(({ address, availabilityZone }) => ({
        address,
        availabilityZone,
    }));
    for (let index = entries.length - 1; index > 0; index--) {
        const other = random.nextInt(index + 1);
        [entries[index], entries[other]] = [entries[other], entries[index]];
    }
    return { entries, expiresInMs: addressAnswerLifeMs };
}
