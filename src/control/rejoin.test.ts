import test from "ava";
import { FakeGroup, type FakeVm, testLimits } from "./testing/fakeGroup.js";

const limits = { ...testLimits, votersWanted: 3, lostAfterMs: 1500, quorumLossMs: 1500 };
/** Time within which a VM that answers again must be a member. */
const catchUpMs = 4000;

function startGroup(seed: number): { readonly group: FakeGroup; readonly spare: FakeVm; } {
    const group = new FakeGroup(seed, ["a", "b", "c"], limits);
    group.run(2500);
    const spare = group.addVm("d");
    group.run(catchUpMs);
    return { group, spare };
}

function cutOff(group: FakeGroup, vm: FakeVm): void {
    for (const other of group.vms) {
        group.cutLinks.add(`${other.name}>${vm.name}`).add(`${vm.name}>${other.name}`);
    }
}

function findLeader(group: FakeGroup): FakeVm | undefined {
    return group.vms.find(vm => group.isRunning(vm) && vm.replica?.role === "leader");
}

function listMembers(group: FakeGroup): readonly string[] {
    const members = findLeader(group)?.replica?.members;
    return [...members?.voters ?? [], ...members?.learners ?? []].map(member => member.id).sort();
}

interface Silence {
    readonly name: string;
    readonly begin: (group: FakeGroup, vm: FakeVm) => void;
    readonly end: (group: FakeGroup, vm: FakeVm) => void;
}

const silences: readonly Silence[] = [
    {
        name: "suspended",
        begin: (_group, vm) => vm.pausedUntilMs = Infinity,
        end: (_group, vm) => vm.pausedUntilMs = 0,
    },
    { name: "cut off", begin: cutOff, end: group => group.cutLinks.clear() },
    {
        name: "down",
        begin: (group, vm) => group.crash(vm),
        end: (group, vm) => group.restart(vm),
    },
];

for (const { name, begin, end } of silences) {
    for (const target of ["voter", "leader", "learner"] as const) {
        test(`guards against a control VM that never rejoins after it was removed while ${name}: a ${target}`, t => {
            for (let seed = 1; seed <= 5; seed++) {
                const { group, spare } = startGroup(seed);
                const leader = findLeader(group);
                const voter = group.vms.find(vm => vm !== leader && vm !== spare);
                const vm = { voter, leader, learner: spare }[target];
                if (vm === undefined) {
                    t.fail(`seed ${seed}: the group has no ${target}`);
                    return;
                }
                begin(group, vm);
                group.run(4000);
                t.false(listMembers(group).includes(vm.id), `seed ${seed}: removed while silent`);
                end(group, vm);
                group.run(catchUpMs);
                t.deepEqual(listMembers(group), group.vms.map(other => other.id).sort(), `seed ${seed}`);
                t.false(vm.replica?.needsToJoin(group.nowMs), `seed ${seed}: it stops asking`);
            }
        });
    }
}

test("guards against a group that bears fewer losses after its VMs were silent in turn", t => {
    for (let seed = 1; seed <= 5; seed++) {
        const { group, spare } = startGroup(seed);
        const voters = group.vms.slice(0, 3);
        group.addVm("e");
        group.run(catchUpMs);
        for (const vm of voters) {
            cutOff(group, vm);
            group.run(4000);
            group.cutLinks.clear();
            group.run(catchUpMs);
        }
        t.is(listMembers(group).length, group.vms.length, `seed ${seed}`);
        for (const lostVm of [spare, voters[0]]) {
            group.removeVm(lostVm);
            // An election, and then the replacement of the lost voter.
            group.run(catchUpMs + limits.maxElectionMs);
            t.truthy(findLeader(group), `seed ${seed}: a leader after the loss of ${lostVm.name}`);
        }
    }
});
