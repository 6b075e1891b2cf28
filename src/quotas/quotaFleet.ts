import { Packr } from "msgpackr";
import { ManualClock, readInstant } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import type { Organisation, RouteTable } from "../directory/model.js";
import { emptyRouteTable } from "../directory/model.js";
import { EntryQuotas } from "./entryQuotas.js";
import { defaultQuotaBounds, listQuotas, maxRequestsPerWindow } from "./quotaBounds.js";
import { QuotaCoordinator } from "./quotaCoordinator.js";

const stepMs = 20;
const watchIntervalMs = 400;
const reportIntervalMs = 1000;
const failoverMs = 1000;
const msPerSecond = 1000;
const silentLogger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });
/** Fields of the messages that do not depend on quotas. */
const entryFields = { id: "gw-312", address: "10.20.30.40:8080", availabilityZone: "az-1", isServing: true };

/** Demand of an organisation in requests a second, in total, and the weights in [0, 1] of the entries that get it. */
export interface Demand {
    readonly perSecond: number;
    readonly weigh: (entryIndex: number) => number;
}

interface FleetEntry {
    quotas: EntryQuotas;
    control: number;
    /** Whether it neither watches nor gets requests. */
    isStopped: boolean;
    isCutOff: boolean;
    attachedAtMs: number;
    bytes: number;
}

interface FleetControl {
    coordinator: QuotaCoordinator;
    readonly log: { selfId: string; isLeader: boolean; confirmLeadership: () => Promise<boolean>; };
    isDown: boolean;
    bytes: number;
}

/** Entries and control VMs with the real decisions for quotas; time and messages are simulated. */
export class QuotaFleet {
    readonly clock = new ManualClock();
    readonly random: SeededRandom;
    readonly entries: FleetEntry[];
    readonly controls: FleetControl[];
    readonly demands = new Map<string, Demand>();
    /** Times of admitted requests by organisation. */
    readonly admittedAtMs = new Map<string, number[]>();
    readonly refusedAtMs = new Map<string, number[]>();
    private readonly scheduled: { readonly atMs: number; readonly run: () => void; }[] = [];
    private routes: RouteTable;

    constructor(readonly scale: { readonly entryCount: number; readonly controlCount: number; }, seed: number) {
        this.random = new SeededRandom(seed);
        this.routes = emptyRouteTable;
        this.controls = Array.from({ length: scale.controlCount }, (_, index) => this.makeControl(index));
        this.entries = Array.from({ length: scale.entryCount }, (_, index) => this.makeEntry(index));
    }

    get nowMs(): number {
        return this.clock.monotonicMs();
    }

    /** Applies a configuration at all control VMs and entries. */
    configure(organisations: readonly Organisation[]): void {
        this.routes = { ...this.routes, version: this.routes.version + 1, organisations };
        this.entries.forEach(entry => entry.quotas.configure(organisations));
    }

    schedule(delayMs: number, run: () => void): void {
        this.scheduled.push({ atMs: this.nowMs + delayMs, run });
    }

    restartEntry(index: number): void {
        this.entries[index] = this.makeEntry(index);
    }

    /** Takes the lead from its holder; another control VM is elected after a time. */
    changeLeader(electionMs: number): void {
        const leader = this.controls.findIndex(({ log }) => log.isLeader);
        this.controls.forEach(({ log }) => log.isLeader = false);
        this.schedule(electionMs, () => {
            const next = Array.from(
                { length: this.controls.length },
                (_, step) => (leader + 1 + step) % this.controls.length,
            );
            const index = next.find(candidate => !this.controls[candidate].isDown) ?? 0;
            this.controls[index].log.isLeader = true;
        });
    }

    /** Stops or starts a control VM; a started one has lost its state. */
    setDown(index: number, isDown: boolean): void {
        this.controls[index] = { ...this.makeControl(index, false), isDown };
    }

    async run(durationMs: number): Promise<void> {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            this.step();
            // Lets the confirmations of the leader arrive.
            await Promise.resolve();
            await Promise.resolve();
        }
    }

    /** Returns the largest number of requests in a window, less the allowed one. */
    findExcess(organisation: string, allowed = this.findAllowed(organisation)): number {
        const times = this.admittedAtMs.get(organisation) ?? [];
        let excess = -Infinity;
        for (let first = 0, last = 0; last < times.length; last++) {
            while (times[first] <= times[last] - defaultQuotaBounds.windowMs) {
                first++;
            }
            excess = Math.max(excess, last - first + 1 - allowed);
        }
        return excess;
    }

    findAllowed(organisation: string): number {
        const quota = listQuotas(this.routes.organisations).find(listed => listed.organisation === organisation);
        return quota === undefined ? Infinity : maxRequestsPerWindow(quota, defaultQuotaBounds);
    }

    countAdmitted(organisation: string, sinceMs = 0): number {
        return (this.admittedAtMs.get(organisation) ?? []).filter(atMs => atMs >= sinceMs).length;
    }

    /** Returns the share of the requests since a time that were refused. */
    measureRefused(organisation: string, sinceMs = 0): number {
        const refused = (this.refusedAtMs.get(organisation) ?? []).filter(atMs => atMs >= sinceMs).length;
        return refused / Math.max(1, refused + this.countAdmitted(organisation, sinceMs));
    }

    private step(): void {
        this.clock.advance(stepMs);
        const { nowMs } = this;
        const due = this.scheduled.filter(({ atMs }) => atMs <= nowMs);
        due.forEach(item => {
            this.scheduled.splice(this.scheduled.indexOf(item), 1);
            item.run();
        });
        this.controls.forEach((control, index) => {
            if (!control.isDown && (nowMs + index * 200) % reportIntervalMs === 0) {
                control.coordinator.runMaintenance();
                this.report(index);
            }
        });
        this.entries.forEach((entry, index) => {
            if ((nowMs + index * stepMs) % watchIntervalMs === 0) {
                this.watch(entry);
            }
        });
        this.sendRequests();
    }

    private sendRequests(): void {
        for (const [organisation, { perSecond, weigh }] of this.demands) {
            // Arrivals within a step are Poisson-distributed.
            const limit = Math.exp(-perSecond * stepMs / msPerSecond);
            for (let product = this.random.nextUnit(); product > limit; product *= this.random.nextUnit()) {
                const { isAdmitted } = this.pickEntry(weigh).quotas.take(organisation);
                const times = isAdmitted ? this.admittedAtMs : this.refusedAtMs;
                const list = times.get(organisation) ?? [];
                list.push(this.nowMs);
                times.set(organisation, list);
            }
        }
    }

    /** Draws an entry; weights are in [0, 1]. */
    private pickEntry(weigh: Demand["weigh"]): FleetEntry {
        for (;;) {
            const index = this.random.nextInt(this.entries.length);
            if (!this.entries[index].isStopped && this.random.nextUnit() < weigh(index)) {
                return this.entries[index];
            }
        }
    }

    private watch(entry: FleetEntry): void {
        if (entry.isStopped || entry.isCutOff || this.nowMs < entry.attachedAtMs) {
            return;
        }
        const control = this.controls[entry.control];
        if (control.isDown || !this.controls.some(({ log }) => log.isLeader)) {
            entry.control = (entry.control + 1) % this.controls.length;
            entry.attachedAtMs = this.nowMs + failoverMs;
            entry.quotas.resetVersion();
            return;
        }
        this.answer(entry, this.sendEntryReport(entry));
    }

    private sendEntryReport(entry: FleetEntry): object {
        const field = entry.quotas.takeReport();
        this.controls[entry.control].coordinator.recordEntryReport(field.quotas);
        return field;
    }

    private answer(entry: FleetEntry, entryReport: object): void {
        const control = this.controls[entry.control];
        const answer = control.coordinator.describe(entry.quotas.version);
        // Watch calls are sent without quotas too, so only the added fields count.
        this.count(entry, control, { ...entryReport, quotasVersion: entry.quotas.version });
        this.count(entry, control, answer);
        if (answer.quotas !== undefined) {
            entry.quotas.apply(answer.quotas, readInstant(this.clock));
        }
    }

    private report(from: number): void {
        const leaderIndex = this.controls.findIndex(({ log, isDown }) => log.isLeader && !isDown);
        const sender = this.controls[from];
        const leader = this.controls.at(leaderIndex);
        if (leaderIndex === from || sender.isDown) {
            return;
        }
        const report = sender.coordinator.buildReport();
        const sentAt = readInstant(this.clock);
        const answer = leaderIndex < 0 ? undefined : leader?.coordinator.handleReport(report, sender.log.selfId);
        if (leader !== undefined && leaderIndex >= 0) {
            this.count(sender, leader, { quotas: report });
            this.count(sender, leader, { quotas: answer });
        }
        sender.coordinator.applyAnswer(report, answer, sentAt);
    }

    private count(first: { bytes: number; }, second: { bytes: number; }, message: object): void {
        const size = packr.pack(message).length;
        first.bytes += size;
        second.bytes += size;
    }

    private makeControl(index: number, isLeader = index === 0): FleetControl {
        const log = { selfId: `c-${index}`, isLeader, confirmLeadership: () => Promise.resolve(log.isLeader) };
        const coordinator = new QuotaCoordinator({
            bounds: defaultQuotaBounds,
            log,
            clock: this.clock,
            logger: silentLogger,
            getRoutes: () => this.routes,
            getEntryTotal: () => this.entries.filter(entry => !entry.isStopped && !entry.isCutOff).length,
            onChanged: () => this.wake(index),
            onUrgent: () => this.report(index),
        });
        return { coordinator, log, isDown: false, bytes: 0 };
    }

    /** Answers the watch calls of a control VM's entries. */
    private wake(index: number): void {
        this.schedule(
            0,
            () =>
                this.entries.filter(entry => entry.control === index && !entry.isStopped && !entry.isCutOff)
                    .forEach(entry => this.watch(entry)),
        );
    }

    private makeEntry(index: number): FleetEntry {
        const quotas: EntryQuotas = new EntryQuotas({
            bounds: defaultQuotaBounds,
            clock: this.clock,
            random: this.random,
            countEntries: () => this.scale.entryCount,
            onUrgent: () => {
                if (!entry.isCutOff && !this.controls[entry.control].isDown) {
                    this.count(entry, this.controls[entry.control], { ...entryFields, ...this.sendEntryReport(entry) });
                }
            },
            onDecision: () => undefined,
        });
        quotas.configure(this.routes.organisations);
        const entry: FleetEntry = {
            quotas,
            control: index % this.scale.controlCount,
            isStopped: false,
            isCutOff: false,
            attachedAtMs: 0,
            bytes: 0,
        };
        return entry;
    }
}
