import { SeededRandom } from "../../core/random.js";
import { ControlStore } from "../../storage/controlStore.js";
import { FakeDisk, InjectedCrash } from "../../storage/fakeDisk.js";
import { CatalogueState } from "../catalogueState.js";
import { performDiskEffect } from "../diskEffects.js";
import type {
    ChangeCommand,
    ControlAnswer,
    ControlEffect,
    ControlEvent,
    Member,
    ReplicationMessage,
} from "../messages.js";
import { Replica } from "../replica.js";
import { defaultReplicaLimits, type ReplicaLimits } from "../replicaState.js";

const stepMs = 10;
const tickMs = 50;
const joinIntervalMs = 300;
const maxDelayMs = 25;
const lossProbability = 0.02;
const duplicationProbability = 0.03;

/** Small limits, so that short runs make snapshots and send them in several chunks. */
export const testLimits: ReplicaLimits = {
    ...defaultReplicaLimits,
    // Safety must not depend on a leader stepping down in time.
    quorumLossMs: 5000,
    compactAfterRecords: 24,
    keepRecords: 6,
    maxRecordsPerMessage: 5,
    snapshotChunkBytes: 16 * 1024,
};

/** A control VM with a fake disk. */
export interface FakeVm {
    readonly name: string;
    readonly disk: FakeDisk;
    /** Incremented with each loss of the disk. */
    generation: number;
    id: string;
    machine: CatalogueState;
    store: ControlStore;
    /** Undefined while the VM is down. */
    replica: Replica | undefined;
    pausedUntilMs: number;
    /** Whether it no longer asks to join, as while it stops. */
    isStopping: boolean;
}

interface Delivery {
    readonly atMs: number;
    readonly from: FakeVm;
    readonly fromId: string;
    readonly to: FakeVm;
    readonly toId: string;
    readonly message: ReplicationMessage;
}

type OnAnswer = (answer: ControlAnswer, vm: FakeVm) => void;

/** Simulated control VMs with their disks and network, in virtual time and deterministic for a seed. */
export class FakeGroup {
    nowMs = 0;
    /** Links on which all messages are dropped, as `from>to`. */
    readonly cutLinks = new Set<string>();
    /** Maximum additional delay of a message. */
    extraDelayMs = 0;
    readonly leadersByTerm = new Map<number, Set<string>>();
    readonly vms: FakeVm[];
    readonly random: SeededRandom;
    private deliveries: Delivery[] = [];
    private readonly pendingRequests = new Map<number, OnAnswer>();
    private nextRequestId = 1;

    constructor(
        seed: number,
        names: readonly string[] = ["a", "b", "c"],
        private readonly limits: ReplicaLimits = testLimits,
    ) {
        this.random = new SeededRandom(seed);
        this.vms = names.map(name => this.makeVm(name));
        const voters = this.vms.map(vm => ({ id: vm.id, peerAddress: vm.name }));
        this.submit(this.vms[0], { kind: "found", members: { voters, learners: [] } });
    }

    /** Advances virtual time. */
    run(durationMs: number, onStep: () => void = () => undefined): void {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            this.nowMs += stepMs;
            this.deliver();
            this.vms.forEach(vm => this.tick(vm));
            onStep();
        }
    }

    /** Submits a request event to a VM. Returns false when the VM is down or paused. */
    submitRequest(vm: FakeVm, makeEvent: (requestId: number) => ControlEvent, onAnswer: OnAnswer): boolean {
        if (!this.isRunning(vm)) {
            return false;
        }
        const requestId = this.nextRequestId++;
        this.pendingRequests.set(requestId, onAnswer);
        this.submit(vm, makeEvent(requestId));
        return true;
    }

    proposeChange(vm: FakeVm, change: ChangeCommand, onAnswer: OnAnswer): boolean {
        return this.submitRequest(
            vm,
            requestId => ({ kind: "propose", requestId, command: { kind: "change", change } }),
            onAnswer,
        );
    }

    isRunning(vm: FakeVm): boolean {
        return vm.replica !== undefined && vm.pausedUntilMs <= this.nowMs;
    }

    /** Adds a VM with an empty disk, which asks the others to let it join. */
    addVm(name: string): FakeVm {
        const vm = this.makeVm(name);
        this.vms.push(vm);
        return vm;
    }

    /** Removes a VM permanently. */
    removeVm(vm: FakeVm): void {
        this.crash(vm);
        this.vms.splice(this.vms.indexOf(vm), 1);
    }

    /** Announces to the other VMs that a VM is about to stop. */
    announceLeaving(vm: FakeVm): void {
        this.vms.filter(other => this.isRunning(other) && !this.isCut(vm, other)).forEach(other =>
            this.submit(other, { kind: "leaving", memberId: vm.id })
        );
    }

    crash(vm: FakeVm): void {
        vm.replica = undefined;
    }

    restart(vm: FakeVm): void {
        if (vm.replica === undefined) {
            vm.disk.restart();
            vm.pausedUntilMs = 0;
            this.open(vm);
        }
    }

    /** Wipes the disk of a VM. Does nothing and returns false while an earlier loss is not repaired. */
    loseDisk(vm: FakeVm): boolean {
        const ids = new Set(this.vms.map(other => other.id));
        const isRepaired = this.vms.some(other =>
            other.replica?.role === "leader" && other.replica.members.voters.length === this.vms.length &&
            other.replica.members.voters.every(member => ids.has(member.id)) && other.replica.isSettled
        );
        if (isRepaired) {
            this.crash(vm);
            vm.disk.wipe();
            vm.generation++;
            vm.id = "";
        }
        return isRepaired;
    }

    heal(): void {
        this.cutLinks.clear();
        this.extraDelayMs = 0;
        this.vms.forEach(vm => {
            vm.disk.crashAtOperation(Infinity);
            vm.pausedUntilMs = 0;
            this.restart(vm);
        });
    }

    private makeVm(name: string): FakeVm {
        const disk = new FakeDisk(this.random);
        const vm: FakeVm = {
            name,
            disk,
            generation: 1,
            id: "",
            machine: new CatalogueState(),
            store: new ControlStore(disk),
            replica: undefined,
            pausedUntilMs: 0,
            isStopping: false,
        };
        this.open(vm);
        return vm;
    }

    private open(vm: FakeVm): void {
        vm.machine = new CatalogueState();
        vm.store = new ControlStore(vm.disk);
        vm.id = vm.store.openIdentity(() => `${vm.name}${vm.generation}`);
        const { id: selfId, machine } = vm;
        const persisted = vm.store.load();
        const { random, nowMs } = this;
        vm.replica = new Replica({ selfId, persisted, machine, random, nowMs, limits: this.limits });
    }

    private submit(vm: FakeVm, event: ControlEvent): void {
        this.perform(vm, vm.replica?.handle(event, this.nowMs) ?? []);
    }

    private tick(vm: FakeVm): void {
        if (!this.isRunning(vm) || this.nowMs % tickMs !== 0) {
            return;
        }
        this.perform(vm, vm.replica?.tick(this.nowMs) ?? []);
        const isJoining = !vm.isStopping && vm.replica?.needsToJoin(this.nowMs) === true;
        if (isJoining && this.nowMs % joinIntervalMs === 0) {
            const member: Member = { id: vm.id, peerAddress: vm.name };
            this.vms.filter(other => other !== vm && this.isRunning(other) && !this.isCut(vm, other)).forEach(other =>
                this.submit(other, { kind: "join", member })
            );
        }
    }

    private perform(vm: FakeVm, effects: readonly ControlEffect[]): void {
        try {
            effects.forEach(effect => effect.kind === "sync" ? vm.store.sync() : performDiskEffect(vm.store, effect));
        }
        catch (error) {
            if (error instanceof InjectedCrash) {
                this.crash(vm);
                return;
            }
            throw error;
        }
        if (vm.replica?.role === "leader") {
            const { term } = vm.replica;
            this.leadersByTerm.set(term, (this.leadersByTerm.get(term) ?? new Set()).add(vm.id));
        }
        effects.forEach(effect => this.performNonDiskEffect(vm, effect));
    }

    private performNonDiskEffect(vm: FakeVm, effect: ControlEffect): void {
        if (effect.kind === "send") {
            this.send(vm, effect.to, effect.message);
        }
        if (effect.kind === "answer") {
            this.pendingRequests.get(effect.requestId)?.(effect.answer, vm);
            this.pendingRequests.delete(effect.requestId);
        }
    }

    private send(from: FakeVm, toId: string, message: ReplicationMessage): void {
        const to = this.vms.find(vm => vm.id === toId);
        if (to === undefined || this.isCut(from, to) || this.random.nextUnit() < lossProbability) {
            return;
        }
        const copies = this.random.nextUnit() < duplicationProbability ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const atMs = this.nowMs + 1 + this.random.nextInt(maxDelayMs) + this.random.nextInt(this.extraDelayMs + 1);
            this.deliveries.push({ atMs, from, fromId: from.id, to, toId, message });
        }
    }

    private deliver(): void {
        const due = this.deliveries.filter(delivery =>
            delivery.atMs <= this.nowMs && delivery.to.pausedUntilMs <= this.nowMs
        );
        const dueSet = new Set(due);
        this.deliveries = this.deliveries.filter(delivery => !dueSet.has(delivery));
        for (const { fromId, from, to, toId, message } of due) {
            if (to.id === toId && !this.isCut(from, to)) {
                this.submit(to, { kind: "message", from: fromId, message });
            }
        }
    }

    private isCut(from: FakeVm, to: FakeVm): boolean {
        return this.cutLinks.has(`${from.name}>${to.name}`);
    }
}
