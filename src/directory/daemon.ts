import { randomBytes } from "node:crypto";
import net from "node:net";
import type { Member } from "../control/messages.js";
import type { ControlLogger, ListenAddress } from "../control/options.js";
import { type AddressedMessage, messageMethod, PeerLinks } from "../control/peerLinks.js";
import { ReplicaHost } from "../control/replicaHost.js";
import { defaultReplicaLimits, type ReplicaLimits } from "../control/replicaState.js";
import type { Clock } from "../core/clock.js";
import { ControlError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import { serveMetrics } from "../metrics/metricsServer.js";
import type { QuotaBounds } from "../quotas/quotaBounds.js";
import { ControlStore } from "../storage/controlStore.js";
import { FileDisk } from "../storage/fileDisk.js";
import { ChannelServer } from "../transport/channel.js";
import { listenOn } from "../transport/listen.js";
import { DirectoryService } from "./directoryService.js";
import { DirectoryState } from "./directoryState.js";
import { type DirectoryHost, foundingIdentity, GroupFormation } from "./groupFormation.js";
import { areParametersValid } from "./messageChecks.js";
import {
    DirectoryMethod,
    type EntryListParams,
    type EntryReport,
    type HeartbeatReport,
    type ProposeParams,
    type WatchParams,
} from "./messages.js";

const identitySuffixBytes = 6;
const maintenanceIntervalMs = 1000;
/** Longest wait for another VM to replace a stopping one as a voter, if the options set none. */
const defaultHandoverTimeoutMs = 1500;
const handoverPollIntervalMs = 50;
/** The notice of a stop is repeated, since it can be lost, and a new leader does not know it. */
const leavingNoticeIntervalMs = 250;

/**
 * Timing of the group. Each heartbeat and its answer cross availability zones for each follower, so the interval is
 * longer than the default; a new leader is elected within about two seconds.
 */
export const directoryReplicaLimits: ReplicaLimits = {
    ...defaultReplicaLimits,
    heartbeatMs: 250,
    minElectionMs: 900,
    maxElectionMs: 1700,
    firstElectionMs: 300,
    maxCandidacyMs: 300,
    quorumLossMs: 1500,
    lostAfterMs: 1500,
};

/** Options of a control VM of a directory. */
export interface DirectoryOptions {
    readonly availabilityZone: string;
    /** For other processes of the system. */
    readonly peerListen: ListenAddress;
    /** For upstreams and operators, `host:port`; published in the directory as the address for heartbeats. */
    readonly operatorAddress: string;
    /** Address of the metrics; undefined if they are not served. */
    readonly metricsListen: ListenAddress | undefined;
    readonly dataFolder: string;
    /** Shared by all processes of the system. */
    readonly clusterSecret: string;
    /** Peer addresses at which members may be found. */
    readonly seeds: readonly string[];
    /** Whether the whole system starts for the first time, with empty disks. */
    readonly isFirstStart: boolean;
    /** Control VMs that may be lost at the same time. */
    readonly toleratedLosses: number;
    readonly heartbeatIntervalMs: number;
    /** Bounds of the quotas of organisations. */
    readonly quotaBounds?: QuotaBounds;
    /** Longest wait for another VM to replace this one as a voter before it stops. */
    readonly handoverTimeoutMs?: number;
    readonly logger: ControlLogger;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called once when the disk fails. */
    readonly onFailed: (error: Error) => void;
}

/** A running control VM of a directory. */
export interface RunningDirectory {
    readonly service: DirectoryService;
    readonly host: DirectoryHost;
    /** Lets a learner replace this VM as a voter, if there is one, and stops. */
    drain(): Promise<void>;
    close(): Promise<void>;
}

/** Starts a control VM. Rejects with StorageError when its data folder is damaged. */
export async function startDirectory(options: DirectoryOptions): Promise<RunningDirectory> {
    // The port is bound before the data folder is opened: until it is free, another process may write to the folder.
    const peerSocketServer = net.createServer();
    await listenOn(peerSocketServer, options.peerListen);
    const daemon = new DirectoryDaemon(options, peerSocketServer);
    daemon.start();
    return daemon;
}

class DirectoryDaemon implements RunningDirectory {
    readonly service: DirectoryService;
    readonly host: DirectoryHost;
    private readonly self: Member;
    private readonly links: PeerLinks;
    private readonly peerServer: ChannelServer;
    private readonly formation: GroupFormation;
    private readonly votersWanted: number;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: DirectoryOptions, peerSocketServer: net.Server) {
        const { peerListen, seeds, isFirstStart, toleratedLosses, logger, clock, random } = options;
        const peerAddress = `${peerListen.host}:${peerListen.port}`;
        const store = new ControlStore(new FileDisk(options.dataFolder));
        const isFounder = isFirstStart && seeds.includes(peerAddress);
        const selfId = store.openIdentity(() =>
            isFounder
                ? foundingIdentity(peerAddress)
                : `${peerAddress}.${randomBytes(identitySuffixBytes).toString("hex")}`
        );
        this.self = { id: selfId, peerAddress };
        const channel = { selfId, secret: options.clusterSecret };
        this.links = new PeerLinks(channel);
        this.votersWanted = Math.max(2 * toleratedLosses + 1, seeds.length);
        const limits = { ...directoryReplicaLimits, votersWanted: this.votersWanted };
        const { links } = this;
        const machine = new DirectoryState();
        const onFailed = (error: Error) => {
            logger.error("the control VM stops", { reason: error.message });
            options.onFailed(error);
        };
        this.host = new ReplicaHost({ selfId, machine, limits, store, links, clock, random, logger, onFailed });
        const { heartbeatIntervalMs, quotaBounds } = options;
        this.service = new DirectoryService({
            log: this.host,
            links,
            clock,
            logger,
            heartbeatIntervalMs,
            quotaBounds,
            self: { peerAddress, availabilityZone: options.availabilityZone },
            readQueuedBytes: () => this.peerServer.queuedBytes,
        });
        this.formation = new GroupFormation({ host: this.host, links, logger, self: this.self, seeds, isFirstStart });
        this.peerServer = new ChannelServer(
            channel,
            (method, params, from) => this.handleCall(method, params, from),
            peerSocketServer,
        );
        this.peerServer.onUnreadAtClose = (peerId, unreadBytes) => this.service.recordUnread(peerId, unreadBytes);
    }

    start(): void {
        const { metricsListen, logger } = this.options;
        if (metricsListen !== undefined) {
            serveMetrics(metricsListen, this.service.metrics.registry, logger);
        }
        this.links.connectAll();
        this.formation.start();
        this.timer = setInterval(() => this.runMaintenance(), maintenanceIntervalMs);
        logger.info("control VM started", { id: this.self.id, isMember: this.host.isMember });
    }

    async drain(): Promise<void> {
        const { clock, logger, handoverTimeoutMs = defaultHandoverTimeoutMs } = this.options;
        const { voters, learners } = this.host.members;
        const canHandOver = this.host.isMember && (learners.length > 0 || voters.length > this.votersWanted);
        logger.info("control VM drains", { id: this.self.id, learners: learners.length, canHandOver });
        // A request to join would withdraw the notice.
        this.formation.close();
        this.announceLeaving();
        const startMs = clock.monotonicMs();
        let announcedAtMs = startMs;
        while (canHandOver && !this.isRemoved() && clock.monotonicMs() - startMs < handoverTimeoutMs) {
            await new Promise(resolve => setTimeout(resolve, handoverPollIntervalMs));
            if (clock.monotonicMs() - announcedAtMs >= leavingNoticeIntervalMs) {
                announcedAtMs = clock.monotonicMs();
                this.announceLeaving();
            }
        }
        logger.info("control VM drained", {
            isRemoved: this.isRemoved(),
            afterMs: Math.round(clock.monotonicMs() - startMs),
        });
        await this.close();
    }

    private announceLeaving(): void {
        const { voters, learners } = this.host.members;
        const others = [...voters, ...learners].filter(member => member.id !== this.self.id);
        others.forEach(member => this.links.notify(member.peerAddress, DirectoryMethod.leaving, this.self));
        this.host.submit({ kind: "leaving", memberId: this.self.id });
    }

    /** Until the removal is committed, a majority may still need this VM. */
    private isRemoved(): boolean {
        return !this.host.isMember && this.host.isSettled;
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        this.formation.close();
        this.host.close();
        this.links.close();
        await this.peerServer.close();
    }

    private handleCall(method: string, params: unknown, from: string): unknown {
        const { service, host } = this;
        if (!areParametersValid(method, params)) {
            this.options.logger.warn("rejected a malformed message", { method, from });
            throw new ControlError("message-malformed", { method });
        }
        switch (method) {
            case messageMethod: {
                const { to, message } = params as AddressedMessage;
                if (to === this.self.id) {
                    host.submit({ kind: "message", from, message });
                }
                return undefined;
            }
            case DirectoryMethod.watch:
                return service.watch(params as WatchParams);
            case DirectoryMethod.reportEntry:
                return service.recordEntry(params as EntryReport);
            case DirectoryMethod.propose:
                return service.handleProposal(params as ProposeParams);
            case DirectoryMethod.listPeers:
                return service.listRelayPeers();
            case DirectoryMethod.readVersion:
                return service.confirmReadRevision();
            case DirectoryMethod.reportHeartbeats:
                return service.recordHeartbeatReport(params as HeartbeatReport, from);
            case DirectoryMethod.entryList:
                return service.listAttachedEntries(params as EntryListParams);
            case DirectoryMethod.join:
                return this.formation.handleJoin({ ...params as Member, id: from });
            case DirectoryMethod.leaving:
                return host.submit({ kind: "leaving", memberId: from });
            default:
                throw new ControlError("method-unknown", { method });
        }
    }

    private runMaintenance(): void {
        this.service.runMaintenance();
        this.announceNode();
    }

    /** Publishes the addresses of this VM in the directory if they differ from the published ones. */
    private announceNode(): void {
        const { operatorAddress, availabilityZone } = this.options;
        const { peerAddress } = this.self;
        const registeredNode = this.host.state.nodes.find(node => node.peerAddress === peerAddress);
        if (
            registeredNode?.operatorAddress !== operatorAddress || registeredNode.availabilityZone !== availabilityZone
        ) {
            void this.service.publishNode({ peerAddress, operatorAddress, availabilityZone });
        }
    }
}
