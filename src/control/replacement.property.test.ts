import test from "ava";
import fc from "fast-check";
import { ApplyOutcome } from "./operatorApi.js";
import { FakeGroup, type FakeVm, testLimits } from "./testing/fakeGroup.js";
import { FakeOperator } from "./testing/operators.js";

/** Time within which the group must recover from a replaced or wiped VM. */
const catchUpMs = 4000;
const replacementKinds = ["lost", "planned", "wiped", "lost with its leader paused"] as const;

interface Replacement {
    readonly kind: typeof replacementKinds[number];
    readonly vm: number;
    /** Time between the loss and the new VM. */
    readonly gapMs: number;
    /** Additional time after `catchUpMs`. */
    readonly extraMs: number;
}

function makeReplacements(vmCount: number): fc.Arbitrary<Replacement[]> {
    return fc.array(
        fc.record<Replacement>({
            kind: fc.constantFrom(...replacementKinds),
            vm: fc.nat(vmCount - 1),
            gapMs: fc.integer({ min: 100, max: 2500 }),
            extraMs: fc.integer({ min: 0, max: 600 }),
        }),
        { minLength: 3, maxLength: 6 },
    );
}

const limits = { ...testLimits, votersWanted: 3, lostAfterMs: 1500, quorumLossMs: 1500 };
const threeVms = ["a", "b", "c"];

/** Replaces VMs of a group one after the other, each after the previous replacement had time to catch up. */
class ReplacementRun {
    readonly group: FakeGroup;
    private readonly operators: readonly FakeOperator[];
    private addedCount = 0;

    constructor(seed: number, names: readonly string[]) {
        this.group = new FakeGroup(seed, names, { ...limits, votersWanted: names.length });
        this.operators = ["ann", "bob"].map(name => new FakeOperator(this.group, name));
        this.run(2500);
    }

    run(durationMs: number): void {
        this.group.run(durationMs, () => this.operators.forEach(operator => operator.step()));
    }

    replace({ kind, vm: index, gapMs, extraMs }: Replacement): void {
        const { group } = this;
        const vm = group.vms[index];
        if (kind === "wiped") {
            group.crash(vm);
            vm.disk.wipe();
            vm.generation++;
            this.run(gapMs);
            group.restart(vm);
        }
        else if (kind === "planned") {
            this.addReplacement();
            this.run(gapMs + catchUpMs);
            group.announceLeaving(vm);
            this.run(gapMs / 4);
            group.removeVm(vm);
        }
        else {
            if (kind === "lost with its leader paused") {
                this.pauseLeader(vm);
            }
            group.removeVm(vm);
            this.run(gapMs);
            this.addReplacement();
        }
        this.run(catchUpMs + extraMs);
    }

    /** Returns the problems of a group whose replacements should be complete. */
    findProblems(): string[] {
        const { group } = this;
        const accepted = group.vms.map(vm => vm.machine.listAudit({ outcome: ApplyOutcome.accepted }));
        const longest = Math.max(...accepted.map(audit => audit.length));
        const leader = group.vms.find(vm => vm.replica?.role === "leader");
        const voters = leader?.replica?.members.voters.map(member => member.id).sort().join();
        const expected = group.vms.map(vm => vm.id).sort().join();
        const lost = this.operators.flatMap(operator => operator.operations).filter(operation =>
            operation.outcome === ApplyOutcome.accepted && operation.revision > longest
        );
        return [
            ...voters === expected ? [] : [`the voters are ${voters}, not ${expected}`],
            ...lost.map(operation => `${operation.changeId} was accepted but is lost`),
            ...[...group.leadersByTerm].filter(([, ids]) => ids.size > 1).map(([term]) =>
                `two leaders in term ${term}`
            ),
        ];
    }

    get acceptedCount(): number {
        return Math.max(...this.group.vms.map(vm => vm.machine.revision));
    }

    private addReplacement(): FakeVm {
        return this.group.addVm(`n${this.addedCount++}`);
    }

    private pauseLeader(except: FakeVm): void {
        const leader = this.group.vms.find(vm => vm !== except && vm.replica?.role === "leader");
        if (leader !== undefined) {
            leader.pausedUntilMs = this.group.nowMs + 300;
        }
    }
}

const groups: readonly { readonly names: readonly string[]; readonly runs: number; }[] = [
    { names: threeVms, runs: 40 },
    { names: [...threeVms, "d", "e"], runs: 15 },
];

for (const { names, runs } of groups) {
    test(`guards against a second loss before the first VM is replaced: ${names.length} VMs`, t => {
        let changes = 0;
        const check = (seed: number, steps: readonly Replacement[]) => {
            const run = new ReplacementRun(seed, names);
            for (const step of steps) {
                run.replace(step);
                const problems = run.findProblems();
                if (problems.length > 0) {
                    throw new Error(`${problems.slice(0, 4).join("\n")} after ${JSON.stringify(step)}`);
                }
            }
            changes += run.acceptedCount;
        };
        const property = fc.property(fc.nat(), makeReplacements(names.length), check);
        t.notThrows(() => fc.assert(property, { seed: 20261204, numRuns: runs, includeErrorInReport: true }));
        t.log(`${changes} changes accepted`);
        t.true(changes > runs * 12.5);
    });
}

test("guards against a restart of all VMs that leaves the group without a leader for an election timeout", t => {
    for (let seed = 1; seed <= 10; seed++) {
        const group = new FakeGroup(seed, ["a", "b", "c"], { ...limits, firstElectionMs: 150, maxCandidacyMs: 300 });
        group.run(2500);
        group.vms.forEach(vm => group.crash(vm));
        group.run(1000);
        // The first VM starts before the others, so nobody receives its first pre-vote.
        group.restart(group.vms[0]);
        group.run(300);
        group.vms.forEach(vm => group.restart(vm));
        group.run(900);
        t.true(group.vms.some(vm => vm.replica?.role === "leader"), `seed ${seed}`);
    }
});

test("guards against split votes when all VMs restart at once", t => {
    for (let seed = 1; seed <= 30; seed++) {
        const group = new FakeGroup(seed, ["a", "b", "c"], { ...limits, firstElectionMs: 300, maxCandidacyMs: 300 });
        group.run(2500);
        const readMaxTerm = () => Math.max(...group.vms.map(vm => vm.replica?.term ?? 0));
        const before = readMaxTerm();
        group.vms.forEach(vm => group.crash(vm));
        group.run(1000);
        group.vms.forEach(vm => group.restart(vm));
        group.run(600);
        t.true(group.vms.some(vm => vm.replica?.role === "leader"), `seed ${seed}`);
        t.is(readMaxTerm(), before + 1, `seed ${seed}: one election is enough`);
    }
});

test("guards against a VM that does not rejoin when all VMs restart at once with their disks", t => {
    const run = new ReplacementRun(11, threeVms);
    const { group } = run;
    const before = run.acceptedCount;
    group.vms.forEach(vm => group.crash(vm));
    run.run(1000);
    group.vms.forEach(vm => group.restart(vm));
    run.run(3000);
    t.deepEqual(run.findProblems(), []);
    t.true(run.acceptedCount > before);
});
