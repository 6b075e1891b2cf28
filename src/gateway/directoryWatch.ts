import { ageMs, type Clock, type Instant, readInstant } from "../core/clock.js";
import { ControlError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import { maxCountedAgeMs } from "../directory/attachedEntries.js";
import type { DirectoryDelta } from "../directory/directoryState.js";
import {
    DirectoryMethod,
    type EntryReport,
    type RelayPeer,
    type WatchAnswer,
    type WatchParams,
} from "../directory/messages.js";
import { type ControlNode, emptyRouteTable, type RouteTable } from "../directory/model.js";
import { unpackRoutes } from "../directory/packedRoutes.js";
import type { EntryLimits } from "../directory/rateLimits.js";
import { updateRoutes } from "../directory/updateRoutes.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { ZoneDemand } from "../overload/demand.js";
import type { EntryQuotas, QuotaUse } from "../quotas/quotaMessages.js";
import type { EntrySuspects } from "../suspects/suspectMessages.js";
import { ChannelClient, type ChannelOptions, computeBackoffMs } from "../transport/channel.js";
import { rankControlVms } from "./controlVmRanking.js";
import { ControlVmSearch } from "./controlVmSearch.js";
import type { GatewayLogger } from "./options.js";

/** Time for which a control VM may hold a watch call while the directory does not change. */
const waitMs = 400;
/** The same while the entry waits for peers; not 0, since there may be none for some time. */
const urgentWaitMs = 20;
/** Time beyond the requested wait after which a watch call has failed. */
const answerTimeoutMs = 500;
const connectTimeoutMs = 400;
/** Pause before the next control VM is tried after a failure; doubles with each further one up to the maximum. */
const retryPauseMs = 50;
const maxRetryPauseMs = 200;
/** A control VM that failed is not tried again for this time while others are available. */
const failureCooldownMs = 2000;
/** Time after the failure of a control VM of the local availability zone until the watch returns to it. */
const failbackDelayMs = 2500;
/** Time for which the directory is used as confirmed, from the time as of which the control VMs confirmed it. */
const confirmationTtlMs = 1500;

/** Receives rate limits from the control VM in use. */
export interface LimitsReceiver {
    /** Version of the limits that are held; 0 if none. */
    readonly version: number;
    /** `sentAt` is when the call was sent whose answer the limits are. */
    apply(limits: EntryLimits, sentAt: Instant): void;
    /** Called when the watch turns to another control VM, whose versions are its own. */
    resetVersion(): void;
}

/** Receives quotas of organisations from the control VM in use. */
export interface QuotasReceiver {
    /** Version of the quotas that are held; undefined while no organisation has one. */
    readonly version: number | undefined;
    apply(quotas: EntryQuotas, sentAt: Instant): void;
    resetVersion(): void;
    /** Takes back the use in a report that may not have arrived. */
    returnUses(uses: readonly QuotaUse[] | undefined): void;
}

/** Receives requests suspected of crashing instances from the control VM in use. */
export interface SuspectsReceiver {
    /** Version of the suspects that are held; 0 if none. */
    readonly version: number;
    apply(suspects: EntrySuspects): void;
    resetVersion(): void;
}

/** Receives entries through which requests can be relayed. */
export interface PeersReceiver {
    readonly wantsPeers: boolean;
    readonly hasPeers: boolean;
    setPeers(peers: readonly RelayPeer[]): void;
}

/** Options of a directory watch. */
export interface DirectoryWatchOptions {
    readonly channel: ChannelOptions;
    readonly availabilityZone: string;
    /** Configured peer addresses of control VMs. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    readonly describeEntry: () => EntryReport;
    /** Applies a delta; versions never decrease. `table` is undefined when the routes have not changed. */
    readonly onDelta: (delta: DirectoryDelta, table: RouteTable | undefined) => void;
    /** Receives the rate limits with this entry's shares. */
    readonly limits: LimitsReceiver;
    /** Receives the quotas of organisations; undefined if they are not supported. */
    readonly quotas?: QuotasReceiver;
    /** Receives requests suspected of crashing instances; undefined if they are not supported. */
    readonly suspects?: SuspectsReceiver;
    /** Receives peers while it asks for them; undefined if the entry does not relay. */
    readonly peers?: PeersReceiver | undefined;
    /** Receives the demand for services that are short of capacity; undefined if there are none. */
    readonly onDemand?: ((demand: readonly ZoneDemand[] | undefined, sentAt: Instant) => void) | undefined;
}

/** Answer of a control VM that is certain not to be behind. */
interface CurrentAnswer {
    readonly answer: WatchAnswer;
    readonly sentAt: Instant;
    readonly address: string;
}

/** Watches the directory through one control VM at a time, preferably of the local availability zone. */
export class DirectoryWatch {
    /** Entries attached to the same control VM. */
    entryCount = 1;
    /** Entries attached to all control VMs as last reported; undefined before the first report. */
    entryTotal: number | undefined;
    /** Version of the directory; 0 before the first answer. */
    version = 0;
    private table: RouteTable = emptyRouteTable;
    /** False after an update that does not fit the applied routes; watch calls then request the full table. */
    private canUpdate = true;
    /** False after compressed routes that could not be read. */
    private canUnpack = true;
    private nodes: readonly ControlNode[] = [];
    private client: ChannelClient | undefined;
    private confirmedAt: Instant | undefined;
    /** When the last call was sent whose answer was applied. */
    private reportedAt: Instant | undefined;
    private isClosed = false;
    private readonly failedAtMs = new Map<string, number>();
    private readonly pendingWaits = new Set<() => void>();

    constructor(private readonly options: DirectoryWatchOptions) {}

    /** Whether the directory was recently confirmed to be up to date. */
    get isConfirmed(): boolean {
        return this.confirmedAgeMs < confirmationTtlMs;
    }

    /** Whether the control VMs count this entry among those that share cluster-wide budgets. */
    get isCounted(): boolean {
        return this.reportedAt !== undefined && ageMs(this.reportedAt, this.options.clock) < maxCountedAgeMs;
    }

    /** Milliseconds since the directory was last confirmed to be up to date; Infinity before the first time. */
    get confirmedAgeMs(): number {
        return this.confirmedAt === undefined ? Infinity : ageMs(this.confirmedAt, this.options.clock);
    }

    /** Watches the directory until `close` is called. */
    async run(): Promise<void> {
        let failureCount = 0;
        while (!this.isClosed) {
            const client = this.client ?? this.attach();
            const isUsable = client !== undefined && await this.poll(client);
            if (!isUsable && !this.isClosed && this.version > 0) {
                await this.search();
            }
            else if (!isUsable && !this.isClosed) {
                this.detach();
                const pauseMs = computeBackoffMs(retryPauseMs, maxRetryPauseMs, failureCount);
                failureCount++;
                await new Promise(resolve => setTimeout(resolve, pauseMs));
            }
            else {
                failureCount = 0;
                await this.moveToPreferred();
            }
        }
    }

    /** Waits until the first answer has been applied or the timeout has passed. */
    waitUntilKnown(timeoutMs: number): Promise<void> {
        if (this.version > 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const settle = () => {
                clearTimeout(timer);
                this.pendingWaits.delete(settle);
                resolve();
            };
            const timer = setTimeout(settle, timeoutMs);
            this.pendingWaits.add(settle);
        });
    }

    /** Reports the state of the entry to the control VM immediately. */
    report(): void {
        this.client?.notify(DirectoryMethod.reportEntry, this.options.describeEntry());
    }

    close(): void {
        this.isClosed = true;
        this.client?.close();
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private attach(): ChannelClient | undefined {
        const address = this.listCandidates().at(0);
        if (address !== undefined) {
            this.client = new ChannelClient(address, this.options.channel);
            this.resetVersions();
        }
        return this.client;
    }

    /** Replaces the control VM in use, which gave no answer or cannot confirm the directory. */
    private async search(): Promise<void> {
        const { client } = this;
        this.logLoss();
        this.client = undefined;
        const search = new ControlVmSearch<ChannelClient, CurrentAnswer>({
            connect: address => new ChannelClient(address, this.options.channel),
            ask: candidate => this.askForCurrent(candidate),
        }, client);
        this.resetVersions();
        for (let roundCount = 0; this.client === undefined && !this.isClosed; roundCount++) {
            const found = await search.runRound(this.listCandidates());
            search.listSilent().forEach(address => this.failedAtMs.set(address, this.nowMs()));
            if (found !== undefined && this.applyAnswer(found.answer)) {
                this.client = found.client;
                break;
            }
            const pauseMs = computeBackoffMs(retryPauseMs, maxRetryPauseMs, roundCount);
            await new Promise(resolve => setTimeout(resolve, pauseMs));
        }
        search.close(this.isClosed ? undefined : this.client);
    }

    /** Each control VM has its own versions of limits, quotas and suspects. */
    private resetVersions(): void {
        this.options.limits.resetVersion();
        this.options.quotas?.resetVersion();
        this.options.suspects?.resetVersion();
    }

    private detach(): void {
        this.logLoss();
        if (this.client !== undefined) {
            this.failedAtMs.set(this.client.address, this.nowMs());
            this.client.close();
            this.client = undefined;
        }
    }

    private logLoss(): void {
        if (this.client !== undefined) {
            this.options.metrics.controlVmLosses.inc();
            this.options.logger.warn("disconnected from a control VM", {
                address: this.client.address,
                version: this.version,
                confirmedAgeMs: Math.round(this.confirmedAgeMs),
            });
        }
    }

    /**
     * Lists the local availability zone first, in order of preference, then the others in random order, then the
     * configured ones that the directory does not list, which may have been replaced; recently failed control VMs last.
     */
    private listCandidates(): readonly string[] {
        const { seeds, random } = this.options;
        const nodeAddresses = this.nodes.map(node => node.peerAddress);
        const addresses = new Set([...nodeAddresses, ...seeds]);
        const preferences = rankControlVms(this.options.channel.selfId, nodeAddresses);
        const rank = (address: string) => {
            const sinceFailureMs = this.nowMs() - (this.failedAtMs.get(address) ?? -Infinity);
            return (sinceFailureMs < failureCooldownMs ? 5 - sinceFailureMs / failureCooldownMs : 0) +
                (this.isInLocalZone(address)
                    ? preferences.indexOf(address) / (2 * preferences.length)
                    : (preferences.includes(address) ? 1 : 2) + random.nextUnit() / 2);
        };
        return [...addresses].map(address => ({ address, rank: rank(address) }))
            .sort((first, second) => first.rank - second.rank)
            .map(candidate => candidate.address);
    }

    private isInLocalZone(address: string): boolean {
        const { availabilityZone } = this.options;
        return this.nodes.some(node => node.peerAddress === address && node.availabilityZone === availabilityZone);
    }

    /** Moves to the preferred control VM of the local availability zone once it has answered a watch call. */
    private async moveToPreferred(): Promise<void> {
        const address = this.findPreferred();
        if (address === undefined || address === this.client?.address) {
            return;
        }
        // The control VM in use keeps offering this entry to callers while the other one is connected.
        this.report();
        const client = new ChannelClient(address, this.options.channel);
        this.resetVersions();
        if (!await this.poll(client, 0) || this.isClosed) {
            this.options.logger.info("the preferred control VM cannot be used", { address });
            this.failedAtMs.set(address, this.nowMs());
            client.close();
            this.resetVersions();
            return;
        }
        this.client?.close();
        this.client = client;
    }

    /** Returns the control VM of the local availability zone that this entry uses unless it has failed recently. */
    private findPreferred(): string | undefined {
        const hasFailed = (address: string) =>
            this.nowMs() - (this.failedAtMs.get(address) ?? -Infinity) <= failbackDelayMs;
        const local = this.nodes.map(node => node.peerAddress).filter(address => this.isInLocalZone(address));
        return rankControlVms(this.options.channel.selfId, local).find(address => !hasFailed(address));
    }

    private async poll(client: ChannelClient, maxWaitMs = waitMs): Promise<boolean> {
        const current = await this.askForCurrent(client, maxWaitMs);
        return current !== undefined && this.applyAnswer(current);
    }

    /** Asks for the directory; resolves with undefined if the control VM does not answer or may be behind. */
    private async askForCurrent(client: ChannelClient, maxWaitMs = 0): Promise<CurrentAnswer | undefined> {
        if (!await client.waitConnected(connectTimeoutMs)) {
            return undefined;
        }
        const entry = this.options.describeEntry();
        try {
            const { version, canUpdate } = this;
            const limitsVersion = this.options.limits.version;
            const { peers, quotas, suspects } = this.options;
            const quotasVersion = quotas?.version;
            const quotasField = quotasVersion === undefined ? {} : { quotasVersion };
            const suspectsField = suspects === undefined ? {} : { suspectsVersion: suspects.version };
            const peersQuery = peers?.wantsPeers === true ? { wantsPeers: true } : {};
            // An entry without peers serves nothing until it gets some.
            const isUrgent = peers?.wantsPeers === true && !peers.hasPeers;
            const params: WatchParams = {
                entry,
                version,
                canUpdate,
                canUnpack: this.canUnpack,
                limitsVersion,
                waitMs: Math.min(maxWaitMs, isUrgent ? urgentWaitMs : waitMs),
                ...quotasField,
                ...suspectsField,
                ...peersQuery,
            };
            const sentAt = readInstant(this.options.clock);
            const answer = await client.call(
                DirectoryMethod.watch,
                params,
                params.waitMs + answerTimeoutMs,
            ) as WatchAnswer;
            return this.isCurrent(answer, client.address) ? { answer, sentAt, address: client.address } : undefined;
        }
        catch (error) {
            this.options.quotas?.returnUses(entry.quotas);
            this.logFailure(client.address, error as Error);
            return undefined;
        }
    }

    private logFailure(address: string, { message }: Error): void {
        this.options.logger.info("watch call to a control VM failed", { address, reason: message });
    }

    /** Whether an answer is certain not to be outdated: with contact to the leader and no older than what is held. */
    private isCurrent({ isLed, delta }: WatchAnswer, address: string): boolean {
        const isStale = delta !== undefined && delta !== null && delta.version < this.version;
        if (!isLed || isStale) {
            this.options.logger.info("control VM may be behind", { address, isLed, held: this.version, isStale });
        }
        return isLed && !isStale;
    }

    /** Asks for routes that are not compressed if these cannot be read. */
    private unpack(delta: DirectoryDelta): DirectoryDelta {
        try {
            return unpackRoutes(delta);
        }
        catch (error) {
            this.canUnpack = false;
            throw error;
        }
    }

    /**
     * Returns the route table after a delta, or undefined when it has not changed. Throws ControlError `update-unfit`
     * when the update has another base version.
     */
    private resolveTable({ table, tableUpdate }: DirectoryDelta): RouteTable | undefined {
        if (tableUpdate === undefined || tableUpdate === null) {
            return table ?? undefined;
        }
        if (tableUpdate.baseVersion !== this.table.version) {
            this.canUpdate = false;
            throw new ControlError("update-unfit", { base: tableUpdate.baseVersion, held: this.table.version });
        }
        return updateRoutes(this.table, tableUpdate.update);
    }

    /** Keeps the version and asks for the whole table if an exception is thrown, since a part may have been applied. */
    private applyDelta(delta: DirectoryDelta, table: RouteTable | undefined): void {
        const { version } = this;
        // The report that is sent meanwhile depends on it.
        this.version = delta.version;
        try {
            this.options.onDelta(delta, table);
        }
        catch (error) {
            const reason = (error as Error).stack;
            this.options.logger.error("cannot apply the directory", { held: version, version: delta.version, reason });
            this.version = version;
            this.canUpdate = false;
            throw error;
        }
        this.nodes = delta.nodes ?? this.nodes;
        this.table = table ?? this.table;
        this.canUpdate = true;
    }

    /** The control VM received the call after `sentAt`, so that subtracting the age makes the confirmation no newer. */
    private recordConfirmation({ monotonicMs, wallMs }: Instant, confirmationAgeMs: number): void {
        const confirmedAt = { monotonicMs: monotonicMs - confirmationAgeMs, wallMs: wallMs - confirmationAgeMs };
        if (ageMs(confirmedAt, this.options.clock) < this.confirmedAgeMs) {
            this.confirmedAt = confirmedAt;
        }
    }

    /** Applies an answer; returns whether that succeeded. */
    private applyAnswer(current: CurrentAnswer): boolean {
        try {
            this.applyContent(current);
            return true;
        }
        catch (error) {
            this.logFailure(current.address, error as Error);
            return false;
        }
    }

    private applyContent({ answer, sentAt }: CurrentAnswer): void {
        const { delta, entryCount, entryTotal, limits, quotas, peers, demand, suspects } = answer;
        this.entryCount = entryCount;
        this.entryTotal = entryTotal ?? this.entryTotal;
        if (this.version === 0) {
            this.options.logger.info("received the directory for the first time", { version: delta?.version });
        }
        if (delta !== undefined && delta !== null) {
            const unpackedDelta = this.unpack(delta);
            this.applyDelta(unpackedDelta, this.resolveTable(unpackedDelta));
        }
        if (limits !== undefined && limits !== null) {
            this.options.limits.apply(limits, sentAt);
        }
        if (quotas !== undefined && quotas !== null) {
            this.options.quotas?.apply(quotas, sentAt);
        }
        if (peers !== undefined && peers !== null) {
            this.options.peers?.setPeers(peers);
        }
        if (suspects !== undefined && suspects !== null) {
            this.options.suspects?.apply(suspects);
        }
        this.options.onDemand?.(demand ?? undefined, sentAt);
        this.reportedAt = sentAt;
        this.recordConfirmation(sentAt, answer.confirmedAgeMs ?? 0);
        this.pendingWaits.forEach(settle => settle());
    }
}
