import fs from "node:fs/promises";
import os from "node:os";
import path from "node:path";
import { parseArgs } from "node:util";
import type { EntryVm } from "../src/catalogue/model.js";
import { SeededRandom } from "../src/core/random.js";
import { availabilityZones } from "./benchCatalogue.js";
import { findViolations, type InForceTimes, measureInForce } from "./catalogueChecks.js";
import { CatalogueFaults } from "./catalogueFaults.js";
import { CatalogueOperators } from "./catalogueOperators.js";
import { ControlGroup } from "./controlGroup.js";
import { Processes } from "./processes.js";
import { SimulatedEntry } from "./simulatedEntry.js";

const controlCount = 3;
const entryCount = 6;
const operatorCount = 10;
// The operators have their own generator, so that the sequence of faults depends on the seed only.
const operatorSeedOffset = 1_000_000;
const minChangesUnderFaults = 300;
const missedChanges = 500;
const maxStalenessMs = 3000;
const sampleIntervalMs = 50;
const phaseTimeoutMs = 120_000;
const maxInForceP99Ms = 1000;
const maxRecoveryMs = 2000;
const maxPartitionShownMs = 5000;

/** Results of the run with one seed. */
interface RunResult {
    readonly seed: number;
    readonly accepted: number;
    readonly inForce: InForceTimes;
    readonly lost: number;
    readonly reverted: number;
    readonly doubled: number;
    readonly staleSamples: number;
    readonly recoveryMs: number;
    readonly partitionShownMs: number;
    readonly bytesPerChange: number;
    readonly cpuMsPerChange: number;
    readonly isEveryVmVoting: boolean;
    readonly faults: string;
}

function makeEntryVms(): readonly EntryVm[] {
    return Array.from({ length: entryCount }, (_unused, index): EntryVm => ({
        id: `entry-${index + 1}`,
        region: index % 2 === 0 ? "east" : "west",
        availabilityZone: availabilityZones[index % availabilityZones.length],
        address: `127.0.0.1:${2000 + index * 2}`,
        peerAddress: `127.0.0.1:${2001 + index * 2}`,
        state: "active",
    }));
}

/** Counts samples in which a serving entry lacks a revision that was accepted more than `maxStalenessMs` ago. */
function watchStaleServing(operators: CatalogueOperators, entries: readonly SimulatedEntry[]) {
    const watch = { violations: 0, stop: () => clearInterval(timer) };
    const timer = setInterval(() => {
        const limitMs = performance.now() - maxStalenessMs;
        const due = operators.changes.filter(change => Number(change.acceptedAtMs) <= limitMs);
        const revision = Math.max(0, ...due.map(change => change.answers.at(-1)?.revision ?? 0));
        watch.violations += entries.filter(entry => entry.isServing && entry.revision < revision).length;
    }, sampleIntervalMs);
    return watch;
}

async function runChangesUnderFaults(operators: CatalogueOperators, faults: CatalogueFaults): Promise<void> {
    const running = Array.from({ length: operatorCount }, (_unused, index) => operators.run(`operator-${index + 1}`));
    const injecting = faults.run();
    const endMs = performance.now() + phaseTimeoutMs;
    while (operators.acceptedCount < minChangesUnderFaults && performance.now() < endMs) {
        await new Promise(resolve => setTimeout(resolve, sampleIntervalMs));
    }
    faults.stop();
    await injecting;
    operators.stop();
    await Promise.all(running);
}

/**
 * Measures the cost per change while one VM is down for 500 changes, and the time from its start until it holds the
 * current revision.
 */
async function measureRecovery(group: ControlGroup, operators: CatalogueOperators) {
    const vm = group.vms[controlCount - 1];
    await group.kill(vm);
    const [startBytes, startCpuMs] = [group.sumRelayedBytes(), await group.measureCpuMs()];
    await operators.pipeline(missedChanges);
    const bytesPerChange = (group.sumRelayedBytes() - startBytes) / missedChanges;
    const cpuMsPerChange = (await group.measureCpuMs() - startCpuMs) / missedChanges;
    const startMs = performance.now();
    await group.startVm(vm);
    let isCurrent = false;
    while (!isCurrent && performance.now() - startMs < phaseTimeoutMs) {
        const status = await group.status(group.vms[0]).catch(() => undefined);
        const row = status?.voters.find(voter => voter.id.startsWith(`${vm.options.id}.`));
        isCurrent = row !== undefined && row.heardAgoMs < 500 && row.revision === status?.revision;
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    return { recoveryMs: performance.now() - startMs, bytesPerChange, cpuMsPerChange };
}

/** Measures the time until `status` reports a problem of a VM whose connections are cut, in ms. */
async function measurePartition(group: ControlGroup): Promise<number> {
    const vm = group.vms[1];
    const startMs = performance.now();
    vm.relay.cut();
    let isShown = false;
    while (!isShown && performance.now() - startMs < phaseTimeoutMs) {
        const status = await group.status(group.vms[0]).catch(() => undefined);
        isShown = status?.voters.some(row =>
            row.id.startsWith(`${vm.options.id}.`) && row.problems.length > 0
        ) === true;
        await new Promise(resolve => setTimeout(resolve, sampleIntervalMs));
    }
    vm.relay.restore();
    return performance.now() - startMs;
}

async function runSeed(seed: number, processes: Processes): Promise<RunResult> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "figwharf-catalogue-"));
    const group = await ControlGroup.start(processes, controlCount, folder, seed);
    const entryVms = makeEntryVms();
    const addresses = group.vms.map(vm => vm.peerAddress);
    const entries = entryVms.map(vm => new SimulatedEntry(vm, addresses));
    const operators = new CatalogueOperators(group, new SeededRandom(seed + operatorSeedOffset), entryVms);
    const faults = new CatalogueFaults(group, new SeededRandom(seed));
    await operators.declare();
    const watch = watchStaleServing(operators, entries);
    await runChangesUnderFaults(operators, faults);
    const isEveryVmVoting = await group.waitUntilEveryVmVotes(phaseTimeoutMs / 4) !== undefined;
    const faultAudit = (await group.audit(group.vms[0])).records;
    const recovery = await measureRecovery(group, operators);
    const partitionShownMs = await measurePartition(group);
    watch.stop();
    const { records } = await group.audit(group.vms[0]);
    const violations = findViolations(operators.changes, records, entries);
    const lines = [...violations.lost, ...violations.reverted, ...violations.doubled];
    if (lines.length > 0 || watch.violations > 0) {
        console.log([`violations with seed ${seed}:`, ...lines.slice(0, 20), ...faults.history].join("\n"));
    }
    entries.forEach(entry => entry.close());
    await group.close();
    await fs.rm(folder, { recursive: true, force: true });
    return {
        seed,
        accepted: operators.acceptedCount,
        inForce: measureInForce(faultAudit, entries, faults.windows),
        lost: violations.lost.length,
        reverted: violations.reverted.length,
        doubled: violations.doubled.length,
        staleSamples: watch.violations,
        ...recovery,
        partitionShownMs,
        isEveryVmVoting,
        faults: Object.entries(faults.counts).map(([kind, count]) => `${kind} ${count}`).join(", "),
    };
}

function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((first, second) => first - second);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}

function toRow(result: RunResult): Record<string, string | number> {
    const { all, reachable } = result.inForce;
    return {
        "seed": result.seed,
        "accepted": result.accepted,
        "in force p50 ms": Math.round(quantile(reachable, 0.5)),
        "p99 ms": Math.round(quantile(reachable, 0.99)),
        "max ms": Math.round(quantile(reachable, 1)),
        "all p99 ms": Math.round(quantile(all, 0.99)),
        "all max ms": Math.round(quantile(all, 1)),
        "reachable share": Number((reachable.length / all.length).toFixed(2)),
        "lost": result.lost,
        "reverted": result.reverted,
        "doubled": result.doubled,
        "old revision served": result.staleSamples,
        "recovery ms": Math.round(result.recoveryMs),
        "partition shown ms": Math.round(result.partitionShownMs),
        "bytes per change": Math.round(result.bytesPerChange),
        "CPU ms per change": Number(result.cpuMsPerChange.toFixed(2)),
        "all vote again": result.isEveryVmVoting ? "yes" : "no",
        "faults": result.faults,
    };
}

function isPassed(result: RunResult): boolean {
    const isClean = result.lost + result.reverted + result.doubled + result.staleSamples === 0;
    const isFast = quantile(result.inForce.reachable, 0.99) <= maxInForceP99Ms &&
        result.recoveryMs <= maxRecoveryMs && result.partitionShownMs <= maxPartitionShownMs;
    return isClean && isFast && result.isEveryVmVoting && result.accepted >= minChangesUnderFaults;
}

const { values } = parseArgs({
    options: { seed: { type: "string", default: "1" }, seeds: { type: "string", default: "1" } },
});
const firstSeed = Number(values.seed);
console.log(`seeds ${firstSeed} to ${firstSeed + Number(values.seeds) - 1}`);
const processes = new Processes();
const results: RunResult[] = [];
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed++) {
    const result = await runSeed(seed, processes);
    results.push(result);
    console.log(Object.entries(toRow(result)).map(([name, value]) => `${name}: ${value}`).join("; "));
}
await processes.stopAll();
console.table(results.map(toRow));
process.exit(results.every(isPassed) ? 0 : 1);
