import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigSyncParams } from "../control/operatorApi.js";
import type { ServiceName } from "../core/ids.js";
import { ChannelServer } from "../transport/channel.js";
import { type AnnouncementAnswer, formatEcho, parseAnnouncement, renewIntervalMs } from "./announcements.js";
import { EntryCore, unconfirmedAnswer } from "./core.js";
import { EntryShell } from "./entryShell.js";
import { FrontendServer } from "./frontendServer.js";
import { ControlLinks, PeerLinks, toPeerMessage } from "./links.js";
import type { EntryOptions } from "./options.js";

const tickIntervalMs = 5;
/**
 * Peers list a draining entry for at most 3 s, and callers cache an address answer for 5 s: after this time no cached
 * answer lists the entry.
 */
const drainPropagationMs = 8000;
const drainPollIntervalMs = 100;
/** Time after the end of a process pause in which events are assumed to have been buffered for the whole pause. */
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
    /** Stops gracefully. Resolves when the last request has ended. */
    drain(): Promise<void>;
    /** Stops without waiting for requests to end. */
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
    private readonly frontend: FrontendServer;
    private readonly peerServer: ChannelServer;
    private readonly peerLinks: PeerLinks;
    private readonly controlLinks: ControlLinks;
    private core!: EntryCore;
    private shell!: EntryShell;
    private tickTimer: NodeJS.Timeout | undefined;
    private lastTickAtMs = 0;
    private pauseEndedAtMs = Number.NEGATIVE_INFINITY;
    private pauseMs = 0;

    constructor(private readonly options: EntryOptions) {
        const channelOptions = { selfId: options.id, secret: options.clusterSecret };
        this.incarnation = options.clock.now().getTime();
        this.frontend = new FrontendServer(options.limits, {
            isService: name => this.core.config.catalogue.services[name] !== undefined,
            refusal: () => this.core.isServing(this.nowMs()) ? undefined : unconfirmedAnswer,
            onRequest: (service, path, incoming, outgoing) => this.onRequest(service, path, incoming, outgoing),
            onAnnouncement: text => this.onAnnouncement(text),
            listEntries: service => this.listEntries(service),
        });
        this.peerServer = new ChannelServer(
            channelOptions,
            (method, params, from) => this.onPeerCall(method, params, from),
        );
        this.peerLinks = new PeerLinks(channelOptions);
        this.controlLinks = new ControlLinks(options.controlAddresses, channelOptions);
    }

    async start(): Promise<void> {
        const { options } = this;
        const peerPort = await this.peerServer.listen(options.peerListen.host, options.peerListen.port);
        this.peerAddress = `${options.peerListen.host}:${peerPort}`;
        const port = await this.frontend.listen(options.listen);
        this.address = `${options.listen.host}:${port}`;
        const { address, peerAddress, incarnation } = this;
        this.core = new EntryCore({ ...options, address, peerAddress, incarnation });
        this.shell = new EntryShell(options, this.core, this.peerLinks, () => this.syncControl());
        this.lastTickAtMs = this.nowMs();
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
        this.shell.isClosingConnections = true;
        await delay(drainPropagationMs);
        const closed = new Promise<void>(resolve => this.frontend.server.close(() => resolve()));
        const timer = setInterval(() => this.frontend.server.closeIdleConnections(), drainPollIntervalMs);
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
        this.frontend.server.close();
        this.frontend.server.closeAllConnections();
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
        const gapMs = nowMs - this.lastTickAtMs;
        if (gapMs > pauseThresholdMs) {
            this.pauseMs = gapMs;
            this.pauseEndedAtMs = nowMs;
            this.options.logger.warn("the process was paused", { id: this.options.id, gapMs: Math.round(gapMs) });
        }
        this.lastTickAtMs = nowMs;
        this.shell.run({ kind: "tick" });
        this.openPeerLinks();
    }

    /** An entry's address in the catalogue takes precedence over the address in its heartbeats. */
    private openPeerLinks(): void {
        const { entryVms } = this.core.config.catalogue;
        for (const peer of this.core.peers.allPeers()) {
            this.peerLinks.setAddress(peer.id, entryVms[peer.id]?.peerAddress ?? peer.peerAddress);
        }
        for (const id of this.core.config.regionEntryIds()) {
            this.peerLinks.setAddress(id, entryVms[id].peerAddress);
        }
    }

    /** Upper bound of the time that an event handled now has waited in the buffers of this process. */
    private lagMs(nowMs: number): number {
        const isAfterPause = nowMs - this.pauseEndedAtMs < pauseGraceMs;
        return Math.max(nowMs - this.lastTickAtMs, isAfterPause ? this.pauseMs : 0);
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
        void this.controlLinks.sync(this.createSyncParams(sentAtMs)).then(answer => {
            if (answer !== undefined) {
                const { isQuorumConfirmed, revision } = answer;
                // The encoding of messages does not preserve undefined.
                const catalogue = answer.catalogue ?? undefined;
                this.shell.run({ kind: "control-answer", isQuorumConfirmed, revision, catalogue, sentAtMs });
            }
        });
    }

    private createSyncParams(nowMs: number): ConfigSyncParams {
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
