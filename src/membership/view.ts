import type { EntryId, ServiceName, UpstreamId } from "../core/ids.js";

/** States that an upstream announces. */
export const UpstreamState = {
    starting: "starting",
    ready: "ready",
    draining: "draining",
} as const;

export type UpstreamState = typeof UpstreamState[keyof typeof UpstreamState];

/** What an upstream says of itself when it announces or renews. */
export interface Announcement {
    readonly id: UpstreamId;
    readonly service: ServiceName;
    /** `host:port`. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly state: UpstreamState;
    /** Rises with each start of the instance. */
    readonly incarnation: number;
    /** Rises with each announcement of an incarnation. */
    readonly sequence: number;
    readonly leaseMs: number;
}

/** Row of the upstream table, as routing sees it. */
export interface UpstreamRow {
    readonly announcement: Announcement;
    /** When the newest evidence of the state was sent by the upstream, in this process's monotonic time. */
    readonly evidenceAtMs: number;
    /** When the instance first was ready here; start of its ramp. */
    readonly readySinceMs: number | undefined;
}

/** Read access to the upstream table. */
export interface UpstreamView {
    /** Rows that may get new work now: ready, recent evidence, not overridden. */
    eligibleUpstreams(service: ServiceName, nowMs: number): readonly UpstreamRow[];
    findUpstream(service: ServiceName, id: UpstreamId): UpstreamRow | undefined;
}

/** Row of the peer table: another entry, as seen here. */
export interface PeerRow {
    readonly id: EntryId;
    readonly availabilityZone: string;
    readonly incarnation: number;
    readonly revision: number;
    readonly isDraining: boolean;
    readonly heardAtMs: number;
}

/** Read access to the peer table. */
export interface PeerView {
    readonly selfId: EntryId;
    readonly availabilityZone: string;
    /** Whether this entry itself is draining; it then owns no services. */
    readonly isSelfDraining?: boolean;
    /** Peers with a recent heartbeat, without this entry. */
    livePeers(nowMs: number): readonly PeerRow[];
    findPeer(id: EntryId): PeerRow | undefined;
}
