import type { EntryId } from "../core/ids.js";
import type { PeerRow, PeerView } from "./view.js";

/** A peer without a heartbeat for this long is not live. */
export const peerTimeoutMs = 1500;
/** Rows without a heartbeat for this long are removed. */
const peerRetentionMs = 600_000;

/**
 * Bounds the age of a message without synchronized clocks: `echoMs` is the send time of the receiver's latest message,
 * on the receiver's clock, and `heldMs` is the time from the arrival of that message to the sending of the stamp.
 */
export interface Stamp {
    readonly sentAtMs: number;
    readonly echoMs: number | undefined;
    /** Incarnation of the receiver whose clock `echoMs` refers to. */
    readonly echoIncarnation: number | undefined;
    readonly heldMs: number;
}

/** Parameters of `peer.heartbeat`. */
export interface Heartbeat {
    readonly stamp: Stamp;
    readonly region: string;
    readonly availabilityZone: string;
    readonly incarnation: number;
    readonly revision: number;
    readonly isDraining: boolean;
    /** Whether the configuration is confirmed and new work is accepted. */
    readonly isServing: boolean;
    /** `host:port` for callers. */
    readonly address: string;
    /** `host:port` for the system's own processes. */
    readonly peerAddress: string;
}

/** Row of the peer table, including the fields that routing does not need. */
export interface PeerState extends PeerRow {
    readonly address: string;
    readonly peerAddress: string;
    readonly isServing: boolean;
}

interface LastMessage {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
    readonly incarnation: number;
}

/** Identity of this entry in the table. */
export interface PeerIdentity {
    readonly id: EntryId;
    readonly region: string;
    readonly availabilityZone: string;
    readonly incarnation: number;
}

/** Table of the other entries of the region, from their heartbeats. */
export class PeerTable implements PeerView {
    /** A draining entry does not consider itself the owner of a service. */
    isSelfDraining = false;
    private readonly rows = new Map<EntryId, PeerState>();
    private readonly lastMessages = new Map<EntryId, LastMessage>();

    constructor(private readonly identity: PeerIdentity) {}

    get selfId(): EntryId {
        return this.identity.id;
    }

    get availabilityZone(): string {
        return this.identity.availabilityZone;
    }

    livePeers(nowMs: number): readonly PeerState[] {
        return [...this.rows.values()].filter(row => nowMs - row.lastHeartbeatAtMs <= peerTimeoutMs);
    }

    findPeer(id: EntryId): PeerState | undefined {
        return this.rows.get(id);
    }

    /** Returns all known peers, live or not. */
    allPeers(): readonly PeerState[] {
        return [...this.rows.values()];
    }

    /** Returns the stamp of a message to a peer. */
    stampFor(peer: EntryId, nowMs: number): Stamp {
        const last = this.lastMessages.get(peer);
        return {
            sentAtMs: nowMs,
            echoMs: last?.sentAtMs,
            echoIncarnation: last?.incarnation,
            heldMs: last === undefined ? 0 : nowMs - last.receivedAtMs,
        };
    }

    /** Returns a lower bound of the message's send time on this entry's clock; undefined when the stamp gives none. */
    earliestSentAtMs(stamp: Stamp): number | undefined {
        const isOwnEcho = stamp.echoMs !== undefined && stamp.echoIncarnation === this.identity.incarnation;
        return isOwnEcho ? stamp.echoMs + stamp.heldMs : undefined;
    }

    /** Applies a heartbeat. Returns whether it is the first of an incarnation of a peer of this region. */
    applyHeartbeat(from: EntryId, heartbeat: Heartbeat, nowMs: number): boolean {
        const known = this.rows.get(from);
        const isOutdated = known !== undefined && heartbeat.incarnation < known.incarnation;
        if (isOutdated || heartbeat.region !== this.identity.region || from === this.selfId) {
            return false;
        }
        const { sentAtMs } = heartbeat.stamp;
        this.lastMessages.set(from, { sentAtMs, receivedAtMs: nowMs, incarnation: heartbeat.incarnation });
        const isFirst = known?.incarnation !== heartbeat.incarnation;
        // The first heartbeat has no bound yet. Later ones count from their send time, so that messages delayed in a
        // stalled connection do not make a dead peer look live.
        const heartbeatAtMs = this.earliestSentAtMs(heartbeat.stamp) ?? (isFirst ? nowMs : known.lastHeartbeatAtMs);
        const { availabilityZone, incarnation, revision, isDraining, isServing, address, peerAddress } = heartbeat;
        this.rows.set(from, {
            id: from,
            availabilityZone,
            incarnation,
            revision,
            isDraining,
            isServing,
            address,
            peerAddress,
            lastHeartbeatAtMs: isFirst ? heartbeatAtMs : Math.max(heartbeatAtMs, known.lastHeartbeatAtMs),
        });
        return isFirst;
    }

    /** Removes peers whose last heartbeat is older than the retention time. */
    tick(nowMs: number): void {
        for (const [id, row] of this.rows) {
            if (nowMs - row.lastHeartbeatAtMs > peerRetentionMs) {
                this.rows.delete(id);
                this.lastMessages.delete(id);
            }
        }
    }
}
