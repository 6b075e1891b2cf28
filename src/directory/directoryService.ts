import type { GroupMembers } from "../control/messages.js";
import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import type { ReplicatedLog } from "../control/replicatedLog.js";
import type { Clock } from "../core/clock.js";
import type { UpstreamId } from "../core/ids.js";
import { DirectoryMetrics } from "../metrics/directoryMetrics.js";
import { DemandTable } from "../overload/demand.js";
import { defaultQuotaBounds, type QuotaBounds } from "../quotas/quotaBounds.js";
import { QuotaCoordinator } from "../quotas/quotaCoordinator.js";
import { SuspectExchange } from "../suspects/suspectExchange.js";
import type { QueuedBytes } from "../transport/channel.js";
import { AttachedEntries } from "./attachedEntries.js";
import {
    type DirectoryChange,
    type DirectoryDelta,
    type DirectoryResult,
    type DirectoryState,
    type RouteChange,
    RouteOutcome,
} from "./directoryState.js";
import { EntryCounts } from "./entryCounts.js";
import { EntryListExchange } from "./entryListExchange.js";
import { EntryListHistory, selectAddresses } from "./entryLists.js";
import { markEvacuated } from "./evacuatedZones.js";
import { LeaderReports } from "./leaderReports.js";
import { LeavingInstances } from "./leavingInstances.js";
import { LimitCoordinator } from "./limitCoordinator.js";
import {
    DirectoryMethod,
    type EntryListAnswer,
    type EntryListParams,
    type EntryReport,
    type ForwardedOutcome,
    type HeartbeatReport,
    type HeartbeatReportAnswer,
    type ProposeParams,
    type RelayPeer,
    type WatchAnswer,
    type WatchParams,
} from "./messages.js";
import type { ControlNode, Registration, RouteTable } from "./model.js";
import { RoutePacker } from "./packedRoutes.js";
import { RelayPeers } from "./relayPeers.js";
import { resolveUpdate } from "./repeatedHosts.js";
import { digestRouteTable, digestToNumber } from "./routeDigest.js";
import { findSizeProblem } from "./tableSize.js";

/** Timeout of a change forwarded to the leader; instances and operators resend to another VM after about a second. */
const forwardTimeoutMs = 2500;
/** Longest wait for the leader's confirmation of a read, and then for this VM to reach the confirmed revision. */
const readTimeoutMs = 900;
/** Fewer bytes that wait to be sent are usual on slow links and are not logged. */
const minLoggedQueuedBytes = 64 * 1024;
/** An instance expires after this many heartbeat intervals in which no control VM received a heartbeat. */
const maxMissedHeartbeats = 20;

/** Replicated log of the directory. */
export type DirectoryLog = ReplicatedLog<DirectoryState, DirectoryChange, DirectoryResult>;

/**
 * Time after which a control VM that is not a member of the group is removed from the directory; longer than a VM that
 * lost its disk takes to rejoin.
 */
const nonMemberRetentionMs = 5000;

/** Options of DirectoryService. */
export interface DirectoryServiceOptions {
    readonly log: DirectoryLog & {
        readonly isLed: boolean;
        /** Monotonic time as of which the state is confirmed to be current. */
        readonly confirmedAtMs: number;
        readonly members: GroupMembers;
        /** Called when `isLed` has changed. */
        onContactChange: () => void;
    };
    readonly links: Pick<PeerLinks, "call" | "notify" | "isConnected">;
    readonly clock: Clock;
    readonly logger: ControlLogger;
    /** Time between two heartbeats of an instance. */
    readonly heartbeatIntervalMs: number;
    /** Address and availability zone of this control VM; without them, it does not ask others for their entries. */
    readonly self?: Pick<ControlNode, "peerAddress" | "availabilityZone">;
    /** Bounds of the quotas of organisations. */
    readonly quotaBounds?: QuotaBounds;
    /** Bytes that wait to be sent to the peers of this VM. */
    readonly readQueuedBytes?: () => QueuedBytes;
}

/** Handles requests to one control VM from operators, instances, entries and other control VMs. */
export class DirectoryService {
    private readonly attachedEntries = new AttachedEntries();
    private readonly entryCounts = new EntryCounts();
    private readonly entryListHistory: EntryListHistory;
    private readonly entryListExchange: EntryListExchange | undefined;
    /** Called when an attached entry reports another state. */
    private readonly entryListeners = new Set<() => void>();
    private readonly demandTable = new DemandTable();
    private readonly routePacker = new RoutePacker();
    private readonly limits: LimitCoordinator;
    private readonly quotas: QuotaCoordinator;
    private readonly suspects: SuspectExchange;
    private readonly leaderReports: LeaderReports;
    private readonly relayPeers: RelayPeers;
    private readonly leavingInstances: LeavingInstances;
    private readonly changeListeners = new Set<() => void>();
    private readonly lastHeartbeatAtMs = new Map<UpstreamId, number>();
    /** Instances that sent heartbeats since the last report to the leader. */
    private unreportedHeartbeatIds = new Set<UpstreamId>();
    /** Time since which this VM leads; undefined if it does not. */
    private leaderSinceMs: number | undefined;
    /** Time since which a control VM in the directory has not been a member of the group, by peer address. */
    private readonly nonMemberSinceMs = new Map<string, number>();
    private loggedEvacuatedZones = "";
    private loggedRoutesVersion = 0;
    private routesDigest = "";
    /** Settled once the route change that this VM proposed last has its outcome. */
    private lastRouteProposal: Promise<unknown> = Promise.resolve();
    readonly metrics: DirectoryMetrics;

    constructor(private readonly options: DirectoryServiceOptions) {
        const { log } = options;
        this.limits = new LimitCoordinator({
            log,
            clock: options.clock,
            logger: options.logger,
            listRegistrations: () => markEvacuated(this.state.registrations.list(), this.state.evacuatedZones),
            listServices: () => this.state.routes.services,
            listEntries: () => this.attachedEntries.listCounted(this.nowMs()),
            onChanged: () => this.notifyChange(),
            onObserved: () => this.leaderReports.sendNews(),
        });
        this.quotas = new QuotaCoordinator({
            log,
            clock: options.clock,
            logger: options.logger,
            bounds: options.quotaBounds ?? defaultQuotaBounds,
            getRoutes: () => this.state.routes,
            getEntryTotal: () => this.entryCounts.getTotal(this.nowMs()),
            onChanged: () => this.notifyChange(),
            onUrgent: () => this.leaderReports.sendNews(),
        });
        this.suspects = new SuspectExchange({
            log,
            clock: options.clock,
            logger: options.logger,
            onChanged: () => this.notifyChange(),
            onNews: () => this.leaderReports.sendNews(),
        });
        this.leaderReports = new LeaderReports({
            log,
            links: options.links,
            clock: options.clock,
            logger: options.logger,
            limits: this.limits,
            quotas: this.quotas,
            suspects: this.suspects,
            countAttached: () => this.attachedEntries.count(this.nowMs()),
            onEntryTotal: total => this.entryCounts.recordTotal(total, this.nowMs()),
        });
        this.relayPeers = new RelayPeers({
            listAttached: () => this.attachedEntries.listPeers(this.nowMs()),
            listControlVms: () => this.listOtherControlVms(),
            links: options.links,
            clock: options.clock,
        });
        this.leavingInstances = new LeavingInstances({
            find: id => this.state.registrations.get(id),
            submit: registration => {
                const { id, state, bornAtMs } = registration;
                return this.submitAndLog({ kind: "register", registration }, { id, state, bornAtMs, by: "an entry" });
            },
        });
        this.metrics = new DirectoryMetrics({
            isLeader: () => log.isLeader,
            isLed: () => log.isLed,
            version: () => log.state.revision,
            routesVersion: () => log.state.routes.version,
            routesDigest: () => digestToNumber(this.routesDigest),
            voters: () => log.members.voters.length,
            learners: () => log.members.learners.length,
            registrations: () => log.state.registrations.size,
            attachedEntries: () => this.attachedEntries.count(this.nowMs()),
            totalEntries: () => this.entryCounts.getTotal(this.nowMs()) ?? NaN,
            limitedInstances: () => this.limits.limitedCount,
            evacuatedZones: () => this.state.evacuatedZones.length,
            limitedOrganisations: () => this.quotas.limitedCount,
            coldInstances: () => this.limits.cold.coldCount,
            queuedBytes: () => this.options.readQueuedBytes?.().total ?? 0,
            maxQueuedBytes: () => this.options.readQueuedBytes?.().max ?? 0,
        });
        this.entryListHistory = new EntryListHistory(options.clock.now().getTime());
        const { self, links, clock, logger } = options;
        this.entryListExchange = self === undefined ? undefined : new EntryListExchange({
            self,
            links,
            clock,
            logger,
            listNodes: () => this.state.nodes,
            listOwn: () => this.attachedEntries.listStates(this.nowMs()),
        });
        options.log.state.onChange = () => this.onStateChange();
        // Entries whose calls are held turn to another control VM once this one hears no leader.
        options.log.onContactChange = () => this.notifyChange();
        this.limits.cold.refresh();
    }

    /** Submits a route change to the leader. Returns undefined if it was refused or its outcome is not known. */
    async changeRoutes(change: Omit<RouteChange, "kind" | "proposedAtMs">): Promise<DirectoryResult | undefined> {
        const proposedAtMs = this.options.clock.now().getTime();
        const proposalOutcome = await this.submit({ kind: "routes", proposedAtMs, ...change });
        const version = change.table?.version ?? change.update?.version;
        const { baseVersion } = change;
        this.metrics.changes.inc({
            outcome: proposalOutcome.kind === "applied" ? proposalOutcome.result.outcome : proposalOutcome.kind,
        });
        if (proposalOutcome.kind !== "applied") {
            this.options.logger.warn("route change refused or its outcome unknown", {
                baseVersion,
                version,
                end: proposalOutcome.kind,
            });
            return undefined;
        }
        this.options.logger.info("route change decided", {
            baseVersion,
            version,
            ...proposalOutcome.result,
        });
        return proposalOutcome.result;
    }

    /** Begins or ends the evacuation of an availability zone; returns whether the state is committed. */
    async changeEvacuation(availabilityZone: string, isEvacuated: boolean): Promise<boolean> {
        const proposedAtMs = this.options.clock.now().getTime();
        const { kind } = await this.submit({ kind: "evacuation", availabilityZone, isEvacuated, proposedAtMs });
        const isCommitted = kind === "applied";
        this.options.logger[isCommitted ? "info" : "warn"](
            isCommitted ? "evacuation committed" : "evacuation refused or its outcome unknown",
            { availabilityZone, isEvacuated, end: kind, version: this.state.revision },
        );
        return isCommitted;
    }

    /** Returns the current routes, or undefined if this VM cannot confirm that its routes are current. */
    async readRoutes(): Promise<RouteTable | undefined> {
        const version = await this.findReadRevision();
        const isConfirmed = version !== undefined && await this.waitForRevision(version);
        this.metrics.reads.inc({ confirmed: String(isConfirmed) });
        if (!isConfirmed) {
            this.options.logger.warn("cannot confirm the current routes", { version, held: this.state.revision });
            return undefined;
        }
        return this.state.routes;
    }

    /**
     * Handles a heartbeat: registers an instance or updates its registration. Returns whether the change was committed;
     * also true for a heartbeat that changes nothing or is stale.
     */
    async register(registration: Registration): Promise<boolean> {
        this.recordHeartbeat(registration.id);
        if (!this.state.registrations.wouldChange(registration, this.limits.cold.findRemainingMs(registration))) {
            this.metrics.reports.inc({ end: "known" });
            return true;
        }
        this.limits.recordWarmup(registration);
        const { id, state, service, address, warmupMs } = registration;
        const isOnlyWarmup = !this.state.registrations.wouldChange(registration);
        const change: DirectoryChange = { kind: "register", registration };
        if (isOnlyWarmup) {
            // Acknowledged as before without a leader: the next heartbeat proposes the change again.
            void this.submitAndLog(change, { id, state, service, address, warmupMs });
            return true;
        }
        return this.submitAndLog(change, { id, state, service, address });
    }

    /** Deregisters an instance, any incarnation if `bornAtMs` is undefined; returns whether that was committed. */
    async deregister(id: UpstreamId, bornAtMs: number | undefined): Promise<boolean> {
        return this.submitAndLog({ kind: "end", id, bornAtMs }, { id, state: "left" });
    }

    /** Publishes the addresses of a control VM in the directory; returns whether that was committed. */
    async publishNode(node: ControlNode): Promise<boolean> {
        return this.submitAndLog({ kind: "node", node }, { node: node.peerAddress });
    }

    /**
     * Returns the address to which instances of an availability zone send their heartbeats: that of a control VM in the
     * zone, or undefined. Only connected ones are returned, since one that is down would delay each heartbeat by a
     * second.
     */
    findHeartbeatAddress(availabilityZone: string): string | undefined {
        const { links } = this.options;
        const inZone = this.state.nodes.filter(node => node.availabilityZone === availabilityZone);
        return inZone.find(node => links.isConnected(node.peerAddress))?.operatorAddress;
    }

    /**
     * Records an entry's report and answers once the state differs from the entry's, or after `waitMs`; at once without
     * contact to a leader, as the entry then needs another control VM. An entry that starts together with the group waits
     * for its first leader.
     */
    async watch(params: WatchParams): Promise<WatchAnswer> {
        const { entry, version, limitsVersion, quotasVersion, suspectsVersion, wantsPeers, waitMs } = params;
        const receivedAtMs = this.nowMs();
        this.recordEntry(entry);
        const hasNews = this.limits.hasNews(limitsVersion ?? undefined) ||
            this.quotas.hasNews(quotasVersion ?? undefined) || this.suspects.hasNews(suspectsVersion ?? undefined);
        const isWaitUseful = this.options.log.isLed || version === 0;
        if (version === this.state.revision && !hasNews && isWaitUseful) {
            await this.waitForChange(waitMs);
        }
        const { log } = this.options;
        const peers = wantsPeers === true ? await this.relayPeers.find(entry) : undefined;
        // An entry does not use a state that may be behind.
        const isDeltaNeeded = log.isLed && version !== this.state.revision;
        const delta = isDeltaNeeded ? this.diffSince(params) : undefined;
        const nowMs = this.nowMs();
        const demand = this.demandTable.describe(nowMs);
        const suspects = this.suspects.describe(suspectsVersion ?? undefined);
        return {
            isLed: log.isLed,
            ...(log.isLed ? { confirmedAgeMs: receivedAtMs - log.confirmedAtMs } : {}),
            delta,
            entryCount: this.attachedEntries.count(nowMs),
            entryTotal: this.entryCounts.getTotal(nowMs),
            limits: this.limits.describe(entry.id, limitsVersion ?? undefined),
            ...this.quotas.describe(quotasVersion ?? undefined),
            ...(peers === undefined ? {} : { peers }),
            // Absent while nothing is rejected, so that the answer is that of the version before.
            ...(demand === undefined ? {} : { demand }),
            ...(suspects === undefined ? {} : { suspects }),
        };
    }

    /** Returns up to `maxAddresses` entry addresses for a caller, selected by its availability zone and IP address. */
    listEntryAddresses(
        availabilityZone: string | undefined,
        maxAddresses: number,
        callerIp: string,
    ): readonly string[] {
        const states = this.entryListExchange?.listAll() ?? this.attachedEntries.listStates(this.nowMs());
        return selectAddresses(states, availabilityZone, maxAddresses, callerIp);
    }

    /** Answers another control VM once the attached entries differ from its list, or after `waitMs`. */
    async listAttachedEntries({ version, waitMs }: EntryListParams): Promise<EntryListAnswer> {
        this.entryListHistory.update(this.attachedEntries.listStates(this.nowMs()));
        if (!this.entryListHistory.hasNews(version)) {
            await waitForCall(this.entryListeners, waitMs);
            this.entryListHistory.update(this.attachedEntries.listStates(this.nowMs()));
        }
        return this.entryListHistory.describe(version, this.nowMs());
    }

    /** Records the reported state of an entry. */
    recordEntry(entry: EntryReport): void {
        if (this.attachedEntries.recordReport(entry, this.nowMs())) {
            this.entryListeners.forEach(listener => listener());
        }
        this.limits.recordEntryReport(entry);
        this.leavingInstances.recordReport(entry);
        this.quotas.recordEntryReport(entry.quotas);
        this.suspects.recordEntryReport(entry.suspects ?? undefined);
        const { id, availabilityZone, demand } = entry;
        if (this.demandTable.record(id, availabilityZone, demand, this.nowMs())) {
            this.notifyChange();
        }
    }

    /** Lists attached entries that can take relayed requests, for another control VM. */
    listRelayPeers(): readonly RelayPeer[] {
        return this.relayPeers.listOwn();
    }

    private listOtherControlVms(): readonly string[] {
        const { members: { voters, learners }, selfId } = this.options.log;
        return [...voters, ...learners].filter(({ id }) => id !== selfId).map(member => member.peerAddress);
    }

    /** Proposes a change that another control VM forwarded; refused if this VM is not the leader. */
    async handleProposal({ change }: ProposeParams): Promise<ForwardedOutcome> {
        return this.options.log.isLeader ? this.propose(change) : { kind: "refused" };
    }

    /** Returns the revision that a read must include (Raft's read index); undefined unless confirmed as the leader. */
    async confirmReadRevision(): Promise<number | undefined> {
        const isConfirmed = this.options.log.isLeader && await this.options.log.confirmLeadership();
        return isConfirmed ? this.state.revision : undefined;
    }

    /** Records what another control VM reports: received heartbeats, and its attached entries with their limits. */
    async recordHeartbeatReport(report: HeartbeatReport, memberId: string): Promise<HeartbeatReportAnswer> {
        const nowMs = this.nowMs();
        report.ids.forEach(id => this.lastHeartbeatAtMs.set(id, nowMs));
        this.entryCounts.recordCount(memberId, report.entryCount, nowMs);
        const limits = await this.limits.handleReport(report, memberId);
        const entryTotal = this.options.log.isLeader ? this.entryCounts.getTotal(nowMs) : undefined;
        const quotas = this.quotas.handleReport(report.quotas, memberId);
        const suspects = this.suspects.handleReport(report.suspects ?? undefined);
        return {
            entryTotal,
            limits,
            ...quotas === undefined ? {} : { quotas },
            ...suspects === undefined ? {} : { suspects },
        };
    }

    /**
     * Reports heartbeats and the entry count to the leader. At the leader, expires instances, removes VMs that are not
     * members, and computes the total of entries. Called every second.
     */
    runMaintenance(): void {
        const { log } = this.options;
        this.limits.runMaintenance();
        this.entryListExchange?.refresh();
        this.quotas.runMaintenance();
        this.suspects.runMaintenance();
        if (log.isLeader) {
            this.leaderSinceMs ??= this.nowMs();
            this.expireInstances(this.leaderSinceMs);
            this.removeNonMembers();
            this.entryCounts.computeTotal(this.attachedEntries.count(this.nowMs()), this.leaderSinceMs, this.nowMs());
        }
        else {
            this.leaderSinceMs = undefined;
            this.nonMemberSinceMs.clear();
            void this.leaderReports.send([...this.unreportedHeartbeatIds]);
        }
        this.unreportedHeartbeatIds = new Set();
        this.logQueuedBytes();
    }

    /** Records that a peer closed its connection before it had read everything. */
    recordUnread(peerId: string, unreadBytes: number): void {
        this.metrics.unreadConnections.inc();
        if (unreadBytes >= minLoggedQueuedBytes) {
            this.options.logger.info("a connection closed with unread bytes", { peer: peerId, unreadBytes });
        }
    }

    private logQueuedBytes(): void {
        const queued = this.options.readQueuedBytes?.();
        if (queued !== undefined && queued.total >= minLoggedQueuedBytes) {
            this.options.logger.info("bytes wait to be sent", {
                totalBytes: queued.total,
                maxBytes: queued.max,
                maxPeer: queued.maxPeer,
            });
        }
    }

    private get state(): DirectoryState {
        return this.options.log.state;
    }

    private onStateChange(): void {
        const { evacuatedZones, revision, routes: { version: routesVersion } } = this.state;
        if (routesVersion !== this.loggedRoutesVersion) {
            this.loggedRoutesVersion = routesVersion;
            this.routesDigest = digestRouteTable(this.state.entryRoutes);
            this.options.logger.info("applied routes", {
                routesVersion,
                version: revision,
                digest: this.routesDigest,
            });
        }
        if (evacuatedZones.join() !== this.loggedEvacuatedZones) {
            this.loggedEvacuatedZones = evacuatedZones.join();
            this.options.logger.info("evacuated zones changed", { evacuatedZones, version: revision });
        }
        this.limits.onDirectoryChanged();
        this.notifyChange();
    }

    private diffSince({ version, canUpdate, canUnpack }: WatchParams): DirectoryDelta {
        const delta = this.state.diffSince(version, canUpdate);
        if (delta.table !== undefined || delta.tableUpdate !== undefined) {
            this.metrics.routeAnswers.inc({ form: delta.table === undefined ? "update" : "table" });
        }
        return {
            ...(canUnpack === true ? this.routePacker.pack(delta) : delta),
            registrations: delta.registrations.map(registration => this.limits.cold.adjust(registration)),
        };
    }

    private notifyChange(): void {
        this.changeListeners.forEach(listener => listener());
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private recordHeartbeat(id: UpstreamId): void {
        this.lastHeartbeatAtMs.set(id, this.nowMs());
        this.unreportedHeartbeatIds.add(id);
    }

    private async submitAndLog(change: DirectoryChange, logFields: object): Promise<boolean> {
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
            return this.propose(change);
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

    /** Proposes a change as the leader, or refuses routes that the control VMs cannot hold. */
    private async propose(change: DirectoryChange): Promise<ForwardedOutcome> {
        const { log } = this.options;
        if (change.kind !== "routes") {
            return log.propose(change);
        }
        if (change.baseVersion !== this.state.routes.version) {
            // The base of an update can be a table that is not committed yet.
            await this.lastRouteProposal;
        }
        const detail = findSizeProblem(this.state.routes, change);
        if (detail !== undefined && !this.state.wasAccepted(change)) {
            return { kind: "applied", result: { outcome: RouteOutcome.invalid, detail } };
        }
        const proposal = log.propose(resolveUpdate(this.state.routes, change));
        this.lastRouteProposal = proposal;
        return proposal;
    }

    private async findReadRevision(): Promise<number | undefined> {
        const { log, links, logger } = this.options;
        const address = log.leaderAddress;
        if (log.isLeader || address === undefined) {
            return this.confirmReadRevision();
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

    private async waitForRevision(readRevision: number): Promise<boolean> {
        const untilMs = this.nowMs() + readTimeoutMs;
        while (this.state.revision < readRevision && this.nowMs() < untilMs) {
            await this.waitForChange(untilMs - this.nowMs());
        }
        return this.state.revision >= readRevision;
    }

    private waitForChange(waitMs: number): Promise<void> {
        return waitForCall(this.changeListeners, waitMs);
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

    private expireInstances(leaderSinceMs: number): void {
        const { log, heartbeatIntervalMs, logger } = this.options;
        const expiryMs = heartbeatIntervalMs * maxMissedHeartbeats;
        for (const { id, bornAtMs } of this.state.registrations.list()) {
            if (!this.lastHeartbeatAtMs.has(id)) {
                // Registered through another control VM, which has not reported its heartbeats yet.
                this.lastHeartbeatAtMs.set(id, this.nowMs());
            }
            const sinceHeartbeatMs = this.nowMs() - Math.max(this.lastHeartbeatAtMs.get(id) ?? 0, leaderSinceMs);
            if (sinceHeartbeatMs > expiryMs) {
                logger.warn("expiring an instance without heartbeats", { id, silentMs: Math.round(sinceHeartbeatMs) });
                this.lastHeartbeatAtMs.delete(id);
                void log.propose({ kind: "expire", id, bornAtMs });
            }
        }
    }
}

/** Waits until the listeners of a set are called, or for `waitMs`. */
function waitForCall(listeners: Set<() => void>, waitMs: number): Promise<void> {
    return new Promise(resolve => {
        const settle = () => {
            clearTimeout(timer);
            listeners.delete(settle);
            resolve();
        };
        const timer = setTimeout(settle, waitMs);
        listeners.add(settle);
    });
}
