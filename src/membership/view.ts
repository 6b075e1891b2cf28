import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";

/** States that an upstream announces. */
export const UpstreamState = {
    starting: "starting",
    ready: "ready",
    draining: "draining",
} as const;

export type UpstreamState = typeof UpstreamState[keyof typeof UpstreamState];

/** Identity, address and state that an upstream announces, and renews before its lease expires. */
export interface Announcement {
    readonly id: UpstreamId;
    readonly service: ServiceName;
    /** `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly state: UpstreamState;
    /** Increases with each start of the instance. */
    readonly incarnation: number;
    /** Increases with each announcement of an incarnation. */
    readonly sequence: number;
    readonly leaseMs: number;
}

/** Row of the upstream table with the fields that routing needs. */
export interface UpstreamRow {
    readonly announcement: Announcement;
    /** Earliest possible send time of the latest evidence of readiness, in this process's monotonic milliseconds. */
    readonly evidenceAtMs: number;
    /** When the incarnation became ready; start of its ramp. */
    readonly readySinceMs: number | undefined;
}

/** Read access to the upstream table. */
export interface UpstreamView {
    /** Returns the upstreams that may get new requests now: ready, with recent evidence, and not overridden. */
    eligibleUpstreams(service: ServiceName, nowMs: number): readonly UpstreamRow[];
    findUpstream(service: ServiceName, id: UpstreamId): UpstreamRow | undefined;
}

/** Row of the peer table with the fields that routing needs. */
export interface PeerRow {
    readonly id: EntryId;
    readonly availabilityZone: string;
    readonly incarnation: number;
    /** Revision of the peer's catalogue. */
    readonly revision: number;
    readonly isDraining: boolean;
    readonly lastHeartbeatAtMs: number;
}

/** Read access to the peer table. */
export interface PeerView {
    readonly selfId: EntryId;
    readonly availabilityZone: string;
    /** Whether this entry is draining and therefore owns no services. */
    readonly isSelfDraining?: boolean;
    /** Returns the peers with a recent heartbeat; this entry is not one of them. */
    livePeers(nowMs: number): readonly PeerRow[];
    findPeer(id: EntryId): PeerRow | undefined;
}
