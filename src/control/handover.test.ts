import test from "ava";
import { ApplyOutcome } from "./operatorApi.js";
import { FakeGroup, type FakeVm, testLimits } from "./testing/fakeGroup.js";
import { FakeOperator } from "./testing/operators.js";

const limits = { ...testLimits, votersWanted: 3, lostAfterMs: 1500, quorumLossMs: 1500 };
/** Time within which a VM that is new or back must be a member. */
const catchUpMs = 4000;
const stepMs = 50;
/** Longest time that a stopping VM waits for its removal. */
const handoverTimeoutMs = 5000;
const downMs = 1000;

interface Run {
    readonly group: FakeGroup;
    readonly operator: FakeOperator;
    run(durationMs: number): void;
}

/** Returns a group of three with one caught-up spare VM. */
function startRun(seed: number): Run {
    const group = new FakeGroup(seed, ["a", "b", "c"], limits);
    const operator = new FakeOperator(group, "ann");
    const run = (durationMs: number) => group.run(durationMs, () => operator.step());
    run(2500);
    group.addVm("d");
    run(catchUpMs);
    return { group, operator, run };
}

function findLeader(group: FakeGroup): FakeVm | undefined {
    return group.vms.find(vm => group.isRunning(vm) && vm.replica?.role === "leader");
}

function isRemoved({ replica, id }: FakeVm): boolean {
    return replica !== undefined && replica.isSettled &&
        ![...replica.members.voters, ...replica.members.learners].some(member => member.id === id);
}

/** Advances one step of a planned stop; returns whether the VM has left. */
function continueStop(group: FakeGroup, vm: FakeVm, stoppingForMs: number): boolean {
    if (!group.vms.includes(vm)) {
        return true;
    }
    vm.isStopping = true;
    group.announceLeaving(vm);
    if (isRemoved(vm) || stoppingForMs >= handoverTimeoutMs) {
        group.removeVm(vm);
        return true;
    }
    return false;
}

function findProblems({ group, operator }: Run): readonly string[] {
    const leader = findLeader(group);
    const longest = Math.max(...group.vms.map(vm => vm.machine.listAudit({ outcome: ApplyOutcome.accepted }).length));
    const lost = operator.operations.filter(({ outcome, revision }) =>
        outcome === ApplyOutcome.accepted && revision > longest
    );
    const voters = leader?.replica?.members.voters.map(member => member.id).sort().join();
    const expected = group.vms.map(vm => vm.id).sort().join();
    return [
        ...leader === undefined ? ["nobody leads"] : [],
        ...voters === expected ? [] : [`the voters are ${voters}, not ${expected}`],
        ...lost.map(({ changeId }) => `${changeId} was accepted but is lost`),
    ];
}

for (const stoppingRole of ["leader", "follower"] as const) {
    for (const wipedRole of ["next voter", "other voter", "spare"] as const) {
        test(`guards against a disk loss that ends the group beside a planned stop of the ${stoppingRole}: ${wipedRole}`, t => {
            for (let lossAtMs = 0; lossAtMs <= 2000; lossAtMs += stepMs) {
                const run = startRun(lossAtMs + 1);
                const { group } = run;
                const leader = findLeader(group);
                const voters = group.vms.slice(0, 3);
                const stopping = stoppingRole === "leader" ? leader : voters.find(vm => vm !== leader);
                const others = voters.filter(vm => vm !== stopping);
                const wiped = { "next voter": others[0], "other voter": others[1], "spare": group.vms[3] }[wipedRole];
                if (stopping === undefined) {
                    t.fail("the group has no such VM");
                    return;
                }
                for (let elapsedMs = 0; elapsedMs < 4000; elapsedMs += stepMs) {
                    continueStop(group, stopping, elapsedMs);
                    if (elapsedMs === lossAtMs) {
                        group.crash(wiped);
                        wiped.disk.wipe();
                        wiped.generation++;
                    }
                    if (elapsedMs === lossAtMs + downMs) {
                        group.restart(wiped);
                    }
                    run.run(stepMs);
                }
                run.run(6000);
                t.deepEqual(findProblems(run), [], `lost after ${lossAtMs} ms`);
            }
        });
    }
}

test("guards against a stopping follower that is not told of its removal", t => {
    for (let seed = 1; seed <= 10; seed++) {
        const { group, run } = startRun(seed);
        const leader = findLeader(group);
        const follower = group.vms.find(vm => vm !== leader) as FakeVm;
        let elapsedMs = 0;
        while (!continueStop(group, follower, elapsedMs)) {
            run(stepMs);
            elapsedMs += stepMs;
        }
        t.true(elapsedMs < 1000, `seed ${seed}: ${elapsedMs} ms`);
    }
});

test("guards against a restarted VM that cannot take part since it announced its stop before", t => {
    for (let seed = 1; seed <= 5; seed++) {
        const run = startRun(seed);
        const { group } = run;
        const stopping = findLeader(group) as FakeVm;
        group.announceLeaving(stopping);
        run.run(200);
        group.crash(stopping);
        run.run(downMs);
        group.restart(stopping);
        run.run(catchUpMs + 4000);
        const members = findLeader(group)?.replica?.members;
        t.is(members?.voters.length, 3, `seed ${seed}`);
        t.is((members?.voters.length ?? 0) + (members?.learners.length ?? 0), 4, `seed ${seed}`);
    }
});
