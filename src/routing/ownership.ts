import { createHash } from "node:crypto";
import type { Catalogue } from "../catalogue/model.js";
import type { EntryId, ServiceName } from "../core/ids.js";
import type { PeerView } from "../membership/view.js";

const maxCachedScores = 100_000;
const scores = new Map<string, number>();

/** Returns the entry that owns a service: the one with the highest rendezvous score. */
export function ownerOf(service: ServiceName, entryIds: Iterable<EntryId>): EntryId | undefined {
    let owner: EntryId | undefined;
    let ownerScore = -1;
    for (const id of entryIds) {
        const score = scoreOf(service, id);
        if (score > ownerScore || score === ownerScore && owner !== undefined && id < owner) {
            [owner, ownerScore] = [id, score];
        }
    }
    return owner;
}

/** Owner of one service; computed again only for another roster. */
export class OwnerLookup {
    private roster: readonly EntryId[] | undefined;
    private owner: EntryId | undefined;

    constructor(private readonly service: ServiceName) {}

    ownerId(roster: readonly EntryId[]): EntryId | undefined {
        if (roster !== this.roster) {
            this.roster = roster;
            this.owner = ownerOf(this.service, roster);
        }
        return this.owner;
    }
}

/** Ids of the entries that may own services: this one and its live peers, without draining ones. */
export function rosterOf(peers: PeerView, catalogue: Catalogue, nowMs: number): readonly EntryId[] {
    const isActive = (id: EntryId) => catalogue.entryVms[id]?.state !== "draining";
    const live = peers.livePeers(nowMs).filter(peer => !peer.isDraining && isActive(peer.id)).map(peer => peer.id);
    const isSelfActive = isActive(peers.selfId) && peers.isSelfDraining !== true;
    return isSelfActive || live.length === 0 ? [...live, peers.selfId] : live;
}

/** An entry's share of a limit when it cannot ask the owner; the shares of all entries add up to the limit. */
export function localShare(limit: number, selfId: EntryId, catalogue: Catalogue, roster: readonly EntryId[]): number {
    const declared = Object.keys(catalogue.entryVms);
    const ids = declared.includes(selfId) ? declared : [...new Set([...declared, ...roster, selfId])];
    const rank = ids.sort().indexOf(selfId);
    return Math.floor(limit / ids.length) + (rank < limit % ids.length ? 1 : 0);
}

function scoreOf(service: ServiceName, id: EntryId): number {
    const key = `${service}\n${id}`;
    let score = scores.get(key);
    if (score === undefined) {
        score = createHash("sha256").update(key).digest().readUIntBE(0, 6);
        if (scores.size >= maxCachedScores) {
            scores.clear();
        }
        scores.set(key, score);
    }
    return score;
}
