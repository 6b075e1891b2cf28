import { createHash } from "node:crypto";
import type { Catalogue } from "../catalogue/model.js";
import type { EntryId, ServiceName } from "../core/ids.js";
import type { PeerView } from "../membership/view.js";

const maxCachedScores = 100_000;
const scoreCache = new Map<string, number>();

/** Returns the entry that owns a service, by rendezvous hashing. */
export function ownerOf(service: ServiceName, entryIds: Iterable<EntryId>): EntryId | undefined {
    let owner: EntryId | undefined;
    let ownerScore = -1;
    for (const id of entryIds) {
        const score = rendezvousScoreOf(service, id);
        if (score > ownerScore || score === ownerScore && owner !== undefined && id < owner) {
            [owner, ownerScore] = [id, score];
        }
    }
    return owner;
}

/** Caches the owner of one service until the array of active entries is replaced. */
export class OwnerCache {
    private activeEntryIds: readonly EntryId[] | undefined;
    private owner: EntryId | undefined;

    constructor(private readonly service: ServiceName) {}

    ownerId(activeEntryIds: readonly EntryId[]): EntryId | undefined {
        if (activeEntryIds !== this.activeEntryIds) {
            this.activeEntryIds = activeEntryIds;
            this.owner = ownerOf(this.service, activeEntryIds);
        }
        return this.owner;
    }
}

/** Returns the entries that can own services: this one and its live peers unless draining; only this one if all are. */
export function listActiveEntryIds(peers: PeerView, catalogue: Catalogue, nowMs: number): readonly EntryId[] {
    const isActive = (id: EntryId) => catalogue.entryVms[id]?.state !== "draining";
    const live = peers.livePeers(nowMs).filter(peer => !peer.isDraining && isActive(peer.id)).map(peer => peer.id);
    const isSelfActive = isActive(peers.selfId) && peers.isSelfDraining !== true;
    return isSelfActive || live.length === 0 ? [...live, peers.selfId] : live;
}

/**
 * Returns an entry's share of a limit for local routing. The shares of the catalogue's entries add up to the limit; an
 * entry that the catalogue does not list also counts itself and the active entries.
 */
export function localShare(
    limit: number,
    selfId: EntryId,
    catalogue: Catalogue,
    activeEntryIds: readonly EntryId[],
): number {
    const declared = Object.keys(catalogue.entryVms);
    const ids = declared.includes(selfId) ? declared : [...new Set([...declared, ...activeEntryIds, selfId])];
    const rank = ids.sort().indexOf(selfId);
    return Math.floor(limit / ids.length) + (rank < limit % ids.length ? 1 : 0);
}

function rendezvousScoreOf(service: ServiceName, id: EntryId): number {
    const key = `${service}\n${id}`;
    let score = scoreCache.get(key);
    if (score === undefined) {
        score = createHash("sha256").update(key).digest().readUIntBE(0, 6);
        if (scoreCache.size >= maxCachedScores) {
            scoreCache.clear();
        }
        scoreCache.set(key, score);
    }
    return score;
}
