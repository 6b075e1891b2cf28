import { createHash } from "node:crypto";
import type { Clock } from "../core/clock.js";
import { DirectoryMethod, type EntryReport, type RelayPeer } from "./messages.js";

/** Peers of each availability zone that an entry gets. */
const peersPerZone = 4;
/** Entries that one control VM lists for another. */
const maxListed = 64;
/** Age up to which the lists of the other control VMs are used. */
const listTtlMs = 1000;
/** Timeout of a control VM; an entry that waits for peers serves no requests meanwhile. */
const listTimeoutMs = 300;

/** Dependencies of RelayPeers. */
export interface RelayPeersOptions {
    /** Lists the attached entries that can take relayed requests. */
    readonly listAttached: () => readonly RelayPeer[];
    /** Lists the peer addresses of the other control VMs. */
    readonly listControlVms: () => readonly string[];
    readonly links: { call(address: string, method: string, params: unknown, timeoutMs: number): Promise<unknown>; };
    readonly clock: Clock;
}

/**
 * Finds entries that can relay for others. Control VMs know only the entries attached to them, so they ask each other,
 * but only while an entry asks for peers.
 */
export class RelayPeers {
    private listed: readonly RelayPeer[] = [];
    private listedAtMs = -Infinity;
    private pendingRefresh: Promise<void> | undefined;

    constructor(private readonly options: RelayPeersOptions) {}

    /** Lists entries attached to this control VM for another one. */
    listOwn(): readonly RelayPeer[] {
        return this.options.listAttached().slice(0, maxListed);
    }

    /** Returns a few peers of each zone. The choice depends on the entry's id: stable for an entry, different for each. */
    async find({ id, address }: EntryReport): Promise<readonly RelayPeer[]> {
        if (this.options.clock.monotonicMs() - this.listedAtMs > listTtlMs) {
            this.pendingRefresh ??= this.refresh().finally(() => this.pendingRefresh = undefined);
            await this.pendingRefresh;
        }
        const peers = new Map([...this.listed, ...this.listOwn()].map(peer => [peer.address, peer]));
        peers.delete(address);
        const countByZone = new Map<string, number>();
        return [...peers.values()]
            .map(peer => ({ peer, rank: createHash("sha256").update(`${id} ${peer.address}`).digest("hex") }))
            .sort((first, second) => first.rank < second.rank ? -1 : 1)
            .map(ranked => ranked.peer)
            .filter(({ availabilityZone }) => {
                const count = countByZone.get(availabilityZone) ?? 0;
                countByZone.set(availabilityZone, count + 1);
                return count < peersPerZone;
            });
    }

    private async refresh(): Promise<void> {
        const { listControlVms, links, clock } = this.options;
        const lists = await Promise.all(
            listControlVms().map(async address => {
                try {
                    const answer = await links.call(address, DirectoryMethod.listPeers, {}, listTimeoutMs);
                    return Array.isArray(answer) ? answer as readonly RelayPeer[] : [];
                }
                catch {
                    // A control VM that is down or of an earlier version lists no entries; those of the others suffice.
                    return [];
                }
            }),
        );
        this.listed = lists.flat();
        this.listedAtMs = clock.monotonicMs();
    }
}
