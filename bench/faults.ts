import { request } from "undici";
import type { RandomSource } from "../src/core/random.js";
import { BlackholeDirection } from "../src/transport/relay.js";
import type { BenchProcess, Processes } from "./processes.js";
import type { BenchSystem } from "./system.js";
import type { SimulatedUpstreamCommand, UpstreamProcessOptions } from "./upstream.js";

/** An injected fault and the time in which it was active, on the monotonic clock. */
export interface FaultRecord {
    readonly kind: FaultKind;
    readonly target: string;
    readonly fromMs: number;
    /** When the target worked again; infinite before. */
    toMs: number;
}

/** Kinds of faults, each with its kind of target. */
export const FaultKind = {
    killEntry: "kill-entry",
    pauseEntry: "pause-entry",
    drainEntry: "drain-entry",
    cutEntry: "cut-entry",
    silenceEntry: "silence-entry",
    killUpstream: "kill-upstream",
    pauseUpstream: "pause-upstream",
    drainUpstream: "drain-upstream",
    cutUpstream: "cut-upstream",
    silenceUpstream: "silence-upstream",
    pauseControl: "pause-control",
} as const;

export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

/** An upstream of the benchmark across restarts; a restart replaces both fields. */
export interface RestartableUpstream {
    options: Omit<UpstreamProcessOptions, "entryAddresses" | "executionLog">;
    process: BenchProcess;
}

const entryFaultKinds: readonly FaultKind[] = [
    FaultKind.killEntry,
    FaultKind.pauseEntry,
    FaultKind.drainEntry,
    FaultKind.cutEntry,
    FaultKind.silenceEntry,
];
const upstreamFaultKinds: readonly FaultKind[] = [
    FaultKind.killUpstream,
    FaultKind.pauseUpstream,
    FaultKind.drainUpstream,
    FaultKind.cutUpstream,
    FaultKind.silenceUpstream,
];
const maxFaultyEntries = 2;
const maxFaultyUpstreams = 3;
const drainToKillDelayMs = 4500;

/** Injects random faults; a majority of the entries and half of the upstreams work at any moment. */
export class FaultInjector {
    readonly history: FaultRecord[] = [];
    /** Drained entries that exited with a code other than 0, one line each. */
    readonly badExits: string[] = [];
    private readonly faultyEntries = new Set<number>();
    private readonly faultyUpstreams = new Set<number>();
    private isControlFaulty = false;
    private readonly running = new Set<Promise<void>>();

    constructor(
        private readonly processes: Processes,
        private readonly system: BenchSystem,
        private readonly upstreams: readonly RestartableUpstream[],
        private readonly random: RandomSource,
    ) {}

    /** Injects `count` faults and waits until all targets work again. */
    async run(count: number, meanFaultIntervalMs: number): Promise<void> {
        while (this.history.length < count) {
            const startedFault = this.startFault();
            if (startedFault !== undefined) {
                this.running.add(startedFault);
                void startedFault.finally(() => this.running.delete(startedFault));
            }
            await sleep(meanFaultIntervalMs * (0.5 + this.random.nextUnit()));
        }
        await Promise.all(this.running);
    }

    private startFault(): Promise<void> | undefined {
        const choice = this.random.nextUnit();
        if (choice < 0.05) {
            return this.isControlFaulty ? undefined : this.pauseControl();
        }
        if (choice < 0.45) {
            const index = this.pickHealthy(this.system.entries.length, this.faultyEntries, maxFaultyEntries);
            return index === undefined ? undefined : this.faultEntry(index, this.pickRandom(entryFaultKinds));
        }
        const index = this.pickHealthy(this.upstreams.length, this.faultyUpstreams, maxFaultyUpstreams);
        return index === undefined ? undefined : this.faultUpstream(index, this.pickRandom(upstreamFaultKinds));
    }

    private pickRandom<Value>(values: readonly Value[]): Value {
        return values[this.random.nextInt(values.length)];
    }

    private pickHealthy(count: number, faulty: ReadonlySet<number>, maxFaulty: number): number | undefined {
        const index = this.random.nextInt(count);
        return faulty.size >= maxFaulty || faulty.has(index) ? undefined : index;
    }

    private durationMs(minMs: number, maxMs: number): number {
        return minMs + (maxMs - minMs) * this.random.nextUnit();
    }

    private async faultEntry(index: number, kind: FaultKind): Promise<void> {
        this.faultyEntries.add(index);
        const record = this.record(kind, this.system.entryAddresses[index]);
        await this.runEntryFault(index, kind);
        record.toMs = performance.now();
        this.faultyEntries.delete(index);
    }

    private async runEntryFault(index: number, kind: FaultKind): Promise<void> {
        const entry = this.system.entries[index];
        const relay = this.system.peerRelays[index];
        switch (kind) {
            case FaultKind.killEntry:
                await this.processes.kill(entry);
                await sleep(this.durationMs(100, 1500));
                this.system.entries[index] = await this.system.startEntry(index);
                return;
            case FaultKind.pauseEntry:
                return this.pause(entry, this.durationMs(100, 4000));
            case FaultKind.drainEntry:
                this.processes.signal(entry, "SIGTERM");
                await this.checkExit(entry);
                this.system.entries[index] = await this.system.startEntry(index);
                return;
            case FaultKind.cutEntry:
                relay.cut();
                break;
            default:
                relay.blackhole(BlackholeDirection.both, this.random.nextUnit() < 0.5);
        }
        await sleep(this.durationMs(200, 4000));
        relay.restore();
    }

    private async checkExit(entry: BenchProcess): Promise<void> {
        const code = await this.processes.waitForExit(entry);
        if (code !== 0) {
            this.badExits.push(`${entry.name} exited with code ${code}`);
        }
    }

    private async faultUpstream(index: number, kind: FaultKind): Promise<void> {
        this.faultyUpstreams.add(index);
        const faultyUpstream = this.upstreams[index];
        const record = this.record(kind, faultyUpstream.options.id);
        await this.runUpstreamFault(faultyUpstream, kind);
        record.toMs = performance.now();
        this.faultyUpstreams.delete(index);
    }

    private async runUpstreamFault(faultyUpstream: RestartableUpstream, kind: FaultKind): Promise<void> {
        const relay = this.system.upstreamRelays.get(faultyUpstream.options.id)?.relay;
        switch (kind) {
            case FaultKind.killUpstream:
                await this.processes.kill(faultyUpstream.process);
                await sleep(this.durationMs(100, 1500));
                return this.restartUpstream(faultyUpstream);
            case FaultKind.pauseUpstream:
                return this.pause(faultyUpstream.process, this.durationMs(100, 3000));
            case FaultKind.drainUpstream:
                await sendCommand(faultyUpstream.process, { drain: true });
                await sleep(drainToKillDelayMs);
                await this.processes.kill(faultyUpstream.process);
                return this.restartUpstream(faultyUpstream);
            case FaultKind.cutUpstream:
                relay?.cut();
                break;
            default:
                relay?.blackhole(BlackholeDirection.both);
        }
        await sleep(this.durationMs(100, 2000));
        relay?.restore();
    }

    private async restartUpstream(faultyUpstream: RestartableUpstream): Promise<void> {
        faultyUpstream.options = { ...faultyUpstream.options, incarnation: faultyUpstream.options.incarnation + 1 };
        faultyUpstream.process = await this.system.startUpstream(faultyUpstream.options);
    }

    private async pauseControl(): Promise<void> {
        this.isControlFaulty = true;
        const control = this.pickRandom(this.system.controls);
        const record = this.record(FaultKind.pauseControl, control.name);
        await this.pause(control, this.durationMs(500, 5000));
        record.toMs = performance.now();
        this.isControlFaulty = false;
    }

    private async pause(target: BenchProcess, durationMs: number): Promise<void> {
        this.processes.signal(target, "SIGSTOP");
        await sleep(durationMs);
        this.processes.signal(target, "SIGCONT");
    }

    private record(kind: FaultKind, target: string): FaultRecord {
        const record = { kind, target, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY };
        this.history.push(record);
        return record;
    }
}

async function sendCommand(target: BenchProcess, value: SimulatedUpstreamCommand): Promise<void> {
    const url = `http://127.0.0.1:${target.ready.port}/stand-in/command`;
    const response = await request(url, { method: "POST", body: JSON.stringify(value) });
    await response.body.dump();
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
