import fs from "node:fs/promises";
import path from "node:path";
import type { Member } from "../src/control/messages.js";
import type { ApplyAnswer, ApplyParams, AuditAnswer, ShowAnswer, StatusAnswer } from "../src/control/operatorApi.js";
import { TcpRelay } from "../src/transport/relay.js";
import { availabilityZones, benchOperatorToken } from "./benchCatalogue.js";
import type { ControlProcessOptions } from "./controlProcess.js";
import type { BenchProcess, Processes } from "./processes.js";

const ticksPerSecond = 100;
const maxContactAgeMs = 500;
const operatorTimeoutMs = 12_000;

/** A control VM of the benchmark. Its peers and the entries connect to it through a relay. */
export interface ControlVm {
    readonly options: ControlProcessOptions;
    readonly relay: TcpRelay;
    readonly peerAddress: string;
    process: BenchProcess | undefined;
    /** `host:port`; changes with each start. */
    operatorAddress: string;
}

/** Control VMs of one run, each in its own process. */
export class ControlGroup {
    private constructor(private readonly processes: Processes, readonly vms: readonly ControlVm[]) {}

    static async start(processes: Processes, count: number, folder: string, seed: number): Promise<ControlGroup> {
        const relays = Array.from({ length: count }, () => new TcpRelay("127.0.0.1", 0));
        const relayPorts = await Promise.all(relays.map(relay => relay.listen()));
        const members = relayPorts.map((port, index): Member => ({
            id: `control-${index + 1}`,
            peerAddress: `127.0.0.1:${port}`,
        }));
        const vms = members.map((member, index): ControlVm => ({
            options: {
                id: member.id,
                availabilityZone: availabilityZones[index % availabilityZones.length],
                // A fixed port could be taken by another process while the VM is down.
                operatorPort: 0,
                peerPort: 0,
                members,
                dataFolder: path.join(folder, member.id),
                seed: seed * 100 + index,
            },
            relay: relays[index],
            peerAddress: member.peerAddress,
            process: undefined,
            operatorAddress: "",
        }));
        const group = new ControlGroup(processes, vms);
        await Promise.all(vms.map(vm => group.startVm(vm)));
        return group;
    }

    async startVm(vm: ControlVm): Promise<void> {
        vm.process = await this.processes.start("controlProcess.js", vm.options.id, vm.options);
        vm.operatorAddress = vm.process.ready.address;
        vm.relay.setTargetPort(Number(vm.process.ready.peerAddress.split(":")[1]));
    }

    async kill(vm: ControlVm): Promise<void> {
        const { process } = vm;
        vm.process = undefined;
        if (process !== undefined) {
            await this.processes.kill(process);
        }
    }

    /** Removes the data folder of a stopped VM. */
    wipe(vm: ControlVm): Promise<void> {
        return fs.rm(vm.options.dataFolder, { recursive: true, force: true });
    }

    signal(vm: ControlVm, signal: NodeJS.Signals): void {
        if (vm.process !== undefined) {
            this.processes.signal(vm.process, signal);
        }
    }

    /** Calls a method of the operator API. Rejects on a timeout, a failed connection or an error answer. */
    async call(vm: ControlVm, method: string, params: unknown, timeoutMs = operatorTimeoutMs): Promise<unknown> {
        const response = await fetch(`http://${vm.operatorAddress}/v1/rpc`, {
            method: "POST",
            headers: { authorization: `Bearer ${benchOperatorToken}` },
            body: JSON.stringify({ jsonrpc: "2.0", id: 1, method, params }),
            signal: AbortSignal.timeout(timeoutMs),
        });
        const { result, error } = await response.json() as { result?: unknown; error?: { message: string; }; };
        if (error !== undefined) {
            throw new Error(error.message);
        }
        return result;
    }

    async apply(vm: ControlVm, params: ApplyParams): Promise<ApplyAnswer> {
        return await this.call(vm, "catalogue.apply", params) as ApplyAnswer;
    }

    async show(vm: ControlVm): Promise<ShowAnswer> {
        return await this.call(vm, "catalogue.show", {}, 4000) as ShowAnswer;
    }

    async status(vm: ControlVm): Promise<StatusAnswer> {
        return await this.call(vm, "status", {}, 4000) as StatusAnswer;
    }

    async audit(vm: ControlVm): Promise<AuditAnswer> {
        return await this.call(vm, "audit.list", {}) as AuditAnswer;
    }

    /** Returns the status once a quorum has confirmed it and all VMs vote; undefined after the timeout. */
    async waitUntilEveryVmVotes(waitTimeoutMs: number): Promise<StatusAnswer | undefined> {
        const endMs = performance.now() + waitTimeoutMs;
        while (performance.now() < endMs) {
            const status = await this.status(this.vms[0]).catch(() => undefined);
            if (status !== undefined && this.isEveryVmVoting(status)) {
                return status;
            }
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        return undefined;
    }

    /** Returns the total CPU time of the running processes, in ms. */
    async measureCpuMs(): Promise<number> {
        const times = await Promise.all(this.vms.map(async ({ process }) => {
            const stat = process === undefined ? "" : await fs.readFile(`/proc/${process.pid}/stat`, "utf8");
            const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
            return Number(fields[11] ?? 0) + Number(fields[12] ?? 0);
        }));
        return times.reduce((sum, ticks) => sum + ticks, 0) * 1000 / ticksPerSecond;
    }

    /** Returns the bytes that the relays have forwarded in both directions. */
    sumRelayedBytes(): number {
        return this.vms.reduce((sum, vm) => sum + vm.relay.forwardedBytes, 0);
    }

    async close(): Promise<void> {
        await Promise.all(this.vms.map(vm => this.kill(vm)));
        await Promise.all(this.vms.map(vm => vm.relay.close()));
    }

    private isEveryVmVoting(status: StatusAnswer): boolean {
        const votingIds = status.voters.filter(voter => voter.heardAgoMs < maxContactAgeMs && voter.role !== "learner")
            .map(voter => voter.id.slice(0, voter.id.lastIndexOf(".")));
        return status.isQuorumConfirmed && status.voters.length === this.vms.length &&
            this.vms.every(vm => votingIds.includes(vm.options.id));
    }
}
