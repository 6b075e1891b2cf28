import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigSyncParams } from "../control/operatorApi.js";
import type { ServiceName } from "../core/ids.js";
import { ChannelServer } from "../transport/channel.js";
import { type AnnouncementAnswer, formatEcho, parseAnnouncement, renewIntervalMs } from "./announcements.js";
import { EntryCore, unconfirmedAnswer } from "./core.js";
import { EntryShell } from "./entryShell.js";
import { FrontServer } from "./frontServer.js";
import { ControlLinks, PeerLinks, toPeerMessage } from "./links.js";
import type { EntryOptions } from "./options.js";

const tickIntervalMs = 5;
/**
 * Peers list a draining entry for at most 3 s, and callers keep an answer for 5 s: after this time no caller has an
 * answer that names it.
 */
const listedAfterDrainMs = 8000;
const drainPollIntervalMs = 100;
/** After a pause of the process, events that had been waiting count as old for this long. */
const pauseGraceMs = 100;
const pauseThresholdMs = 100;

/** A running entry. */
export interface RunningEntry {
    /** `host:port` for callers and upstreams. */
    readonly address: string;
    /** `host:port` for other processes of the system. */
    readonly peerAddress: string;
    /** Requests in flight. */
    inFlight(): number;
    /** Stops gracefully; resolves when the last request has ended. */
    drain(): Promise<void>;
    /** Stops at once. */
    close(): Promise<void>;
}

/** Starts an entry. Rejects when an address cannot be bound. */
export async function startEntry(options: EntryOptions): Promise<RunningEntry> {
    const daemon = new EntryDaemon(options);
    await daemon.start();
    return daemon;
}

class EntryDaemon implements RunningEntry {
    address = "";
    peerAddress = "";
    private readonly incarnation: number;
    private readonly front: FrontServer;
    private readonly peerServer: ChannelServer;
    private readonly peerLinks: PeerLinks;
    private readonly controlLinks: ControlLinks;
    private core!: EntryCore;
    private shell!: EntryShell;
    private tickTimer: NodeJS.Timeout | undefined;
    private tickedAtMs = 0;
    private pauseEndedAtMs = Number.NEGATIVE_INFINITY;
    private pauseMs = 0;

    constructor(private readonly options: EntryOptions) {
        const channel = { selfId: options.id, secret: options.clusterSecret };
        this.incarnation = options.clock.now().getTime();
        this.front = new FrontServer(options.limits, {
            isService: name => this.core.config.catalogue.services[name] !== undefined,
            refusal: () => this.core.isServing(this.nowMs()) ? undefined : unconfirmedAnswer,
            onRequest: (service, path, incoming, outgoing) => this.onRequest(service, path, incoming, outgoing),
            onAnnouncement: text => this.onAnnouncement(text),
            listEntries: service => this.listEntries(service),
        });
        this.peerServer = new ChannelServer(channel, (method, params, from) => this.onPeerCall(method, params, from));
        this.peerLinks = new PeerLinks(channel);
        this.controlLinks = new ControlLinks(options.controlAddresses, channel);
    }

    async start(): Promise<void> {
        const { options } = this;
        const peerPort = await this.peerServer.listen(options.peerListen.host, options.peerListen.port);
        this.peerAddress = `${options.peerListen.host}:${peerPort}`;
        const port = await this.front.listen(options.listen);
        this.address = `${options.listen.host}:${port}`;
        const { address, peerAddress, incarnation } = this;
        this.core = new EntryCore({ ...options, address, peerAddress, incarnation });
        this.shell = new EntryShell(options, this.core, this.peerLinks, () => this.syncControl());
        this.tickedAtMs = this.nowMs();
        this.tickTimer = setInterval(() => this.tick(), tickIntervalMs);
        options.logger.info("entry started", { id: options.id, address, peerAddress, incarnation });
    }

    inFlight(): number {
        return this.shell.exchangeCount;
    }

    async drain(): Promise<void> {
        const { logger, id } = this.options;
        logger.info("entry drains", { id, inFlight: this.inFlight() });
        this.shell.run({ kind: "drain" });
        this.shell.closeConnections = true;
        await delay(listedAfterDrainMs);
        const closed = new Promise<void>(resolve => this.front.server.close(() => resolve()));
        const timer = setInterval(() => this.front.server.closeIdleConnections(), drainPollIntervalMs);
        await closed;
        clearInterval(timer);
        while (this.inFlight() > 0) {
            await delay(drainPollIntervalMs);
        }
        logger.info("entry drained", { id });
        await this.close();
    }

    async close(): Promise<void> {
        clearInterval(this.tickTimer);
        this.front.server.close();
        this.front.server.closeAllConnections();
        this.peerLinks.close();
        this.controlLinks.close();
        await this.peerServer.close();
        await this.shell.close();
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private tick(): void {
        const nowMs = this.nowMs();
        const gapMs = nowMs - this.tickedAtMs;
        if (gapMs > pauseThresholdMs) {
            this.pauseMs = gapMs;
            this.pauseEndedAtMs = nowMs;
            this.options.logger.warn("the process was paused", { id: this.options.id, gapMs: Math.round(gapMs) });
        }
        this.tickedAtMs = nowMs;
        this.shell.run({ kind: "tick" });
        this.openPeerLinks();
    }

    /** The catalogue's address of an entry goes before the one in its heartbeats. */
    private openPeerLinks(): void {
        const { entryVms } = this.core.config.catalogue;
        for (const peer of this.core.peers.allPeers()) {
            this.peerLinks.setAddress(peer.id, entryVms[peer.id]?.peerAddress ?? peer.peerAddress);
        }
        for (const id of this.core.config.regionEntryIds()) {
            this.peerLinks.setAddress(id, entryVms[id].peerAddress);
        }
    }

    /** Longest time that an event of this moment can have waited in this process's buffers. */
    private lagMs(nowMs: number): number {
        const isAfterPause = nowMs - this.pauseEndedAtMs < pauseGraceMs;
        return Math.max(nowMs - this.tickedAtMs, isAfterPause ? this.pauseMs : 0);
    }

    private onRequest(service: ServiceName, path: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
        this.shell.acceptRequest(service, path, incoming, outgoing);
    }

    private onAnnouncement(text: string): AnnouncementAnswer | string {
        const nowMs = this.nowMs();
        const parsed = parseAnnouncement(text, this.incarnation, nowMs);
        if (typeof parsed === "string") {
            return parsed;
        }
        const { announcement, ageMs } = parsed;
        this.shell.run({ kind: "announcement", announcement, ageMs: ageMs ?? this.lagMs(nowMs) });
        return {
            renewInMs: renewIntervalMs,
            renewAt: this.core.listRenewalAddresses(nowMs),
            echo: formatEcho(this.incarnation, nowMs),
        };
    }

    private listEntries(service: ServiceName | undefined) {
        const isKnown = service === undefined || !this.core.isServing(this.nowMs()) ||
            this.core.config.catalogue.services[service] !== undefined;
        return isKnown ? this.core.listEntries(this.nowMs()) : undefined;
    }

    private onPeerCall(method: string, params: unknown, from: string): void {
        this.shell.run({ kind: "peer-message", from, message: toPeerMessage(method, params) });
    }

    private syncControl(): void {
        const sentAtMs = this.nowMs();
        void this.controlLinks.sync(this.syncParams(sentAtMs)).then(answer => {
            if (answer !== undefined) {
                const { isQuorumConfirmed, revision } = answer;
                // Undefined does not survive the encoding of a message.
                const catalogue = answer.catalogue ?? undefined;
                this.shell.run({ kind: "control-answer", isQuorumConfirmed, revision, catalogue, sentAtMs });
            }
        });
    }

    private syncParams(nowMs: number): ConfigSyncParams {
        const { id, availabilityZone, region } = this.options;
        const { core } = this;
        return {
            entryId: id,
            availabilityZone,
            region,
            incarnation: this.incarnation,
            revision: core.config.catalogue.revision,
            isDraining: core.isDraining,
            isConfirmed: core.isServing(nowMs),
            measuringSpentMsPerSecond: core.measuringSpentMsPerSecond(nowMs),
            upstreams: core.listUpstreamStatus(nowMs),
            problems: core.listProblems(nowMs),
        };
    }
}

function delay(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
