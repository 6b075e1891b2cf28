import test from "ava";
import { directoryReplicaLimits } from "../directory/daemon.js";
import type { ChangeCommand } from "./messages.js";
import { FakeGroup, type FakeVm, testLimits } from "./testing/fakeGroup.js";

/** Time after its acknowledgement within which a change must be in force everywhere. */
const configApplyMs = 2000;
/** Time for which an entry relies on a confirmation. */
const confirmationTtlMs = 1500;
const settleMs = 3000;
const partitionMs = 8000;
const proposalIntervalMs = 100;
const lagMs = 2000;
const downMs = 300;
const recoveryMs = 6000;

const groups = [
    { names: ["a", "b", "c"], minority: 1 },
    { names: ["a", "b", "c", "d", "e"], minority: 2 },
];

function makeChange(id: number): ChangeCommand {
    return {
        changeId: `change-${id}`,
        baseRevision: id,
        operation: { kind: "declare", declarations: { services: [], entryVms: [], runbookCommands: [] } },
        operator: "ann",
        from: "::1",
        proposedAtMs: 0,
        groupTimeMs: 0,
        problem: undefined,
    };
}

/** Partitions the leader and followers from the majority, and returns which VM relied too long on an older state. */
function findLateConfirmations(
    seed: number,
    names: readonly string[],
    minority: number,
    allowedMs: number,
    extraDelayMs: number,
): readonly string[] {
    const group = new FakeGroup(seed, names, { ...testLimits, ...directoryReplicaLimits, compactAfterRecords: 24 });
    group.run(settleMs + group.random.nextInt(500));
    const leader = group.vms.find(vm => vm.replica?.role === "leader");
    const isolated = new Set([leader, ...group.vms.filter(vm => vm !== leader)].slice(0, minority));
    for (const vm of group.vms) {
        for (const other of group.vms) {
            if (isolated.has(vm) !== isolated.has(other)) {
                group.cutLinks.add(`${vm.name}>${other.name}`);
            }
        }
    }
    group.extraDelayMs = extraDelayMs;
    const acknowledged: { readonly atMs: number; readonly revision: number; }[] = [];
    const violations: string[] = [];
    const check = (vm: FakeVm) => {
        const confirmedAtMs = vm.replica?.confirmedAtMs ?? -Infinity;
        const missed = acknowledged.find(({ revision }) => revision > vm.machine.revision);
        if (missed !== undefined && confirmedAtMs > missed.atMs + allowedMs) {
            violations.push(`${vm.name} at ${group.nowMs}`);
        }
    };
    let changeCount = 0;
    group.run(partitionMs, () => {
        const current = group.vms.find(vm => !isolated.has(vm) && vm.replica?.role === "leader");
        if (current !== undefined && group.nowMs % proposalIntervalMs === 0) {
            group.proposeChange(current, makeChange(changeCount++), (answer, vm) => {
                if (answer.kind === "applied") {
                    acknowledged.push({ atMs: group.nowMs, revision: vm.machine.revision });
                }
            });
        }
        group.vms.forEach(check);
    });
    return acknowledged.length === 0 ? ["no change was acknowledged"] : violations;
}

/** Proposes changes to the leader until time has passed; calls `onChange` when one is acknowledged. */
function proposeFor(group: FakeGroup, durationMs: number, onChange: (revision: number) => void): void {
    let changeCount = 0;
    group.run(durationMs, () => {
        const current = group.vms.find(vm => vm.replica?.role === "leader");
        if (current !== undefined && group.nowMs % proposalIntervalMs === 0) {
            group.proposeChange(current, makeChange(changeCount++), (answer, vm) => {
                if (answer.kind === "applied") {
                    onChange(vm.machine.revision);
                }
            });
        }
    });
}

/** Lets a minority miss changes, restarts VMs, and returns which VM confirmed a state without an acknowledged change. */
function findConfirmationsAfterRestart(
    seed: number,
    { names, minority }: typeof groups[number],
    isGroupRestarted: boolean,
    extraDelayMs: number,
): readonly string[] {
    const group = new FakeGroup(seed, names, { ...directoryReplicaLimits, compactAfterRecords: 24, keepRecords: 6 });
    group.run(settleMs + group.random.nextInt(500));
    const leader = group.vms.find(vm => vm.replica?.role === "leader");
    const lagging = group.vms.filter(vm => vm !== leader).slice(0, minority);
    for (const vm of lagging) {
        group.vms.forEach(other => group.cutLinks.add(`${other.name}>${vm.name}`));
    }
    let acknowledgedRevision = 0;
    proposeFor(group, lagMs, revision => acknowledgedRevision = Math.max(acknowledgedRevision, revision));
    const restarted = group.vms.filter(vm => isGroupRestarted || vm === leader);
    restarted.forEach(vm => group.crash(vm));
    group.cutLinks.clear();
    group.extraDelayMs = extraDelayMs;
    const restartedAtMs = group.nowMs;
    const violations: string[] = [];
    const check = (vm: FakeVm) => {
        const confirmedAtMs = vm.replica?.confirmedAtMs ?? -Infinity;
        if (confirmedAtMs >= restartedAtMs && vm.machine.revision < acknowledgedRevision) {
            violations.push(
                `${vm.name} confirms revision ${vm.machine.revision} of ${acknowledgedRevision}, ` +
                    `${group.nowMs - restartedAtMs} ms after the restart`,
            );
        }
    };
    group.run(downMs, () => group.vms.forEach(check));
    restarted.forEach(vm => group.restart(vm));
    group.run(recoveryMs, () => group.vms.forEach(check));
    return acknowledgedRevision === 0 ? ["no change was acknowledged"] : violations;
}

for (const { names, minority } of groups) {
    test(
        `guards against a partitioned control VM that confirms a configuration after the majority changed it: ${names.length} VMs`,
        t => {
            for (let seed = 1; seed <= 20; seed++) {
                const violations = findLateConfirmations(seed, names, minority, configApplyMs - confirmationTtlMs, 0);
                t.deepEqual(violations.slice(0, 1), [], `seed ${seed}`);
            }
        },
    );
}

for (const { names, minority } of groups) {
    test(`guards against a confirmation that covers a change which the VM lacks, as its message was late: ${names.length} VMs`, t => {
        for (let seed = 1; seed <= 20; seed++) {
            t.deepEqual(findLateConfirmations(seed, names, minority, 0, 150).slice(0, 1), [], `seed ${seed}`);
        }
    });
}

for (const group of groups) {
    for (const isGroupRestarted of [true, false]) {
        const restarted = isGroupRestarted ? "all VMs restart" : "the leader restarts";
        test(`guards against a new leader that confirms an old state before it has committed: ${group.names.length} VMs, ${restarted}`, t => {
            for (let seed = 1; seed <= 20; seed++) {
                for (const extraDelayMs of [0, 100, 400]) {
                    const violations = findConfirmationsAfterRestart(seed, group, isGroupRestarted, extraDelayMs);
                    t.deepEqual(violations.slice(0, 1), [], `seed ${seed}, messages up to ${extraDelayMs} ms late`);
                }
            }
        });
    }
}
