import { createHash } from "node:crypto";
import type { EntryId } from "../core/ids.js";
import type { UpstreamState } from "./upstreamStateTable.js";

/**
 * Upstreams of a service that an entry prefers at least. Each probe samples four of them, so a few busy or slow ones do
 * not matter, and an entry with few requests uses each often enough to keep its connection.
 */
const minPreferred = 16;
/** Preferred upstreams per request per second of the entry, so that a busy entry does not concentrate its load. */
const preferredPerRequestRate = 2;
const scoreBytes = 6;

/** Candidates of one service, divided by the preference of an entry. */
export interface PreferredUpstreams {
    readonly preferred: readonly UpstreamState[];
    readonly others: readonly UpstreamState[];
}

/**
 * Chooses the upstreams that an entry prefers, by rendezvous hashing: entries choose independently and cover all
 * upstreams evenly, and a change of one upstream leaves the rest of the choice as it was. A small set of upstreams means
 * few connections and little memory; an entry that probed all of them would open a connection to each.
 */
export class UpstreamAffinity {
    private readonly scores = new WeakMap<UpstreamState, number>();

    constructor(private readonly entryId: EntryId) {}

    /** Divides candidates for an entry that places `requestsPerSecond` on their service. */
    divide(candidates: readonly UpstreamState[], requestsPerSecond: number): PreferredUpstreams {
        const count = Math.max(minPreferred, Math.ceil(preferredPerRequestRate * requestsPerSecond));
        if (candidates.length <= count) {
            return { preferred: candidates, others: [] };
        }
        const sorted = [...candidates].sort((first, second) => this.scoreOf(first) - this.scoreOf(second));
        return { preferred: sorted.slice(0, count), others: sorted.slice(count) };
    }

    private scoreOf(upstreamState: UpstreamState): number {
        let score = this.scores.get(upstreamState);
        if (score === undefined) {
            const key = `${this.entryId}\0${upstreamState.registration.id}`;
            score = createHash("sha256").update(key).digest().readUIntBE(0, scoreBytes);
            this.scores.set(upstreamState, score);
        }
        return score;
    }
}
