import { randomBytes } from "node:crypto";
import type { Member } from "../control/messages.js";
import type { ControlLogger, ListenAddress } from "../control/options.js";
import { type AddressedMessage, messageMethod, PeerLinks } from "../control/peerLinks.js";
import { ReplicaHost } from "../control/replicaHost.js";
import { defaultReplicaLimits, type ReplicaLimits } from "../control/replicaState.js";
import type { Clock } from "../core/clock.js";
import { ControlError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import { serveMetrics } from "../metrics/metricsServer.js";
import { ControlStore } from "../storage/controlStore.js";
import { FileDisk } from "../storage/fileDisk.js";
import { ChannelServer } from "../transport/channel.js";
import { DirectoryService } from "./directoryService.js";
import { DirectoryState } from "./directoryState.js";
import { type DirectoryHost, foundingIdentity, GroupFormation } from "./groupFormation.js";
import { areParametersSound } from "./messageChecks.js";
import {
    DirectoryMethod,
    type EntryReport,
    type HeardParams,
    type ProposeParams,
    type WatchParams,
} from "./messages.js";

const identityBytes = 6;
const housekeepingMs = 1000;
/** Longest wait for another VM to take the place of one that stops. */
const handoverMs = 1500;
const handoverPollMs = 50;

/**
 * Times of the group. A heartbeat crosses availability zones twice per follower, so it is slower than the default; a
 * new leader is found within about two seconds.
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
    /** For upstreams and operators, `host:port`; told to the other processes. */
    readonly operatorAddress: string;
    /** Where metrics are served; nowhere when undefined. */
    readonly metricsListen: ListenAddress | undefined;
    readonly dataFolder: string;
    /** Shared by all processes of the system. */
    readonly clusterSecret: string;
    /** Peer addresses at which members may be found. */
    readonly seeds: readonly string[];
    readonly isFirstStart: boolean;
    /** VMs that may be lost at the same time. */
    readonly toleratedLosses: number;
    readonly heartbeatIntervalMs: number;
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
    /** Hands the vote over when another VM can take it, and stops. */
    drain(): Promise<void>;
    close(): Promise<void>;
}

/** Starts a control VM. Rejects with StorageError when its data folder is damaged. */
export async function startDirectory(options: DirectoryOptions): Promise<RunningDirectory> {
    const daemon = new DirectoryDaemon(options);
    await daemon.start();
    return daemon;
}

class DirectoryDaemon implements RunningDirectory {
    readonly service: DirectoryService;
    readonly host: DirectoryHost;
    private readonly self: Member;
    private readonly links: PeerLinks;
    private readonly peers: ChannelServer;
    private readonly formation: GroupFormation;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: DirectoryOptions) {
        const { peerListen, seeds, isFirstStart, toleratedLosses, logger, clock, random } = options;
        const peerAddress = `${peerListen.host}:${peerListen.port}`;
        const store = new ControlStore(new FileDisk(options.dataFolder));
        const isFounder = isFirstStart && seeds.includes(peerAddress);
        const selfId = store.openIdentity(() =>
            isFounder ? foundingIdentity(peerAddress) : `${peerAddress}.${randomBytes(identityBytes).toString("hex")}`
        );
        this.self = { id: selfId, peerAddress };
        const channel = { selfId, secret: options.clusterSecret };
        this.links = new PeerLinks(channel);
        const limits = { ...directoryReplicaLimits, votersWanted: 2 * toleratedLosses + 1 };
        const { links } = this;
        const machine = new DirectoryState();
        const onFailed = (error: Error) => {
            logger.error("the control VM stops", { reason: error.message });
            options.onFailed(error);
        };
        this.host = new ReplicaHost({ selfId, machine, limits, store, links, clock, random, logger, onFailed });
        const { heartbeatIntervalMs } = options;
        this.service = new DirectoryService({ log: this.host, links, clock, logger, heartbeatIntervalMs });
        this.formation = new GroupFormation({ host: this.host, links, logger, self: this.self, seeds, isFirstStart });
        this.peers = new ChannelServer(channel, (method, params, from) => this.answer(method, params, from));
    }

    async start(): Promise<void> {
        const { peerListen, metricsListen, logger } = this.options;
        await this.peers.listen(peerListen.host, peerListen.port);
        if (metricsListen !== undefined) {
            await serveMetrics(metricsListen, this.service.metrics.registry);
        }
        this.links.connectAll();
        this.formation.start();
        this.timer = setInterval(() => this.keepHouse(), housekeepingMs);
        logger.info("control VM started", { id: this.self.id, isMember: this.host.isMember });
    }

    async drain(): Promise<void> {
        const { clock, logger } = this.options;
        const { voters, learners } = this.host.members;
        logger.info("control VM drains", { id: this.self.id, learners: learners.length });
        const others = [...voters, ...learners].filter(member => member.id !== this.self.id);
        others.forEach(member => this.links.notify(member.peerAddress, DirectoryMethod.leaving, this.self));
        this.host.submit({ kind: "leaving", memberId: this.self.id });
        const untilMs = clock.monotonicMs() + handoverMs;
        while (learners.length > 0 && this.host.isMember && clock.monotonicMs() < untilMs) {
            await new Promise(resolve => setTimeout(resolve, handoverPollMs));
        }
        await this.close();
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        this.formation.close();
        this.host.close();
        this.links.close();
        await this.peers.close();
    }

    private answer(method: string, params: unknown, from: string): unknown {
        const { service, host } = this;
        if (!areParametersSound(method, params)) {
            this.options.logger.warn("refused a message", { method, from });
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
                return service.noteEntry(params as EntryReport);
            case DirectoryMethod.propose:
                return service.answerProposal(params as ProposeParams);
            case DirectoryMethod.readVersion:
                return service.confirmVersion();
            case DirectoryMethod.reportHeard:
                return service.noteReported(params as HeardParams, from);
            case DirectoryMethod.join:
                return this.formation.answerJoin({ ...params as Member, id: from });
            case DirectoryMethod.leaving:
                return host.submit({ kind: "leaving", memberId: from });
            default:
                throw new ControlError("method-unknown", { method });
        }
    }

    private keepHouse(): void {
        this.service.keepHouse();
        this.announceNode();
    }

    /** Lets the other processes know where this VM is reached. */
    private announceNode(): void {
        const { operatorAddress, availabilityZone } = this.options;
        const { peerAddress } = this.self;
        const known = this.host.state.nodes.find(node => node.peerAddress === peerAddress);
        if (known?.operatorAddress !== operatorAddress || known.availabilityZone !== availabilityZone) {
            void this.service.announceNode({ peerAddress, operatorAddress, availabilityZone });
        }
    }
}
