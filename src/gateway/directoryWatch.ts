import { ageMs, type Clock, type Instant, readInstant } from "../core/clock.js";
import { ControlError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import type { DirectoryDelta } from "../directory/directoryState.js";
import { countedMs } from "../directory/entryRoster.js";
import { DirectoryMethod, type EntryReport, type WatchAnswer, type WatchParams } from "../directory/messages.js";
import { type ControlNode, emptyRouteTable, type RouteTable } from "../directory/model.js";
import { updateRoutes } from "../directory/updateRoutes.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { ChannelClient, type ChannelOptions } from "../transport/channel.js";
import type { GatewayLogger } from "./options.js";

const waitMs = 400;
const answerTimeoutMs = waitMs + 500;
const connectTimeoutMs = 400;
/** Pause before the next VM is asked when none has answered. */
const retryMs = 50;
/** A VM that failed is asked again after this time, unless no other is left. */
const avoidMs = 2000;
/** A VM of the own availability zone that failed is tried again after this time. */
const returnHomeMs = 2500;
/** The view counts as confirmed for this long after an answer of a control VM that hears the leader. */
const confirmedMs = 1500;

/** What the watch works with. */
export interface DirectoryWatchOptions {
    readonly channel: ChannelOptions;
    readonly availabilityZone: string;
    /** Peer addresses of control VMs that are known from the settings. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: GatewayLogger;
    readonly metrics: GatewayMetrics;
    readonly describeEntry: () => EntryReport;
    /** Takes what is new; versions only rise. `table` is undefined when the routes have not changed. */
    readonly onDelta: (delta: DirectoryDelta, table: RouteTable | undefined) => void;
}

/** Follows the directory through one control VM at a time, one of the own availability zone if there is one. */
export class DirectoryWatch {
    /** Entries attached to the same control VM. */
    entryCount = 1;
    /** Entries attached to all control VMs, as last told; undefined before. */
    entryTotal: number | undefined;
    /** Version of the view; 0 before the first answer. */
    version = 0;
    private table: RouteTable = emptyRouteTable;
    /** False after an update that does not fit the routes held; then whole routes are asked for. */
    private canUpdate = true;
    private nodes: readonly ControlNode[] = [];
    private client: ChannelClient | undefined;
    private confirmedAt: Instant | undefined;
    private isClosed = false;
    private readonly failedAtMs = new Map<string, number>();
    private readonly knownListeners = new Set<() => void>();

    constructor(private readonly options: DirectoryWatchOptions) {}

    /** Whether the view was up to date a moment ago. */
    get isConfirmed(): boolean {
        return this.confirmedAgeMs < confirmedMs;
    }

    /** Whether the control VMs count this entry among those that share budgets. */
    get isCounted(): boolean {
        return this.confirmedAgeMs < countedMs;
    }

    private get confirmedAgeMs(): number {
        return this.confirmedAt === undefined ? Infinity : ageMs(this.confirmedAt, this.options.clock);
    }

    /** Follows the directory until `close` is called. */
    async run(): Promise<void> {
        while (!this.isClosed) {
            const client = this.client ?? this.attach();
            const isGood = client !== undefined && await this.ask(client);
            if (!isGood && !this.isClosed) {
                this.detach();
                await new Promise(resolve => setTimeout(resolve, retryMs));
            }
            else if (this.shouldReturnHome()) {
                this.client?.close();
                this.client = undefined;
            }
        }
    }

    /** Waits until the directory is known, at most for this time. */
    waitUntilKnown(timeoutMs: number): Promise<void> {
        if (this.version > 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const settle = () => {
                clearTimeout(timer);
                this.knownListeners.delete(settle);
                resolve();
            };
            const timer = setTimeout(settle, timeoutMs);
            this.knownListeners.add(settle);
        });
    }

    /** Tells the control VM at once that the state of the entry has changed. */
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
        }
        return this.client;
    }

    private detach(): void {
        if (this.client !== undefined) {
            this.options.metrics.controlLost.inc();
            this.options.logger.warn("lost a control VM", { address: this.client.address, version: this.version });
            this.failedAtMs.set(this.client.address, this.nowMs());
            this.client.close();
            this.client = undefined;
        }
    }

    /** Own availability zone first, then in random order; VMs that failed a moment ago last. */
    private listCandidates(): readonly string[] {
        const { seeds, random } = this.options;
        const addresses = new Set([...this.nodes.map(node => node.peerAddress), ...seeds]);
        const rank = (address: string) => {
            const failedAgoMs = this.nowMs() - (this.failedAtMs.get(address) ?? -Infinity);
            return (failedAgoMs < avoidMs ? 4 - failedAgoMs / avoidMs : 0) + (this.isNear(address) ? 0 : 1) +
                random.nextUnit() / 2;
        };
        return [...addresses].map(address => ({ address, rank: rank(address) }))
            .sort((first, second) => first.rank - second.rank)
            .map(row => row.address);
    }

    private isNear(address: string): boolean {
        const { availabilityZone } = this.options;
        return this.nodes.some(node => node.peerAddress === address && node.availabilityZone === availabilityZone);
    }

    private shouldReturnHome(): boolean {
        const { client } = this;
        const home = this.nodes.find(node => this.isNear(node.peerAddress));
        const isAway = client !== undefined && home !== undefined && !this.isNear(client.address);
        return isAway && this.nowMs() - (this.failedAtMs.get(home.peerAddress) ?? -Infinity) > returnHomeMs;
    }

    private async ask(client: ChannelClient): Promise<boolean> {
        if (!await client.waitConnected(connectTimeoutMs)) {
            return false;
        }
        try {
            const entry = this.options.describeEntry();
            const params: WatchParams = { entry, version: this.version, canUpdate: this.canUpdate, waitMs };
            const sentAt = readInstant(this.options.clock);
            const answer = await client.call(DirectoryMethod.watch, params, answerTimeoutMs) as WatchAnswer;
            return this.take(answer, sentAt);
        }
        catch (error) {
            this.options.logger.info("a control VM did not answer", {
                address: client.address,
                reason: (error as Error).message,
            });
            return false;
        }
    }

    /** Returns the routes after a delta, or undefined when they have not changed. */
    private findTable({ table, tableUpdate }: DirectoryDelta): RouteTable | undefined {
        if (tableUpdate === undefined || tableUpdate === null) {
            return table ?? undefined;
        }
        if (tableUpdate.baseVersion !== this.table.version) {
            this.canUpdate = false;
            throw new ControlError("update-unfit", { base: tableUpdate.baseVersion, held: this.table.version });
        }
        return updateRoutes(this.table, tableUpdate.update);
    }

    /** An answer of a VM that does not hear the leader may be old. */
    private take({ isLed, delta, entryCount, entryTotal }: WatchAnswer, sentAt: Instant): boolean {
        const isBehind = delta !== undefined && delta !== null && delta.version < this.version;
        if (!isLed || isBehind) {
            return false;
        }
        this.entryCount = entryCount;
        this.entryTotal = entryTotal ?? this.entryTotal;
        if (this.version === 0) {
            this.options.logger.info("learned the directory", { version: delta?.version });
        }
        if (delta !== undefined && delta !== null) {
            const table = this.findTable(delta);
            this.version = delta.version;
            this.nodes = delta.nodes ?? this.nodes;
            this.table = table ?? this.table;
            this.canUpdate = true;
            this.options.onDelta(delta, table);
        }
        this.confirmedAt = sentAt;
        this.knownListeners.forEach(settle => settle());
        return true;
    }
}
