import test from "ava";
import { SeededRandom } from "../core/random.js";
import { SharedRetryBudget } from "../gateway/sharedRetryBudget.js";
import { AttachedEntries, maxCountedAgeMs } from "./attachedEntries.js";
import { EntryCounts } from "./entryCounts.js";

const stepMs = 100;
const reportIntervalMs = 1000;
const watchIntervalMs = 400;
/** Time until an entry has attached to another control VM after the loss of its own. */
const reattachDelayMs = 900;
const simulatedMs = 60_000;
const windowMs = 10_000;

interface Control {
    isDown: boolean;
    leaderSinceMs: number | undefined;
    counts: EntryCounts;
    attachedEntries: AttachedEntries;
}

interface Entry {
    readonly id: string;
    control: number;
    attachAtMs: number;
    isDown: boolean;
    /** Whether the entry reaches callers and upstreams but no control VM. */
    isPartitioned: boolean;
    total: number | undefined;
    confirmedAtMs: number;
    budget: SharedRetryBudget;
}

interface Scale {
    readonly entryCount: number;
    readonly slack: number;
    /** Availability zone of each control VM. */
    readonly zones: readonly number[];
}

/** Simulated entries and control VMs with the real counting and budget code; messages arrive instantly or are lost. */
class Fleet {
    nowMs = 0;
    readonly usage: { readonly atMs: number; retries: number; requests: number; }[] = [];
    readonly controls: Control[];
    readonly entries: Entry[];

    constructor(readonly scale: Scale, readonly random: SeededRandom) {
        this.controls = scale.zones.map((_zone, index) => this.makeControl(index === 0));
        this.entries = Array.from({ length: scale.entryCount }, (_, index) => this.makeEntry(index));
    }

    step(): void {
        this.nowMs += stepMs;
        if (this.nowMs % reportIntervalMs === 0) {
            this.exchangeCounts();
        }
        const sample = { atMs: this.nowMs, retries: 0, requests: 0 };
        this.usage.push(sample);
        for (const [index, entry] of this.entries.entries()) {
            if (entry.isDown) {
                continue;
            }
            if ((this.nowMs + index * stepMs) % watchIntervalMs === 0) {
                this.watch(entry);
            }
            if ((this.nowMs + index * stepMs) % 500 === 0) {
                sample.requests++;
                entry.budget.countRequest("orders", this.nowMs);
            }
            // Every attempt fails, so each entry uses its whole budget.
            while (entry.budget.take("orders", this.nowMs)) {
                sample.retries++;
            }
        }
    }

    /** Restarts a control VM; if it was the leader, another VM takes over. */
    restartControl(index: number): void {
        const isLeader = this.controls[index].leaderSinceMs !== undefined;
        this.controls[index] = this.makeControl(false);
        if (isLeader) {
            const nextLeader = this.controls.findIndex((control, other) => other !== index && !control.isDown);
            this.controls[nextLeader].leaderSinceMs = this.nowMs;
        }
    }

    setControlDown(index: number, isDown: boolean): void {
        this.restartControl(index);
        this.controls[index].isDown = isDown;
        this.entries.filter(entry => isDown && entry.control === index).forEach(entry => {
            entry.control = (index + 1 + this.random.nextInt(this.controls.length - 1)) % this.controls.length;
            entry.attachAtMs = this.nowMs + reattachDelayMs;
        });
    }

    restartEntry(index: number): void {
        this.entries[index] = this.makeEntry(index);
    }

    /** Returns the largest excess over the operators' budget in any window. */
    findExcess(ratio: number): number {
        let excess = -Infinity;
        let windowStart = 0;
        let retries = 0;
        let requests = 0;
        for (const sample of this.usage) {
            retries += sample.retries;
            requests += sample.requests;
            while (this.usage[windowStart].atMs <= sample.atMs - windowMs) {
                retries -= this.usage[windowStart].retries;
                requests -= this.usage[windowStart].requests;
                windowStart++;
            }
            excess = Math.max(excess, retries - ratio * requests - this.scale.slack);
        }
        return excess;
    }

    private makeControl(isLeader: boolean): Control {
        return {
            isDown: false,
            leaderSinceMs: isLeader ? this.nowMs : undefined,
            counts: new EntryCounts(),
            attachedEntries: new AttachedEntries(),
        };
    }

    private makeEntry(index: number): Entry {
        const controlIndex = index % this.scale.zones.length;
        const limits = { ratio, slack: this.scale.slack, windowMs };
        const entry: Entry = {
            id: `e-${index}`,
            control: controlIndex,
            attachAtMs: this.nowMs,
            isDown: false,
            isPartitioned: false,
            total: undefined,
            confirmedAtMs: -Infinity,
            budget: new SharedRetryBudget({
                limits,
                countEntries: () => entry.total ?? 1,
                isCounted: () => this.nowMs - entry.confirmedAtMs < maxCountedAgeMs,
                startedAtMs: this.nowMs,
            }),
        };
        return entry;
    }

    private watch(entry: Entry): void {
        const control = this.controls[entry.control];
        if (entry.isPartitioned || control.isDown || this.nowMs < entry.attachAtMs) {
            return;
        }
        const report = { id: entry.id, address: "", availabilityZone: "", isServing: true };
        control.attachedEntries.recordReport(report, this.nowMs);
        entry.total = control.counts.getTotal(this.nowMs) ?? entry.total;
        entry.confirmedAtMs = this.nowMs;
    }

    private exchangeCounts(): void {
        const leader = this.controls.find(control => !control.isDown && control.leaderSinceMs !== undefined);
        for (const [index, control] of this.controls.entries()) {
            if (leader !== undefined && control !== leader && !control.isDown) {
                leader.counts.recordCount(`c-${index}`, control.attachedEntries.count(this.nowMs), this.nowMs);
                control.counts.recordTotal(leader.counts.getTotal(this.nowMs), this.nowMs);
            }
        }
        leader?.counts.computeTotal(
            leader.attachedEntries.count(this.nowMs),
            leader.leaderSinceMs ?? this.nowMs,
            this.nowMs,
        );
    }
}

const ratio = 0.2;

/** The users' fleets: 106 and 312 entries, with five control VMs in three and in five availability zones. */
const scales: readonly Scale[] = [
    { entryCount: 106, slack: 172, zones: [0, 0, 1, 1, 2] },
    { entryCount: 312, slack: 430, zones: [0, 1, 2, 3, 4] },
];

for (const scale of scales) {
    const { entryCount } = scale;
    test(`guards against dividing the budget by a wrong number of entries: ${entryCount}`, t => {
        const fleet = new Fleet(scale, new SeededRandom(3));
        while (fleet.nowMs < 30_000) {
            fleet.step();
        }
        fleet.entries.forEach(entry => t.is(entry.total, entryCount));
        t.true(fleet.findExcess(ratio) <= 0);
    });

    // Listed in KNOWN-RED.txt: the fraction of each share is lost to rounding.
    test.failing(`guards against slack that is lost to rounding: ${entryCount}`, t => {
        const fleet = new Fleet(scale, new SeededRandom(3));
        while (fleet.nowMs < 30_000) {
            fleet.step();
        }
        const recent = fleet.usage.filter(sample => sample.atMs > 20_000);
        const retries = recent.reduce((sum, sample) => sum + sample.retries, 0);
        t.true(retries > ratio * recent.reduce((sum, sample) => sum + sample.requests, 0), "the slack is used");
    });

    for (const seed of [1, 2, 3, 4, 5]) {
        test(`guards against excess retries under joins, crashes, partitions, restarts: ${entryCount}, ${seed}`, t => {
            const random = new SeededRandom(seed);
            const fleet = new Fleet(scale, random);
            const pickEntry = () => random.nextInt(entryCount);
            // A tenth of the entries starts during the simulation.
            fleet.entries.forEach((entry, index) => entry.isDown = index % 10 === 0);
            while (fleet.nowMs < simulatedMs) {
                fleet.step();
                switch (random.nextInt(30)) {
                    case 0:
                        fleet.restartEntry(pickEntry());
                        break;
                    case 1:
                        fleet.entries[pickEntry()].isDown = true;
                        break;
                    case 2:
                        fleet.entries[pickEntry()].isPartitioned = true;
                        break;
                    case 3:
                        fleet.entries.forEach(entry => entry.isPartitioned = false);
                        break;
                    case 4:
                        fleet.restartControl(random.nextInt(scale.zones.length));
                        break;
                    case 5:
                        if (fleet.controls.every(control => !control.isDown)) {
                            fleet.setControlDown(random.nextInt(scale.zones.length), true);
                        }
                        break;
                    case 6:
                        fleet.controls.forEach(control => control.isDown = false);
                        break;
                    default:
                }
            }
            t.true(fleet.findExcess(ratio) <= 0, `${fleet.findExcess(ratio)} above the budget`);
        });
    }
}
