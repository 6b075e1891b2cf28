import { createHash } from "node:crypto";
import type { EntryList } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";

const fullSetSize = 5;
const smallSetSize = 3;

interface Candidate {
    readonly id: EntryId;
    readonly availabilityZone: string;
    readonly score: number;
}

/** Returns the number of members that form a majority of a replica set. */
export function majorityOf(setSize: number): number {
    return Math.floor(setSize / 2) + 1;
}

/** Returns how many other replicas a restarted one must read to overlap with every majority that it belonged to. */
export function syncQuorumOf(setSize: number): number {
    return setSize - majorityOf(setSize) + 1;
}

/** Returns the replicas of a key: up to five entries by rendezvous hashing, spread over availability zones. */
export function chooseReplicas(list: EntryList, key: string): readonly EntryId[] {
    const keyHash = hashOf(key);
    const candidates: Candidate[] = list.entryIds.map((id, index) => ({
        id,
        availabilityZone: list.availabilityZones[index] ?? "",
        score: scoreOf(keyHash, hashOfEntry(id)),
    }));
    candidates.sort((first, second) => second.score - first.score || (first.id < second.id ? -1 : 1));
    return spreadOverZones(candidates, replicaSetSizeOf(candidates.length));
}

/** Returns the size of the replica sets in a list of `entryCount` entries. */
export function replicaSetSizeOf(entryCount: number): number {
    return entryCount >= fullSetSize ? fullSetSize : Math.min(entryCount, smallSetSize);
}

function spreadOverZones(ranked: readonly Candidate[], size: number): EntryId[] {
    const chosen: EntryId[] = [];
    const countsByZone = new Map<string, number>();
    const remaining = [...ranked];
    while (chosen.length < size) {
        let bestIndex = 0;
        for (let index = 1; index < remaining.length; index++) {
            if (countOf(countsByZone, remaining[index]) < countOf(countsByZone, remaining[bestIndex])) {
                bestIndex = index;
            }
        }
        const [candidate] = remaining.splice(bestIndex, 1);
        chosen.push(candidate.id);
        countsByZone.set(candidate.availabilityZone, countOf(countsByZone, candidate) + 1);
    }
    return chosen;
}

function countOf(countsByZone: ReadonlyMap<string, number>, candidate: Candidate): number {
    return countsByZone.get(candidate.availabilityZone) ?? 0;
}

const entryHashes = new Map<EntryId, Uint32Array>();
const maxEntryHashes = 4096;

function hashOfEntry(id: EntryId): Uint32Array {
    let hash = entryHashes.get(id);
    if (hash === undefined) {
        if (entryHashes.size >= maxEntryHashes) {
            entryHashes.clear();
        }
        hash = hashOf(id);
        entryHashes.set(id, hash);
    }
    return hash;
}

function hashOf(text: string): Uint32Array {
    const digest = createHash("sha256").update(text).digest();
    return Uint32Array.of(digest.readUInt32LE(0), digest.readUInt32LE(4));
}

// Hashing each pair of key and entry with SHA-256 would cost one digest per entry of the list. Both hashes are uniform
// already, so an integer mix of them is enough.
function scoreOf(keyHash: Uint32Array, entryHash: Uint32Array): number {
    let mixed = keyHash[0] ^ entryHash[0];
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13) ^ keyHash[1], 0xc2b2ae35);
    mixed = Math.imul(mixed ^ (mixed >>> 16) ^ entryHash[1], 0x85ebca6b);
    return (mixed ^ (mixed >>> 13)) >>> 0;
}
