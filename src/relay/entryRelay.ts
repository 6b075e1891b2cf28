import type { Clock } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { RelayPeer } from "../directory/messages.js";
import type { Registration } from "../directory/model.js";
import type { GatewayLogger } from "../gateway/options.js";
import type { LeasedConnection, UpstreamConnections } from "../gateway/upstreamConnections.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { ResponseHead } from "../requests/model.js";
import { PartitionDetector, Reachability } from "./partitionDetector.js";
import { PeerSelector } from "./peerSelector.js";
import { checkInstance, chooseChecked } from "./reachabilityCheck.js";
import { isRelayTokenValid, type SignedRequest, signRelayedRequest } from "./relayToken.js";

/** Interval at which it is determined whether a check for recovery is due. */
const recoveryPollMs = 100;
/** An idle connection to a peer is reused only for this time; an older one may be closed by the peer meanwhile. */
const maxPeerIdleMs = 1000;

/** Dependencies of an EntryRelay. */
export interface EntryRelayOptions {
    readonly secret: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: GatewayLogger;
    readonly metrics: Pick<GatewayMetrics, "cutOff">;
    /** Connections to peers. */
    readonly connections: UpstreamConnections;
    /** Lists the instances that may be probed. */
    readonly listCheckable: () => readonly Registration[];
    /** Returns the health check path of a service; undefined if the service is not known. */
    readonly findHealthPath: (service: string) => string | undefined;
    /** Receives the head of an instance's response to a check. */
    readonly onCheckHead: (id: UpstreamId, head: ResponseHead) => void;
    /** Called when the reachability has changed, which the control VM should learn at once. */
    readonly onChanged: () => void;
}

/** A peer with a connection for one relayed request. */
export interface PeerLease {
    readonly peer: RelayPeer;
    readonly connection: LeasedConnection;
}

/** Relays requests through other entries while this entry is partitioned from the instances. */
export class EntryRelay {
    private readonly detector = new PartitionDetector();
    private readonly selector: PeerSelector;
    private isChecking = false;
    private isClosed = false;
    private recoveryTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: EntryRelayOptions) {
        this.selector = new PeerSelector(options.random);
    }

    /** Whether no instance can be reached. */
    get isCutOff(): boolean {
        return this.detector.reachability === Reachability.cutOff;
    }

    /** Whether requests that cannot be placed are relayed: the entry is cut off or can open no new connections. */
    get isRelaying(): boolean {
        return this.detector.reachability !== Reachability.reachable;
    }

    /** Whether the control VM should send peers: the entry relays, or may have to after the check under way. */
    get wantsPeers(): boolean {
        return this.isRelaying || this.isChecking;
    }

    get hasPeers(): boolean {
        return this.selector.hasPeers(this.nowMs());
    }

    setPeers(peers: readonly RelayPeer[]): void {
        this.selector.setPeers(peers, this.nowMs());
    }

    /** Records a response of an instance to a request or a load probe. */
    recordResponse(isOnNewConnection: boolean): void {
        this.detector.recordResponse(isOnNewConnection, this.nowMs());
    }

    /** Records a request or load probe without a response. */
    recordFailure(id: UpstreamId, isConnectFailure: boolean): void {
        this.detector.recordFailure(id, isConnectFailure, this.nowMs());
        this.checkIfDue(() => this.isServiceLost(id));
    }

    /** Leases a connection to a peer that was not tried yet; undefined if no peer can take a request. */
    leasePeer(tried: ReadonlySet<string>): PeerLease | undefined {
        const nowMs = this.nowMs();
        const peer = this.selector.take(tried, nowMs);
        const connection = peer && this.options.connections.lease(peer.address, nowMs, maxPeerIdleMs);
        if (peer === undefined || connection === undefined) {
            if (peer !== undefined) {
                this.selector.release(peer);
            }
            return undefined;
        }
        return { peer, connection };
    }

    /** Ends a relayed request; a peer that failed or was cut off itself is left out for a time. */
    releasePeer({ peer, connection }: PeerLease, isReusable: boolean, hasFailed: boolean): void {
        this.selector.release(peer);
        if (hasFailed) {
            this.selector.recordFailure(peer, this.nowMs());
        }
        if (isReusable) {
            connection.release();
        }
        else {
            connection.discard();
        }
    }

    /** Returns the token that shows a peer that the request is relayed. */
    sign(request: SignedRequest): string {
        return signRelayedRequest(this.options.secret, request, this.options.clock.now().getTime());
    }

    /** Returns whether another entry of the system made a token for the request. */
    isTokenValid(request: SignedRequest, token: string): boolean {
        return isRelayTokenValid(this.options.secret, request, token, this.options.clock.now().getTime());
    }

    close(): void {
        this.isClosed = true;
        clearInterval(this.recoveryTimer);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /** A service may have too few instances for a suspicion by their number. */
    private isServiceLost(failedId: UpstreamId): boolean {
        const registrations = this.options.listCheckable();
        const service = registrations.find(({ id }) => id === failedId)?.service;
        const ofService = registrations.filter(registration => registration.service === service);
        return ofService.length > 0 && ofService.every(({ id }) => this.detector.hasFailed(id, this.nowMs()));
    }

    private checkIfDue(isServiceLost?: () => boolean): void {
        const nowMs = this.nowMs();
        if (!this.isChecking && !this.isClosed && this.detector.shouldCheck(nowMs, isServiceLost)) {
            this.isChecking = true;
            this.detector.startCheck(nowMs);
            void this.check(this.options.listCheckable(), nowMs).finally(() => this.isChecking = false);
        }
    }

    private async check(checkable: readonly Registration[], startedAtMs: number): Promise<void> {
        const { random, logger, metrics, findHealthPath, onCheckHead, onChanged } = this.options;
        const checked = chooseChecked(checkable, this.isRelaying, random);
        const heads = await Promise.all(checked.map(async ({ id, address, service }) => {
            const path = findHealthPath(service);
            const head = path === undefined ? undefined : await checkInstance(address, path);
            if (head !== undefined) {
                onCheckHead(id, head);
            }
            return { isChecked: path !== undefined, head };
        }));
        const checkedCount = heads.filter(result => result.isChecked).length;
        const answeredCount = heads.filter(result => result.head !== undefined).length;
        const isChanged = this.detector.applyCheck({ startedAtMs, checkedCount, answeredCount });
        if (!isChanged || this.isClosed) {
            return;
        }
        const { reachability } = this.detector;
        logger.warn("reachability of the instances changed", { reachability, checkedCount, answeredCount });
        metrics.cutOff.set(this.isRelaying ? 1 : 0);
        clearInterval(this.recoveryTimer);
        if (this.isRelaying) {
            this.recoveryTimer = setInterval(() => this.checkIfDue(), recoveryPollMs);
        }
        onChanged();
    }
}
