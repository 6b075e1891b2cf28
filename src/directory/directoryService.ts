import type { GroupMembers } from "../control/messages.js";
import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import type { ReplicatedLog } from "../control/replicatedLog.js";
import type { Clock } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import { DirectoryMetrics } from "../metrics/directoryMetrics.js";
import type { DirectoryChange, DirectoryResult, DirectoryState, RouteChange } from "./directoryState.js";
import { EntryCounts } from "./entryCounts.js";
import { EntryRoster } from "./entryRoster.js";
import {
    DirectoryMethod,
    type EntryReport,
    type ForwardedEnd,
    type HeardAnswer,
    type HeardParams,
    type ProposeParams,
    type WatchAnswer,
    type WatchParams,
} from "./messages.js";
import type { ControlNode, Registration, RouteTable } from "./model.js";

/** Longest wait for the leader's answer; the sender of a change turns to another VM after about a second. */
const forwardTimeoutMs = 2500;
/** Longest wait for the answer to a report; the next one follows a second later. */
const reportTimeoutMs = 900;
/** Longest wait until this VM has applied what a confirmed read has to show. */
const readWaitMs = 900;
/** An instance that no control VM heard for this many of its intervals is dropped. */
const silentIntervals = 20;

/** The log of the directory. */
export type DirectoryLog = ReplicatedLog<DirectoryState, DirectoryChange, DirectoryResult>;

/** A VM that has been no member for this long is forgotten; one that has lost its disk joins again sooner. */
const forgetNodeAfterMs = 5000;

/** What the service works with. */
export interface DirectoryServiceOptions {
    readonly log: DirectoryLog & { readonly isLed: boolean; readonly members: GroupMembers; };
    readonly links: Pick<PeerLinks, "call" | "notify" | "isConnected">;
    readonly clock: Clock;
    readonly logger: ControlLogger;
    /** Time between two messages of an instance. */
    readonly heartbeatIntervalMs: number;
}

/** Answers the callers of one control VM: operators, instances, entries and other control VMs. */
export class DirectoryService {
    private readonly roster = new EntryRoster();
    private readonly counts = new EntryCounts();
    private hasReported = true;
    private readonly watchers = new Set<() => void>();
    private readonly heardAtMs = new Map<UpstreamId, number>();
    private unreported = new Set<UpstreamId>();
    private ledSinceMs: number | undefined;
    /** Since when VMs of the state are no members, by peer address. */
    private readonly nonMemberSinceMs = new Map<string, number>();
    readonly metrics: DirectoryMetrics;

    constructor(private readonly options: DirectoryServiceOptions) {
        const { log } = options;
        this.metrics = new DirectoryMetrics({
            isLeader: () => log.isLeader,
            isLed: () => log.isLed,
            version: () => log.state.revision,
            routesVersion: () => log.state.routes.version,
            voters: () => log.members.voters.length,
            learners: () => log.members.learners.length,
            registrations: () => log.state.registrations.size,
            entries: () => this.roster.count(this.nowMs()),
            allEntries: () => this.counts.find(this.nowMs()) ?? NaN,
        });
        options.log.state.onChange = () => this.watchers.forEach(wake => wake());
    }

    /** Brings a change of the routes to the leader. Undefined when it is not known whether the change is made. */
    async changeRoutes(change: Omit<RouteChange, "kind" | "proposedAtMs">): Promise<DirectoryResult | undefined> {
        const proposedAtMs = this.options.clock.now().getTime();
        const end = await this.submit({ kind: "routes", proposedAtMs, ...change });
        const version = change.table?.version ?? change.update?.version;
        const { baseVersion } = change;
        this.metrics.changes.inc({ outcome: end.kind === "applied" ? end.result.outcome : end.kind });
        if (end.kind !== "applied") {
            this.options.logger.warn("no clear answer to a change of the routes", {
                baseVersion,
                version,
                end: end.kind,
            });
            return undefined;
        }
        this.options.logger.info("answered a change of the routes", { baseVersion, version, ...end.result });
        return end.result;
    }

    /** Returns the newest routes, or undefined when this VM cannot be sure of them. */
    async readRoutes(): Promise<RouteTable | undefined> {
        const version = await this.findReadVersion();
        const isConfirmed = version !== undefined && await this.waitForVersion(version);
        this.metrics.reads.inc({ confirmed: String(isConfirmed) });
        if (!isConfirmed) {
            this.options.logger.warn("cannot confirm the newest routes", { version, held: this.state.revision });
            return undefined;
        }
        return this.state.routes;
    }

    /** Takes what an instance says of itself; returns whether that is recorded for good. */
    async register(registration: Registration): Promise<boolean> {
        this.noteHeard(registration.id);
        if (!this.state.registrations.isNews(registration)) {
            this.metrics.reports.inc({ end: "known" });
            return true;
        }
        const { id, state, service, address } = registration;
        return this.record({ kind: "register", registration }, { id, state, service, address });
    }

    /** Takes the departure of an instance; returns whether that is recorded for good. */
    async deregister(id: UpstreamId, bornAtMs: number | undefined): Promise<boolean> {
        return this.record({ kind: "end", id, bornAtMs }, { id, state: "left" });
    }

    /** Records where a control VM is reached. */
    async announceNode(node: ControlNode): Promise<boolean> {
        return this.record({ kind: "node", node }, { node: node.peerAddress });
    }

    /**
     * Returns where instances of an availability zone send their later messages: a control VM there that is reached, or
     * undefined. One that is down would cost each message a second.
     */
    findHeartbeatAddress(availabilityZone: string): string | undefined {
        const { links } = this.options;
        const near = this.state.nodes.filter(node => node.availabilityZone === availabilityZone);
        return near.find(node => links.isConnected(node.peerAddress))?.operatorAddress;
    }

    /** Answers an entry when there is something new for it, at the latest after its wait. */
    async watch({ entry, version, canUpdate, waitMs }: WatchParams): Promise<WatchAnswer> {
        this.noteEntry(entry);
        if (version === this.state.revision) {
            await this.waitForChange(waitMs);
        }
        const { log } = this.options;
        const delta = version === this.state.revision ? undefined : this.state.diffSince(version, canUpdate);
        const nowMs = this.nowMs();
        return {
            isLed: log.isLed,
            delta,
            entryCount: this.roster.count(nowMs),
            entryTotal: this.counts.find(nowMs),
        };
    }

    /** Returns up to `most` addresses to offer to a caller in an availability zone; `callerIp` chooses its part. */
    listCallerAddresses(availabilityZone: string | undefined, most: number, callerIp: string): readonly string[] {
        return this.roster.listAddresses(availabilityZone, this.nowMs(), most, callerIp);
    }

    /** Takes note of an entry's state. */
    noteEntry(entry: EntryReport): void {
        this.roster.note(entry, this.nowMs());
    }

    /** Answers a change that another control VM handed over. */
    async answerProposal({ change }: ProposeParams): Promise<ForwardedEnd> {
        return this.options.log.isLeader ? this.options.log.propose(change) : { kind: "refused" };
    }

    /** Returns the version that a read must show, or undefined when this VM does not lead. */
    async confirmVersion(): Promise<number | undefined> {
        const isConfirmed = this.options.log.isLeader && await this.options.log.confirmLeadership();
        return isConfirmed ? this.state.revision : undefined;
    }

    /** Takes note of the instances that another control VM heard, and of the entries that are attached to it. */
    noteReported({ ids, entryCount }: HeardParams, memberId: string): HeardAnswer {
        const nowMs = this.nowMs();
        ids.forEach(id => this.heardAtMs.set(id, nowMs));
        this.counts.noteReport(memberId, entryCount, nowMs);
        return { entryTotal: this.options.log.isLeader ? this.counts.find(nowMs) : undefined };
    }

    /** Regular duties: tells the leader what was heard; the leader drops instances that nobody hears. */
    keepHouse(): void {
        const { log } = this.options;
        if (log.isLeader) {
            this.ledSinceMs ??= this.nowMs();
            this.dropSilent(this.ledSinceMs);
            this.forgetNodes();
            this.counts.addUp(this.roster.count(this.nowMs()), this.ledSinceMs, this.nowMs());
        }
        else {
            this.ledSinceMs = undefined;
            this.nonMemberSinceMs.clear();
            if (log.leaderAddress !== undefined) {
                void this.report(log.leaderAddress, [...this.unreported]);
            }
        }
        this.unreported = new Set();
    }

    private async report(leaderAddress: string, ids: readonly UpstreamId[]): Promise<void> {
        const { links, logger } = this.options;
        const params: HeardParams = { ids, entryCount: this.roster.count(this.nowMs()) };
        try {
            const answer = await links.call(leaderAddress, DirectoryMethod.reportHeard, params, reportTimeoutMs);
            this.counts.noteTotal((answer as HeardAnswer | null)?.entryTotal ?? undefined, this.nowMs());
            this.hasReported = true;
        }
        catch (error) {
            if (this.hasReported) {
                logger.info("the leader takes no reports", { leaderAddress, reason: (error as Error).message });
            }
            this.hasReported = false;
        }
    }

    private get state(): DirectoryState {
        return this.options.log.state;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private noteHeard(id: UpstreamId): void {
        this.heardAtMs.set(id, this.nowMs());
        this.unreported.add(id);
    }

    private async record(change: DirectoryChange, fields: object): Promise<boolean> {
        const end = await this.submit(change);
        const isRecorded = end.kind === "applied";
        this.metrics.reports.inc({ end: isRecorded ? "recorded" : "not-recorded" });
        this.options.logger.info("recorded a report", { ...fields, isRecorded, version: this.state.revision });
        return isRecorded;
    }

    private async submit(change: DirectoryChange): Promise<ForwardedEnd> {
        const { log, links, logger } = this.options;
        if (log.isLeader) {
            return log.propose(change);
        }
        const address = log.leaderAddress;
        if (address === undefined) {
            return { kind: "refused" };
        }
        try {
            return await links.call(address, DirectoryMethod.propose, { change }, forwardTimeoutMs) as ForwardedEnd;
        }
        catch (error) {
            logger.warn("the leader did not answer", { address, reason: (error as Error).message });
            return { kind: "unknown" };
        }
    }

    private async findReadVersion(): Promise<number | undefined> {
        const { log, links, logger } = this.options;
        const address = log.leaderAddress;
        if (log.isLeader || address === undefined) {
            return this.confirmVersion();
        }
        try {
            const answer = await links.call(address, DirectoryMethod.readVersion, {}, readWaitMs);
            return (answer as number | null) ?? undefined;
        }
        catch (error) {
            logger.warn("the leader did not confirm a read", { address, reason: (error as Error).message });
            return undefined;
        }
    }

    private async waitForVersion(version: number): Promise<boolean> {
        const untilMs = this.nowMs() + readWaitMs;
        while (this.state.revision < version && this.nowMs() < untilMs) {
            await this.waitForChange(untilMs - this.nowMs());
        }
        return this.state.revision >= version;
    }

    private waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.watchers.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            this.watchers.add(wake);
        });
    }

    private forgetNodes(): void {
        const { log, logger } = this.options;
        const { voters, learners } = log.members;
        const members = new Set([...voters, ...learners].map(member => member.peerAddress));
        for (const { peerAddress } of this.state.nodes) {
            const sinceMs = this.nonMemberSinceMs.get(peerAddress) ?? this.nowMs();
            if (members.has(peerAddress)) {
                this.nonMemberSinceMs.delete(peerAddress);
            }
            else if (this.nowMs() - sinceMs > forgetNodeAfterMs) {
                logger.info("forgetting a control VM that is no member", { peerAddress });
                this.nonMemberSinceMs.delete(peerAddress);
                void log.propose({ kind: "node-gone", peerAddress });
            }
            else {
                this.nonMemberSinceMs.set(peerAddress, sinceMs);
            }
        }
    }

    private dropSilent(ledSinceMs: number): void {
        const { log, heartbeatIntervalMs, logger } = this.options;
        const limitMs = heartbeatIntervalMs * silentIntervals;
        for (const { id, bornAtMs } of this.state.registrations.list()) {
            if (!this.heardAtMs.has(id)) {
                // Another control VM has registered it; what that one hears is reported later.
                this.heardAtMs.set(id, this.nowMs());
            }
            const silentMs = this.nowMs() - Math.max(this.heardAtMs.get(id) ?? 0, ledSinceMs);
            if (silentMs > limitMs) {
                logger.warn("dropping an instance that is silent", { id, silentMs: Math.round(silentMs) });
                this.heardAtMs.delete(id);
                void log.propose({ kind: "expire", id, bornAtMs });
            }
        }
    }
}
