import type { RandomSource } from "../core/random.js";
import type { RelayPeer } from "../directory/messages.js";

/** Requests of this entry that one peer handles at a time; more would move the overload to the peer. */
const maxOpenPerPeer = 6;
/** Time for which a peer is left out after it failed or was cut off itself. */
const failureCooldownMs = 2000;
/** Age up to which the list of peers is used; the control VM sends it at least every 400 ms while it is asked for. */
const maxPeersAgeMs = 10_000;

/** Chooses the entry that takes the next relayed request. */
export class PeerSelector {
    private peers: readonly RelayPeer[] = [];
    private receivedAtMs = -Infinity;
    private readonly openCounts = new Map<string, number>();
    private readonly failedAtMs = new Map<string, number>();

    constructor(private readonly random: RandomSource) {}

    /** Whether a recent list of peers is known. */
    hasPeers(nowMs: number): boolean {
        return this.peers.length > 0 && nowMs - this.receivedAtMs <= maxPeersAgeMs;
    }

    setPeers(peers: readonly RelayPeer[], nowMs: number): void {
        this.peers = peers;
        this.receivedAtMs = nowMs;
        const addresses = new Set(peers.map(peer => peer.address));
        [...this.failedAtMs].filter(([address, atMs]) => !addresses.has(address) && nowMs - atMs > failureCooldownMs)
            .forEach(([address]) => this.failedAtMs.delete(address));
    }

    /** Takes the peer with the fewest open requests, a random one of several; undefined if none can take another. */
    take(tried: ReadonlySet<string>, nowMs: number): RelayPeer | undefined {
        if (!this.hasPeers(nowMs)) {
            return undefined;
        }
        const usable = this.peers.filter(({ address }) =>
            !tried.has(address) && this.countOpen(address) < maxOpenPerPeer &&
            nowMs - (this.failedAtMs.get(address) ?? -Infinity) > failureCooldownMs
        );
        const fewest = Math.min(...usable.map(({ address }) => this.countOpen(address)));
        const candidates = usable.filter(({ address }) => this.countOpen(address) === fewest);
        const peer = candidates.at(this.random.nextInt(candidates.length));
        if (peer !== undefined) {
            this.openCounts.set(peer.address, fewest + 1);
        }
        return peer;
    }

    /** Ends a request at a peer. */
    release({ address }: RelayPeer): void {
        const count = this.countOpen(address) - 1;
        if (count > 0) {
            this.openCounts.set(address, count);
        }
        else {
            this.openCounts.delete(address);
        }
    }

    /** Leaves a peer out for a time. */
    recordFailure({ address }: RelayPeer, nowMs: number): void {
        this.failedAtMs.set(address, nowMs);
    }

    private countOpen(address: string): number {
        return this.openCounts.get(address) ?? 0;
    }
}
