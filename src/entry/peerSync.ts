import type { EntryId } from "../core/ids.js";
import type { EchoStamp, Heartbeat, PeerTable } from "../membership/peerTable.js";
import type { UpstreamDigestRow, UpstreamTable } from "../membership/upstreamTable.js";
import type { EntryEffect, PeerMessage } from "./messages.js";

const heartbeatIntervalMs = 200;
const rowRenewalIntervalMs = 200;

/** State of this entry in its heartbeats. */
export interface HeartbeatState {
    readonly revision: number;
    readonly isDraining: boolean;
    readonly isServing: boolean;
}

/** Identity of this entry in its heartbeats. */
export interface HeartbeatIdentity {
    readonly region: string;
    readonly availabilityZone: string;
    readonly incarnation: number;
    readonly address: string;
    readonly peerAddress: string;
}

/** Parameters of `upstreams.update`. */
export interface UpstreamsUpdate {
    readonly stamp: EchoStamp;
    readonly rows: readonly UpstreamDigestRow[];
}

/** Exchanges heartbeats and upstream rows with the other entries of the region. */
export class PeerSync {
    private lastHeartbeatAtMs = Number.NEGATIVE_INFINITY;
    private lastRenewalAtMs = Number.NEGATIVE_INFINITY;
    private catalogueEntryIds: readonly EntryId[] = [];

    constructor(
        private readonly identity: HeartbeatIdentity,
        private readonly peers: PeerTable,
        private readonly upstreams: UpstreamTable,
    ) {}

    /** Sets the region's entries in the catalogue; they receive heartbeats even before they have sent one. */
    setCatalogueEntries(entryIds: readonly EntryId[]): void {
        this.catalogueEntryIds = entryIds.filter(id => id !== this.peers.selfId);
    }

    tick(state: HeartbeatState, nowMs: number): EntryEffect[] {
        const effects: EntryEffect[] = [];
        if (nowMs - this.lastHeartbeatAtMs >= heartbeatIntervalMs) {
            effects.push(...this.sendHeartbeats(state, nowMs));
        }
        if (nowMs - this.lastRenewalAtMs >= rowRenewalIntervalMs) {
            this.lastRenewalAtMs = nowMs;
            effects.push(...this.sendRows(this.upstreams.takeRenewals(nowMs), nowMs));
        }
        return effects;
    }

    sendHeartbeats(state: HeartbeatState, nowMs: number): EntryEffect[] {
        this.lastHeartbeatAtMs = nowMs;
        const { region, availabilityZone, incarnation, address, peerAddress } = this.identity;
        return this.recipients().map(to => {
            const stamp = this.peers.createStamp(to, nowMs);
            const heartbeat: Heartbeat = {
                stamp,
                region,
                availabilityZone,
                incarnation,
                address,
                peerAddress,
                ...state,
            };
            return send(to, "peer.heartbeat", heartbeat);
        });
    }

    /** Sends the rows that changed here to all peers immediately. */
    sendChanges(nowMs: number): EntryEffect[] {
        return this.sendRows(this.upstreams.takeChanges(nowMs), nowMs);
    }

    handle(from: EntryId, message: PeerMessage, nowMs: number): EntryEffect[] {
        switch (message.method) {
            case "peer.heartbeat":
                return this.handleHeartbeat(from, message.params as Heartbeat, nowMs);
            case "upstreams.update":
                return this.handleUpdate(message.params as UpstreamsUpdate, nowMs);
            default:
                return [];
        }
    }

    /** Sends all rows to a peer that has just started. */
    private handleHeartbeat(from: EntryId, heartbeat: Heartbeat, nowMs: number): EntryEffect[] {
        if (!this.peers.applyHeartbeat(from, heartbeat, nowMs)) {
            return [];
        }
        const stamp = this.peers.createStamp(from, nowMs);
        const update: UpstreamsUpdate = { stamp, rows: this.upstreams.digestAll(nowMs) };
        return [send(from, "upstreams.update", update)];
    }

    private handleUpdate(update: UpstreamsUpdate, nowMs: number): EntryEffect[] {
        const sentAtMs = this.peers.earliestSentAtMs(update.stamp);
        for (const row of update.rows) {
            this.upstreams.merge(row, sentAtMs, nowMs);
        }
        return [];
    }

    private sendRows(rows: readonly UpstreamDigestRow[], nowMs: number): EntryEffect[] {
        if (rows.length === 0) {
            return [];
        }
        return this.recipients().map(to => {
            const update: UpstreamsUpdate = { stamp: this.peers.createStamp(to, nowMs), rows };
            return send(to, "upstreams.update", update);
        });
    }

    private recipients(): readonly EntryId[] {
        return [...new Set([...this.catalogueEntryIds, ...this.peers.allPeers().map(peer => peer.id)])];
    }
}

function send(to: EntryId, method: string, params: unknown): EntryEffect {
    return { kind: "send-peer", to, message: { method, params } };
}
