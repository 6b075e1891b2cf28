import type { EntryId } from "../core/ids.js";
import type { PeerRow, PeerView } from "./view.js";

/** A peer without a heartbeat for this long is not live. */
export const peerTimeoutMs = 1500;
/** Peers without a heartbeat for this long are removed; until then they still get heartbeats, in case they return. */
const peerRetentionMs = 600_000;

/**
 * Timestamps in a message from A to B that bound its age without synchronized clocks. They echo the last heartbeat that
 * A got from B: B sent it at `echoMs` on B's clock, and A sent this message `heldMs` after its arrival, so A sent this
 * message no earlier than `echoMs + heldMs` on B's clock.
 */
export interface EchoStamp {
    /** Send time of this message on the sender's clock. */
    readonly sentAtMs: number;
    /** Undefined before the first heartbeat from the receiver. */
    readonly echoMs: number | undefined;
    /** Incarnation of the receiver whose clock `echoMs` refers to. */
    readonly echoIncarnation: number | undefined;
    readonly heldMs: number;
}

/** Parameters of `peer.heartbeat`. */
export interface Heartbeat {
    readonly stamp: EchoStamp;
    readonly region: string;
    readonly availabilityZone: string;
    readonly incarnation: number;
    /** Revision of the sender's catalogue. */
    readonly revision: number;
    readonly isDraining: boolean;
    /** Whether the sender's catalogue is confirmed to be in force, so that it accepts requests. */
    readonly isServing: boolean;
    /** `host:port` for callers. */
    readonly address: string;
    /** `host:port` for the system's own processes. */
    readonly peerAddress: string;
}

/** Complete row of the peer table, with the fields that routing does not need. */
export interface PeerTableRow extends PeerRow {
    readonly address: string;
    readonly peerAddress: string;
    readonly isServing: boolean;
}

interface LastHeartbeat {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
    readonly incarnation: number;
}

/** Identity of the entry that has the table; the table has no row for it. */
export interface EntryIdentity {
    readonly id: EntryId;
    readonly region: string;
    readonly availabilityZone: string;
    readonly incarnation: number;
}

/** Table of the other entries of the region, from their heartbeats. */
export class PeerTable implements PeerView {
    /** Whether this entry is draining and therefore owns no services. */
    isSelfDraining = false;
    private readonly rows = new Map<EntryId, PeerTableRow>();
    private readonly lastHeartbeats = new Map<EntryId, LastHeartbeat>();

    constructor(private readonly identity: EntryIdentity) {}

    get selfId(): EntryId {
        return this.identity.id;
    }

    get availabilityZone(): string {
        return this.identity.availabilityZone;
    }

    livePeers(nowMs: number): readonly PeerTableRow[] {
        return [...this.rows.values()].filter(row => nowMs - row.lastHeartbeatAtMs <= peerTimeoutMs);
    }

    findPeer(id: EntryId): PeerTableRow | undefined {
        return this.rows.get(id);
    }

    /** Returns all known peers, live or not. */
    allPeers(): readonly PeerTableRow[] {
        return [...this.rows.values()];
    }

    /** Returns the stamp for a message to a peer. */
    createStamp(peer: EntryId, nowMs: number): EchoStamp {
        const last = this.lastHeartbeats.get(peer);
        return {
            sentAtMs: nowMs,
            echoMs: last?.sentAtMs,
            echoIncarnation: last?.incarnation,
            heldMs: last === undefined ? 0 : nowMs - last.receivedAtMs,
        };
    }

    /** Returns a lower bound of the send time on this entry's clock; undefined without an echo of this process. */
    earliestSentAtMs(stamp: EchoStamp): number | undefined {
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
        this.lastHeartbeats.set(from, { sentAtMs, receivedAtMs: nowMs, incarnation: heartbeat.incarnation });
        const isFirst = known?.incarnation !== heartbeat.incarnation;
        // A heartbeat counts from its earliest possible send time, so that messages delayed in a stalled connection do
        // not make a dead peer look live. Without that bound, only the first heartbeat of an incarnation counts.
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

    /** Removes the peers without a heartbeat for the retention time. */
    tick(nowMs: number): void {
        for (const [id, row] of this.rows) {
            if (nowMs - row.lastHeartbeatAtMs > peerRetentionMs) {
                this.rows.delete(id);
                this.lastHeartbeats.delete(id);
            }
        }
    }
}
