import type { GroupMembers } from "../control/messages.js";
import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import type { ReplicatedLog } from "../control/replicatedLog.js";
import type { Clock } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import { DirectoryMetrics } from "../metrics/directoryMetrics.js";
import { AttachedEntries } from "./attachedEntries.js";
import type { DirectoryChange, DirectoryResult, DirectoryState, RouteChange } from "./directoryState.js";
import { EntryCounts } from "./entryCounts.js";
import {
    DirectoryMethod,
    type EntryReport,
    type ForwardedOutcome,
    type HeartbeatReport,
    type HeartbeatReportAnswer,
    type ProposeParams,
    type WatchAnswer,
    type WatchParams,
} from "./messages.js";
import type { ControlNode, Registration, RouteTable } from "./model.js";

/** Timeout of a change forwarded to the leader; its sender resends it to another VM after about a second. */
const forwardTimeoutMs = 2500;
/** Timeout of a report to the leader; reports are sent every second. */
const reportTimeoutMs = 900;
/** Longest wait for the leader's confirmation of a read, and then for this VM to apply the confirmed version. */
const readTimeoutMs = 900;
/** An instance expires after this many heartbeat intervals in which no control VM received a heartbeat. */
const maxMissedHeartbeats = 20;

/** Replicated log of the directory. */
export type DirectoryLog = ReplicatedLog<DirectoryState, DirectoryChange, DirectoryResult>;

/** Time after which a VM that is not a member is removed; longer than a VM that lost its disk takes to rejoin. */
const nonMemberRetentionMs = 5000;

/** Options of DirectoryService. */
export interface DirectoryServiceOptions {
    readonly log: DirectoryLog & { readonly isLed: boolean; readonly members: GroupMembers; };
    readonly links: Pick<PeerLinks, "call" | "notify" | "isConnected">;
    readonly clock: Clock;
    readonly logger: ControlLogger;
    /** Time between two heartbeats of an instance. */
    readonly heartbeatIntervalMs: number;
}

/** Handles requests to one control VM from operators, instances, entries and other control VMs. */
export class DirectoryService {
    private readonly attachedEntries = new AttachedEntries();
    private readonly entryCounts = new EntryCounts();
    private hasLastReportSucceeded = true;
    private readonly changeListeners = new Set<() => void>();
    private readonly lastHeartbeatAtMs = new Map<UpstreamId, number>();
    private unreportedIds = new Set<UpstreamId>();
    private ledSinceMs: number | undefined;
    /** Time since which a VM of the state has not been a member, by peer address. */
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
            attachedEntries: () => this.attachedEntries.count(this.nowMs()),
            totalEntries: () => this.entryCounts.getTotal(this.nowMs()) ?? NaN,
        });
        options.log.state.onChange = () => this.changeListeners.forEach(listener => listener());
    }

    /** Submits a route change to the leader. Returns undefined if it is not known whether the change was made. */
    async changeRoutes(change: Omit<RouteChange, "kind" | "proposedAtMs">): Promise<DirectoryResult | undefined> {
        const proposedAtMs = this.options.clock.now().getTime();
        const proposalOutcome = await this.submit({ kind: "routes", proposedAtMs, ...change });
        const version = change.table?.version ?? change.update?.version;
        const { baseVersion } = change;
        this.metrics.changes.inc({
            outcome: proposalOutcome.kind === "applied" ? proposalOutcome.result.outcome : proposalOutcome.kind,
        });
        if (proposalOutcome.kind !== "applied") {
            this.options.logger.warn("route change not confirmed", {
                baseVersion,
                version,
                end: proposalOutcome.kind,
            });
            return undefined;
        }
        this.options.logger.info("route change completed", {
            baseVersion,
            version,
            ...proposalOutcome.result,
        });
        return proposalOutcome.result;
    }

    /** Returns the current routes, or undefined if this VM cannot confirm that its routes are current. */
    async readRoutes(): Promise<RouteTable | undefined> {
        const version = await this.findReadVersion();
        const isConfirmed = version !== undefined && await this.waitForVersion(version);
        this.metrics.reads.inc({ confirmed: String(isConfirmed) });
        if (!isConfirmed) {
            this.options.logger.warn("cannot confirm the current routes", { version, held: this.state.revision });
            return undefined;
        }
        return this.state.routes;
    }

    /** Registers an instance or updates its registration; returns whether that is durable. */
    async register(registration: Registration): Promise<boolean> {
        this.recordHeartbeat(registration.id);
        if (!this.state.registrations.wouldChange(registration)) {
            this.metrics.reports.inc({ end: "known" });
            return true;
        }
        const { id, state, service, address } = registration;
        return this.recordChange({ kind: "register", registration }, { id, state, service, address });
    }

    /** Deregisters an instance; returns whether that is durable. */
    async deregister(id: UpstreamId, bornAtMs: number | undefined): Promise<boolean> {
        return this.recordChange({ kind: "end", id, bornAtMs }, { id, state: "left" });
    }

    /** Records the addresses of a control VM; returns whether that is durable. */
    async announceNode(node: ControlNode): Promise<boolean> {
        return this.recordChange({ kind: "node", node }, { node: node.peerAddress });
    }

    /**
     * Returns the address to which instances of an availability zone send their heartbeats: that of a connected control
     * VM in the zone, or undefined. A control VM that is down would delay each heartbeat by a second.
     */
    findHeartbeatAddress(availabilityZone: string): string | undefined {
        const { links } = this.options;
        const inZone = this.state.nodes.filter(node => node.availabilityZone === availabilityZone);
        return inZone.find(node => links.isConnected(node.peerAddress))?.operatorAddress;
    }

    /** Answers an entry when the state has changed, or after `waitMs`. */
    async watch({ entry, version, canUpdate, waitMs }: WatchParams): Promise<WatchAnswer> {
        this.recordEntry(entry);
        if (version === this.state.revision) {
            await this.waitForChange(waitMs);
        }
        const { log } = this.options;
        const delta = version === this.state.revision ? undefined : this.state.diffSince(version, canUpdate);
        const nowMs = this.nowMs();
        return {
            isLed: log.isLed,
            delta,
            entryCount: this.attachedEntries.count(nowMs),
            entryTotal: this.entryCounts.getTotal(nowMs),
        };
    }

    /** Returns up to `maxAddresses` entry addresses for a caller in an availability zone; `callerIp` selects them. */
    listEntryAddresses(
        availabilityZone: string | undefined,
        maxAddresses: number,
        callerIp: string,
    ): readonly string[] {
        return this.attachedEntries.listAddresses(availabilityZone, this.nowMs(), maxAddresses, callerIp);
    }

    /** Records the reported state of an entry. */
    recordEntry(entry: EntryReport): void {
        this.attachedEntries.recordReport(entry, this.nowMs());
    }

    /** Proposes a change that another control VM forwarded. */
    async handleProposal({ change }: ProposeParams): Promise<ForwardedOutcome> {
        return this.options.log.isLeader ? this.options.log.propose(change) : { kind: "refused" };
    }

    /** Returns the version that a read must include, or undefined if this VM is not confirmed as the leader. */
    async confirmVersion(): Promise<number | undefined> {
        const isConfirmed = this.options.log.isLeader && await this.options.log.confirmLeadership();
        return isConfirmed ? this.state.revision : undefined;
    }

    /** Records the heartbeats that another control VM received, and the number of entries attached to it. */
    recordHeartbeatReport({ ids, entryCount }: HeartbeatReport, memberId: string): HeartbeatReportAnswer {
        const nowMs = this.nowMs();
        ids.forEach(id => this.lastHeartbeatAtMs.set(id, nowMs));
        this.entryCounts.recordCount(memberId, entryCount, nowMs);
        return { entryTotal: this.options.log.isLeader ? this.entryCounts.getTotal(nowMs) : undefined };
    }

    /** Reports to the leader; at the leader, expires instances and removes VMs that are not members. */
    runMaintenance(): void {
        const { log } = this.options;
        if (log.isLeader) {
            this.ledSinceMs ??= this.nowMs();
            this.expireInstances(this.ledSinceMs);
            this.removeNonMembers();
            this.entryCounts.computeTotal(this.attachedEntries.count(this.nowMs()), this.ledSinceMs, this.nowMs());
        }
        else {
            this.ledSinceMs = undefined;
            this.nonMemberSinceMs.clear();
            if (log.leaderAddress !== undefined) {
                void this.reportToLeader(log.leaderAddress, [...this.unreportedIds]);
            }
        }
        this.unreportedIds = new Set();
    }

    private async reportToLeader(leaderAddress: string, ids: readonly UpstreamId[]): Promise<void> {
        const { links, logger } = this.options;
        const params: HeartbeatReport = { ids, entryCount: this.attachedEntries.count(this.nowMs()) };
        try {
            const answer = await links.call(leaderAddress, DirectoryMethod.reportHeartbeats, params, reportTimeoutMs);
            this.entryCounts.recordTotal(
                (answer as HeartbeatReportAnswer | null)?.entryTotal ?? undefined,
                this.nowMs(),
            );
            this.hasLastReportSucceeded = true;
        }
        catch (error) {
            if (this.hasLastReportSucceeded) {
                logger.info("report to the leader failed", { leaderAddress, reason: (error as Error).message });
            }
            this.hasLastReportSucceeded = false;
        }
    }

    private get state(): DirectoryState {
        return this.options.log.state;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private recordHeartbeat(id: UpstreamId): void {
        this.lastHeartbeatAtMs.set(id, this.nowMs());
        this.unreportedIds.add(id);
    }

    private async recordChange(change: DirectoryChange, logFields: object): Promise<boolean> {
        const proposalOutcome = await this.submit(change);
        const isRecorded = proposalOutcome.kind === "applied";
        this.metrics.reports.inc({ end: isRecorded ? "recorded" : "not-recorded" });
        this.options.logger.info("submitted a directory change", {
            ...logFields,
            isRecorded,
            version: this.state.revision,
        });
        return isRecorded;
    }

    private async submit(change: DirectoryChange): Promise<ForwardedOutcome> {
        const { log, links, logger } = this.options;
        if (log.isLeader) {
            return log.propose(change);
        }
        const address = log.leaderAddress;
        if (address === undefined) {
            return { kind: "refused" };
        }
        try {
            return await links.call(address, DirectoryMethod.propose, { change }, forwardTimeoutMs) as ForwardedOutcome;
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
            const answer = await links.call(address, DirectoryMethod.readVersion, {}, readTimeoutMs);
            return (answer as number | null) ?? undefined;
        }
        catch (error) {
            logger.warn("the leader did not confirm a read", { address, reason: (error as Error).message });
            return undefined;
        }
    }

    private async waitForVersion(version: number): Promise<boolean> {
        const untilMs = this.nowMs() + readTimeoutMs;
        while (this.state.revision < version && this.nowMs() < untilMs) {
            await this.waitForChange(untilMs - this.nowMs());
        }
        return this.state.revision >= version;
    }

    private waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const settle = () => {
                clearTimeout(timer);
                this.changeListeners.delete(settle);
                resolve();
            };
            const timer = setTimeout(settle, waitMs);
            this.changeListeners.add(settle);
        });
    }

    private removeNonMembers(): void {
        const { log, logger } = this.options;
        const { voters, learners } = log.members;
        const memberAddresses = new Set([...voters, ...learners].map(member => member.peerAddress));
        for (const { peerAddress } of this.state.nodes) {
            const sinceMs = this.nonMemberSinceMs.get(peerAddress) ?? this.nowMs();
            if (memberAddresses.has(peerAddress)) {
                this.nonMemberSinceMs.delete(peerAddress);
            }
            else if (this.nowMs() - sinceMs > nonMemberRetentionMs) {
                logger.info("removing a control VM that is not a member", { peerAddress });
                this.nonMemberSinceMs.delete(peerAddress);
                void log.propose({ kind: "node-gone", peerAddress });
            }
            else {
                this.nonMemberSinceMs.set(peerAddress, sinceMs);
            }
        }
    }

    private expireInstances(ledSinceMs: number): void {
        const { log, heartbeatIntervalMs, logger } = this.options;
        const expiryMs = heartbeatIntervalMs * maxMissedHeartbeats;
        for (const { id, bornAtMs } of this.state.registrations.list()) {
            if (!this.lastHeartbeatAtMs.has(id)) {
                // Registered through another control VM, which has not reported its heartbeats yet.
                this.lastHeartbeatAtMs.set(id, this.nowMs());
            }
            const sinceHeartbeatMs = this.nowMs() - Math.max(this.lastHeartbeatAtMs.get(id) ?? 0, ledSinceMs);
            if (sinceHeartbeatMs > expiryMs) {
                logger.warn("expiring an instance without heartbeats", { id, silentMs: Math.round(sinceHeartbeatMs) });
                this.lastHeartbeatAtMs.delete(id);
                void log.propose({ kind: "expire", id, bornAtMs });
            }
        }
    }
}
