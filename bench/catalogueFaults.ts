import type { RandomSource } from "../src/core/random.js";
import { BlackholeDirection } from "../src/transport/relay.js";
import type { ControlGroup, ControlVm } from "./controlGroup.js";

const faultKinds = ["kill", "pause", "wipe", "cut", "swallow", "delay"] as const;
const minFaultMs = 300;
const maxExtraFaultMs = 2500;
const relayDelayMs = 60;
const repairTimeoutMs = 15_000;

/** Wall-clock time in which a VM had a fault. */
export interface FaultWindow {
    readonly peerAddress: string;
    readonly startMs: number;
    readonly endMs: number;
}

/** Injects random faults into control VMs, one after the other, until it is stopped. */
export class CatalogueFaults {
    readonly counts: Record<string, number> = Object.fromEntries(faultKinds.map(kind => [kind, 0]));
    readonly history: string[] = [];
    readonly windows: FaultWindow[] = [];
    private isStopped = false;

    constructor(private readonly group: ControlGroup, private readonly random: RandomSource) {}

    /** Injects faults until `stop` is called; resolves when the last one is over. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            const kind = faultKinds[this.random.nextInt(faultKinds.length)];
            const vm = this.group.vms[this.random.nextInt(this.group.vms.length)];
            const durationMs = minFaultMs + this.random.nextInt(maxExtraFaultMs);
            const startMs = Date.now();
            await this.inject(kind, vm, durationMs);
            this.windows.push({ peerAddress: vm.peerAddress, startMs, endMs: Date.now() });
            await sleep(this.random.nextInt(700));
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    private async inject(kind: typeof faultKinds[number], vm: ControlVm, durationMs: number): Promise<void> {
        this.history.push(`${new Date().toISOString()} ${kind} ${vm.options.id} ${durationMs} ms`);
        this.counts[kind]++;
        switch (kind) {
            case "kill":
                await this.group.kill(vm);
                await sleep(durationMs);
                await this.group.startVm(vm);
                break;
            case "pause":
                this.group.signal(vm, "SIGSTOP");
                await sleep(durationMs);
                this.group.signal(vm, "SIGCONT");
                break;
            case "wipe":
                await this.wipe(vm, durationMs);
                break;
            case "cut":
                vm.relay.cut();
                await sleep(durationMs);
                vm.relay.restore();
                break;
            case "swallow":
                vm.relay.blackhole(BlackholeDirection.both);
                await sleep(durationMs);
                break;
            case "delay":
                vm.relay.delay(relayDelayMs);
                await sleep(durationMs);
                vm.relay.restore();
                break;
        }
    }

    /** A group of three tolerates the loss of one disk, so each wipe waits until the previous one is repaired. */
    private async wipe(vm: ControlVm, durationMs: number): Promise<void> {
        if (await this.group.waitUntilEveryVmVotes(repairTimeoutMs) === undefined) {
            this.history.push("not every control VM voted in time; no disk was wiped");
            this.counts.wipe--;
            return;
        }
        await this.group.kill(vm);
        await this.group.wipe(vm);
        await sleep(durationMs);
        await this.group.startVm(vm);
        // Makes the next fault, often of another VM, follow soon after the repair.
        await this.group.waitUntilEveryVmVotes(repairTimeoutMs);
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
