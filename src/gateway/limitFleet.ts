import { ManualClock, readInstant } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { type DirectoryLog, DirectoryService } from "../directory/directoryService.js";
import { type DirectoryChange, DirectoryState } from "../directory/directoryState.js";
import { DirectoryMethod, type EntryReport, type HeartbeatReport } from "../directory/messages.js";
import type { Registration, RoutedService } from "../directory/model.js";
import { makeRegistration, makeTable } from "../directory/testing.js";
import { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import type { ProbeResult } from "./loadProber.js";
import { Placer } from "./placer.js";
import { UpstreamAffinity } from "./upstreamAffinity.js";
import { MessageKind, UpstreamLimits } from "./upstreamLimits.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const stepMs = 20;
const watchIntervalMs = 400;
const reportIntervalMs = 1000;
const workMs = 120;
const retryMs = 100;
const msPerSecond = 1000;
/** Rule of the platform: requests in any window of this length, and when a limit and an entry begin to count. */
const ruleWindowMs = 4000;
const ruleStartMs = 3000;
const ruleToldMs = 500;
const silentLogger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };
const zero = () => 0;

/** Size of a simulated fleet. */
export interface FleetScale {
    readonly entryCount: number;
    /** Availability zone of each control VM. */
    readonly controlZones: readonly string[];
    /** Instances of the service in each zone. */
    readonly instancesPerZone: number;
    /** Zones with instances; all if undefined. */
    readonly instanceZones?: readonly string[];
    /** Requests a second and entry. */
    readonly requestsPerSecond: number;
    /** Configured services; with them, entries take registrations from the control VMs, which wake them. */
    readonly services?: readonly RoutedService[];
}

/** An instance and the messages that it got. */
export interface SimulatedInstance {
    registration: Registration;
    coldUntilMs?: number;
    /** Limits that it named, in requests a second, with their times; undefined when it named none. */
    namedLimits: { readonly atMs: number; readonly perSecond: number | undefined; }[];
    readonly arrivals: { readonly atMs: number; readonly entry: SimulatedEntry; readonly kind: MessageKind; }[];
}

/** An entry with its real placement code; messages to instances arrive instantly. */
class SimulatedEntry {
    readonly upstreamTable = new UpstreamStateTable();
    readonly limits: UpstreamLimits;
    readonly placer: Placer;
    /** When a response with a limit was first passed on, by instance. */
    readonly toldAtMs = new Map<string, number>();
    isPartitioned = false;
    version = 0;
    suspendedUntilMs = 0;

    constructor(readonly fleet: LimitFleet, readonly id: string, readonly zone: string, public control: number) {
        const { clock, random } = fleet;
        const metrics = new GatewayMetrics({
            inFlight: zero,
            directoryVersion: zero,
            routesVersion: zero,
            isConfirmed: () => true,
            upstreams: zero,
            ejectedUpstreams: zero,
            limitedUpstreams: zero,
            coldUpstreams: zero,
        });
        const { upstreamTable } = this;
        const onObserved = () => fleet.report(this);
        this.limits = new UpstreamLimits({ upstreamTable, clock, logger: silentLogger, metrics, onObserved });
        this.placer = new Placer({
            affinity: new UpstreamAffinity(id),
            upstreamTable,
            upstreamLimits: this.limits,
            prober: {
                connect: state => this.lease(state),
                probeAll: candidates => Promise.resolve(candidates.map(state => this.probe(state))),
                isConnected: () => true,
            },
            availabilityZone: zone,
            probesPerSecond: () => 1000,
            clock,
            random,
        });
        this.limits.cold.setServices(fleet.scale.services ?? []);
        if (fleet.scale.services === undefined) {
            fleet.instances.forEach(({ registration }) => this.upstreamTable.set(registration, clock.monotonicMs()));
        }
    }

    /** Places a request; returns whether an instance got it. */
    async send(): Promise<boolean> {
        const nowMs = this.fleet.nowMs;
        this.limits.recordDemand("orders");
        const placement = await this.placer.place({
            service: makeTable(1).services[0],
            excluded: new Set(),
            priority: 1,
            targetAtMs: nowMs + msPerSecond,
            onTimeOnlyUntilMs: nowMs,
            waitUntilMs: nowMs,
            baselineMs: workMs,
            isExchangeEnded: () => false,
        });
        if (placement === undefined) {
            return false;
        }
        const { upstreamState } = placement;
        const instance = this.arrive(upstreamState, MessageKind.request);
        this.fleet.schedule(workMs, () => {
            const limitPerSecond = instance.namedLimits.at(-1)?.perSecond;
            if (limitPerSecond !== undefined && !this.toldAtMs.has(instance.registration.id)) {
                this.toldAtMs.set(instance.registration.id, this.fleet.nowMs);
            }
            const statement = limitPerSecond === undefined
                ? { kind: "none" } as const
                : { kind: "limit", perSecond: limitPerSecond } as const;
            this.limits.recordStatement(upstreamState, statement, MessageKind.request, true);
        });
        return true;
    }

    describe(): EntryReport {
        return {
            id: this.id,
            address: this.id,
            availabilityZone: this.zone,
            isServing: true,
            services: this.limits.listRequestedServices(),
            limits: this.limits.listUnreported(),
            ...this.limits.cold.describeUnreported(),
        };
    }

    private probe(upstreamState: UpstreamState): ProbeResult {
        const { coldUntilMs } = this.arrive(upstreamState, MessageKind.probe);
        const { nowMs } = this.fleet;
        this.limits.cold.recordProbe(
            upstreamState,
            coldUntilMs === undefined ? undefined : Math.max(0, coldUntilMs - nowMs),
        );
        upstreamState.load = { running: 0, waiting: 0, slots: 3, slowdown: 1 };
        upstreamState.loadAskedAtMs = this.fleet.nowMs;
        return this.lease(upstreamState);
    }

    private lease(upstreamState: UpstreamState): ProbeResult {
        return { upstreamState, connection: { dispatcher: undefined as never, release: zero, discard: zero } };
    }

    private arrive(upstreamState: UpstreamState, kind: MessageKind): SimulatedInstance {
        const instance = this.fleet.instance(upstreamState.registration.id);
        // An earlier incarnation's message is refused or answered 421.
        if (instance.registration.bornAtMs === upstreamState.registration.bornAtMs) {
            instance.arrivals.push({ atMs: this.fleet.nowMs, entry: this, kind });
        }
        upstreamState.isUsed = true;
        return instance;
    }
}

interface SimulatedControl {
    readonly service: DirectoryService;
    readonly log: { isLeader: boolean; leaderAddress: string | undefined; readonly state: DirectoryState; };
    isDown: boolean;
    /** Whether the directory or the shares have changed since the entries were last woken. */
    hasChanged: boolean;
}

/** Entries and control VMs with the real decision code for limits; time and messages are simulated. */
export class LimitFleet {
    readonly clock = new ManualClock();
    readonly random: SeededRandom;
    readonly instances: SimulatedInstance[] = [];
    readonly entries: SimulatedEntry[];
    readonly controls: SimulatedControl[];
    placedCount = 0;
    /** Demand relative to that of the scale. */
    demandFactor = 1;
    refusedCount = 0;
    private readonly scheduled: { readonly atMs: number; readonly run: () => void; }[] = [];

    constructor(readonly scale: FleetScale, seed: number) {
        this.random = new SeededRandom(seed);
        const zones = scale.instanceZones ?? [...new Set(scale.controlZones)];
        zones.forEach(zone => {
            for (let index = 0; index < scale.instancesPerZone; index++) {
                const id = `i-${zone}-${index}`;
                const registration = makeRegistration({ id, address: `${id}:80`, availabilityZone: zone });
                this.instances.push({ registration, namedLimits: [], arrivals: [] });
            }
        });
        this.controls = scale.controlZones.map((_zone, index) => this.makeControl(index));
        this.entries = Array.from({ length: scale.entryCount }, (_, index) => {
            const control = index % scale.controlZones.length;
            return new SimulatedEntry(this, `e-${index}`, scale.controlZones[control], control);
        });
    }

    get nowMs(): number {
        return this.clock.monotonicMs();
    }

    instance(id: string): SimulatedInstance {
        const found = this.instances.find(({ registration }) => registration.id === id);
        if (found === undefined) {
            throw new Error(`there is no instance ${id}`);
        }
        return found;
    }

    /** Lets an instance name a limit, or none. */
    nameLimit(instance: SimulatedInstance, limitPerSecond: number | undefined): void {
        instance.namedLimits.push({ atMs: this.nowMs, perSecond: limitPerSecond });
    }

    /** Restarts an instance under its id; it names no limit until told otherwise. */
    restartInstance(instance: SimulatedInstance): void {
        const { id, bornAtMs } = instance.registration;
        instance.registration = { ...instance.registration, bornAtMs: bornAtMs + 1 };
        instance.namedLimits = [];
        instance.arrivals.length = 0;
        const { registration } = instance;
        this.controls.forEach(control => control.service.register(registration));
        this.entries.forEach(entry => {
            entry.upstreamTable.set(registration, this.nowMs);
            entry.toldAtMs.delete(id);
        });
    }

    /** Restarts an entry, which forgets all limits. */
    restartEntry(index: number): void {
        const { id, zone, control } = this.entries[index];
        this.entries[index] = new SimulatedEntry(this, id, zone, control);
    }

    /** Stops the leader; after an election, another control VM leads. */
    changeLeader(electionMs: number): void {
        const leader = this.controls.findIndex(({ log }) => log.isLeader);
        if (leader < 0) {
            return;
        }
        this.controls.forEach(({ log }) => {
            log.isLeader = false;
            log.leaderAddress = undefined;
        });
        this.schedule(electionMs, () => {
            const next = (leader + 1) % this.controls.length;
            this.controls.forEach(({ log }, index) => {
                log.isLeader = index === next;
                log.leaderAddress = index === next ? undefined : `c-${next}`;
            });
        });
    }

    /** Restarts all control VMs, which keep what is on their disks and forget the limits. */
    restartControls(): void {
        this.controls.forEach(({ log }, index) => {
            const { isLeader, leaderAddress } = log;
            this.controls[index] = this.makeControl(index);
            Object.assign(this.controls[index].log, { isLeader, leaderAddress });
        });
        this.entries.forEach(entry => {
            entry.version = 0;
            entry.limits.resetVersion();
        });
    }

    /** Attaches an entry to another control VM. */
    moveEntry(index: number): void {
        const entry = this.entries[index];
        entry.control = (entry.control + 1) % this.controls.length;
        entry.limits.resetVersion();
    }

    /** Commits a registration at the leader, once there is one, and then at the other control VMs. */
    publish(registration: Registration): void {
        const leader = this.controls.find(({ log }) => log.isLeader);
        if (leader === undefined) {
            this.schedule(retryMs, () => this.publish(registration));
            return;
        }
        const apply = ({ log: { state } }: SimulatedControl) => state.apply({ kind: "register", registration });
        this.schedule(stepMs, () => apply(leader));
        this.schedule(2 * stepMs, () => this.controls.filter(control => control !== leader).forEach(apply));
    }

    schedule(delayMs: number, run: () => void): void {
        this.scheduled.push({ atMs: this.nowMs + delayMs, run });
    }

    /** Runs the fleet for a time under steady demand. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            await this.step();
        }
    }

    /**
     * Returns the largest excess over what the rule allows an instance to get in a window, which ends `ruleStartMs`
     * after it first named a limit or later. Requests and load probes count, from entries that had been told. After a
     * change, the higher limit applies for `ruleStartMs`.
     */
    findExcess({ registration, namedLimits, arrivals }: SimulatedInstance): number {
        const firstNamedAtMs = namedLimits.find(({ perSecond }) => perSecond !== undefined)?.atMs ?? Infinity;
        const told = arrivals.filter(({ atMs, entry }) =>
            (entry.toldAtMs.get(registration.id) ?? Infinity) + ruleToldMs <= atMs
        );
        let excess = -Infinity;
        for (const { atMs } of told) {
            const startMs = atMs - ruleWindowMs;
            const applying = namedLimits.filter(({ atMs: fromMs }, index) =>
                fromMs <= atMs && (namedLimits.at(index + 1)?.atMs ?? Infinity) >= startMs - ruleStartMs
            );
            if (atMs >= firstNamedAtMs + ruleStartMs && applying.every(({ perSecond }) => perSecond !== undefined)) {
                const limit = Math.max(...applying.map(({ perSecond }) => perSecond ?? 0));
                const count = told.filter(other => other.atMs > startMs && other.atMs <= atMs).length;
                excess = Math.max(excess, count - 1.5 * limit * ruleWindowMs / msPerSecond - 5);
            }
        }
        return excess;
    }

    /** Returns the requests a second, without probes, that an instance got since a time. */
    measureRate(instance: SimulatedInstance, sinceMs: number): number {
        const count = instance.arrivals.filter(({ atMs, kind }) => atMs >= sinceMs && kind === MessageKind.request);
        return count.length * msPerSecond / (this.nowMs - sinceMs);
    }

    private async step(): Promise<void> {
        this.clock.advance(stepMs);
        const { nowMs } = this;
        const due = this.scheduled.filter(({ atMs }) => atMs <= nowMs);
        due.forEach(item => {
            this.scheduled.splice(this.scheduled.indexOf(item), 1);
            item.run();
        });
        this.controls.forEach((control, index) => {
            if (!control.isDown && (nowMs + index * 100) % reportIntervalMs === 0) {
                control.service.runMaintenance();
            }
        });
        const { requestsPerSecond, services } = this.scale;
        const woken = this.controls.map(({ hasChanged }) => services !== undefined && hasChanged);
        this.controls.forEach(control => control.hasChanged = false);
        const work = this.entries.flatMap((entry, index) => {
            if (entry.suspendedUntilMs > nowMs) {
                return [];
            }
            const isWatching = woken[entry.control] || (nowMs + index * stepMs) % watchIntervalMs === 0;
            const expected = this.demandFactor * requestsPerSecond * stepMs / msPerSecond;
            const sends = Math.floor(expected) + (this.random.nextUnit() < expected % 1 ? 1 : 0);
            return [
                ...(isWatching ? [this.watch(entry)] : []),
                ...Array.from({ length: sends }, () => this.send(entry)),
            ];
        });
        await Promise.all(work);
    }

    private async send(entry: SimulatedEntry): Promise<void> {
        const isPlaced = await entry.send();
        this.placedCount += isPlaced ? 1 : 0;
        this.refusedCount += isPlaced ? 0 : 1;
    }

    /** Reports what an entry saw to its control VM at once. */
    report(entry: SimulatedEntry): void {
        const control = this.controls[entry.control];
        if (!entry.isPartitioned && !control.isDown) {
            control.service.recordEntry(entry.describe());
        }
    }

    private async watch(entry: SimulatedEntry): Promise<void> {
        const control = this.controls[entry.control];
        if (entry.isPartitioned || control.isDown) {
            return;
        }
        const sentAt = readInstant(this.clock);
        const { limits, delta } = await control.service.watch({
            entry: entry.describe(),
            version: entry.version,
            limitsVersion: entry.limits.version,
            waitMs: 0,
        });
        if (delta !== undefined && this.scale.services !== undefined) {
            entry.version = delta.version;
            delta.registrations.forEach(registration => entry.upstreamTable.set(registration, this.nowMs));
        }
        if (limits !== undefined) {
            entry.limits.apply(limits, sentAt);
        }
    }

    private makeControl(index: number): SimulatedControl {
        const state = new DirectoryState();
        const { services } = this.scale;
        if (services !== undefined) {
            const table = { ...makeTable(1), services };
            state.apply({ kind: "routes", baseVersion: 0, table, update: undefined, proposedAtMs: 0 });
        }
        this.instances.forEach(({ registration }) => state.apply({ kind: "register", registration }));
        const { clock } = this;
        const log = {
            isLeader: index === 0,
            isLed: true,
            get confirmedAtMs() {
                return clock.monotonicMs();
            },
            onContactChange: () => undefined,
            leaderAddress: index === 0 ? undefined : "c-0",
            selfId: `c-${index}`,
            state,
            members: { voters: [], learners: [] },
            propose: (change: DirectoryChange) => Promise.resolve({ kind: "applied", result: state.apply(change) }),
            confirmLeadership: () => Promise.resolve(log.isLeader),
        };
        const call = async (address: string, method: string, params: unknown): Promise<unknown> => {
            const peer = this.controls[Number(address.split("-")[1])];
            if (peer.isDown || method !== DirectoryMethod.reportHeartbeats) {
                throw new Error("no answer");
            }
            return peer.service.recordHeartbeatReport(params as HeartbeatReport, `c-${index}`);
        };
        const service = new DirectoryService({
            log: log as unknown as DirectoryLog & typeof log,
            links: { isConnected: () => true, call, notify: () => undefined },
            clock: this.clock,
            logger: silentLogger,
            heartbeatIntervalMs: 1e9,
        });
        const control = { service, log, isDown: false, hasChanged: false };
        service["changeListeners"].add(() => control.hasChanged = true);
        return control;
    }
}
