import test from "ava";
import fc from "fast-check";
import { ApplyOutcome, type AuditRecord } from "./operatorApi.js";
import { FakeGroup } from "./testing/fakeGroup.js";
import { FakeOperator, type Operation } from "./testing/operators.js";

const faultKinds = [
    "crash",
    "crash-in-write",
    "lose-disk",
    "cut",
    "cut-outgoing",
    "cut-incoming",
    "pause",
    "delay",
] as const;

interface Fault {
    readonly kind: typeof faultKinds[number];
    readonly vm: number;
    readonly afterMs: number;
    readonly durationMs: number;
}

function makeFaults(vmCount: number): fc.Arbitrary<Fault[]> {
    return fc.array(
        fc.record<Fault>({
            kind: fc.constantFrom(...faultKinds),
            vm: fc.nat(vmCount - 1),
            afterMs: fc.integer({ min: 0, max: 1500 }),
            durationMs: fc.integer({ min: 50, max: 4000 }),
        }),
        { minLength: 4, maxLength: 16 },
    );
}

/** Injects a fault; returns a function that ends it. */
function inject(group: FakeGroup, fault: Fault): () => void {
    const vm = group.vms[fault.vm];
    const others = group.vms.filter(other => other !== vm);
    const outgoing = others.map(other => `${vm.name}>${other.name}`);
    const incoming = others.map(other => `${other.name}>${vm.name}`);
    const cut = (links: readonly string[]) => {
        links.forEach(link => group.cutLinks.add(link));
        return () => links.forEach(link => group.cutLinks.delete(link));
    };
    switch (fault.kind) {
        case "crash":
            group.crash(vm);
            return () => group.restart(vm);
        case "crash-in-write":
            vm.disk.crashAtOperation(1 + fault.durationMs % 7);
            return () => {
                vm.disk.crashAtOperation(Infinity);
                group.restart(vm);
            };
        case "lose-disk":
            return group.loseDisk(vm) ? () => group.restart(vm) : () => undefined;
        case "cut":
            return cut([...outgoing, ...incoming]);
        case "cut-outgoing":
            return cut(outgoing);
        case "cut-incoming":
            return cut(incoming);
        case "pause":
            vm.pausedUntilMs = group.nowMs + fault.durationMs;
            return () => undefined;
        case "delay":
            group.extraDelayMs = fault.durationMs / 4;
            return () => group.extraDelayMs = 0;
    }
}

function runSchedule(seed: number, names: readonly string[], schedule: readonly Fault[]) {
    const group = new FakeGroup(seed, names);
    const operators = ["ann", "bob", "cleo"].map(name => new FakeOperator(group, name));
    const step = () => operators.forEach(operator => operator.step());
    const activeFaults: { endAtMs: number; endFault: () => void; }[] = [];
    const endDueFaults = () => {
        activeFaults.filter(activeFault => activeFault.endAtMs <= group.nowMs).forEach(activeFault =>
            activeFault.endFault()
        );
        activeFaults.splice(
            0,
            activeFaults.length,
            ...activeFaults.filter(activeFault => activeFault.endAtMs > group.nowMs),
        );
        step();
    };
    group.run(2500, step);
    for (const fault of schedule) {
        group.run(fault.afterMs, endDueFaults);
        activeFaults.push({ endAtMs: group.nowMs + fault.durationMs, endFault: inject(group, fault) });
    }
    group.run(4500, endDueFaults);
    group.heal();
    group.run(12_000, step);
    // Lets the last commit index reach the followers.
    group.run(2000);
    return { group, operations: operators.flatMap(operator => operator.operations) };
}

function listAccepted(group: FakeGroup, position: number): readonly AuditRecord[] {
    return group.vms[position].machine.listAudit({ outcome: ApplyOutcome.accepted });
}

function findAuditViolations(operations: readonly Operation[], audit: readonly AuditRecord[]): string[] {
    const byRevision = new Map(audit.map(record => [record.revision, record.changeId]));
    const violations = audit.flatMap((record, position) =>
        record.revision === position + 1 ? [] : [`revision ${record.revision} is at position ${position + 1}`]
    );
    if (new Set(audit.map(record => record.changeId)).size !== audit.length) {
        violations.push("a change was applied twice");
    }
    for (const operation of operations.filter(op => op.endedAtMs !== undefined)) {
        const { changeId, outcome, revision, baseRevision, observedChangeId } = operation;
        if (observedChangeId !== undefined && byRevision.get(revision) !== observedChangeId) {
            violations.push(`${changeId} saw ${observedChangeId} at ${revision}, which is ${byRevision.get(revision)}`);
        }
        if (outcome === ApplyOutcome.accepted && revision !== baseRevision + 1) {
            violations.push(`${changeId} was accepted at ${revision} on base ${baseRevision}`);
        }
        if (outcome === ApplyOutcome.conflict && audit.some(record => record.changeId === changeId)) {
            violations.push(`${changeId} was answered with a conflict but was applied`);
        }
        if (outcome === ApplyOutcome.conflict && revision === baseRevision) {
            violations.push(`${changeId} got a conflict with its own base revision ${baseRevision}`);
        }
    }
    return violations;
}

/**
 * The revision is a compare-and-set register that only increases. A history is linearizable if no operation observes a
 * lower revision than one that ended before it started, or a revision before the change that made it was sent.
 */
function findOrderViolations(operations: readonly Operation[], audit: readonly AuditRecord[]): string[] {
    const violations: string[] = [];
    const invokedAt = new Map(operations.map(op => [op.changeId, op.invokedAtMs]));
    const ended = operations.filter(op => op.endedAtMs !== undefined);
    for (const later of ended) {
        for (const earlier of ended) {
            if (Number(earlier.endedAtMs) < later.invokedAtMs && later.revision < earlier.revision) {
                violations.push(
                    `${later.changeId} got ${later.revision} after ${earlier.changeId} got ${earlier.revision}`,
                );
            }
        }
        const auditRecord = audit[later.revision - 1];
        if (auditRecord !== undefined && Number(invokedAt.get(auditRecord.changeId)) > Number(later.endedAtMs)) {
            violations.push(`${later.changeId} observed revision ${later.revision} before its change was sent`);
        }
    }
    return violations;
}

function findGroupViolations(group: FakeGroup, audit: readonly AuditRecord[]): string[] {
    const sharedTerms = [...group.leadersByTerm].filter(([, ids]) => ids.size > 1).map(([term]) =>
        `two leaders in term ${term}`
    );
    const divergent = group.vms.map((_vm, position) => position).filter(position =>
        JSON.stringify(listAccepted(group, position)) !== JSON.stringify(audit)
    )
        .map(position => `VM ${position} holds ${listAccepted(group, position).length} changes, not ${audit.length}`);
    const leader = group.vms.find(vm => vm.replica?.role === "leader");
    const voters = leader?.replica?.members.voters.map(member => member.id).sort().join();
    const ids = group.vms.map(vm => vm.id).join();
    return [...sharedTerms, ...divergent, ...voters === ids ? [] : [`the voters are ${voters}, not ${ids}`]];
}

const groups: readonly { readonly names: readonly string[]; readonly runs: number; }[] = [
    { names: ["a", "b", "c"], runs: 60 },
    { names: ["a", "b", "c", "d", "e"], runs: 30 },
];

for (const { names, runs } of groups) {
    test(`guards against lost, duplicated or reverted changes and stale reads under random faults: ${names.length} VMs`, t => {
        const totals = { changes: 0, ended: 0 };
        const check = (seed: number, schedule: readonly Fault[]) => {
            const { group, operations } = runSchedule(seed, names, schedule);
            const audit = listAccepted(group, 0);
            const violations = [
                ...findGroupViolations(group, audit),
                ...findAuditViolations(operations, audit),
                ...findOrderViolations(operations, audit),
            ];
            if (violations.length > 0) {
                throw new Error(violations.slice(0, 5).join("\n"));
            }
            totals.changes += audit.length;
            totals.ended += operations.filter(op => op.endedAtMs !== undefined).length;
        };
        const property = fc.property(fc.nat(), makeFaults(names.length), check);
        t.notThrows(() => fc.assert(property, { seed: 20261204, numRuns: runs, includeErrorInReport: true }));
        t.log(`${totals.changes} changes accepted, ${totals.ended} operations ended`);
        t.true(totals.changes > runs * 50 / 3);
    });
}
