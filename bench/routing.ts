import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { request } from "undici";
import { PolicyName } from "../src/catalogue/model.js";
import { availabilityZones, benchService } from "./benchCatalogue.js";
import type { LoadResult } from "./loadProcess.js";
import { type BenchProcess, Processes } from "./processes.js";
import { reportRows, type RoutingRow } from "./routingReport.js";
import * as scenario from "./routingScenario.js";
import { type BenchSystem, startSystem } from "./system.js";
import type { SimulatedUpstreamCommand, SimulatedUpstreamCounts } from "./upstream.js";

const seed = Number(process.env.SEED ?? 1);
const runMs = Number(process.env.RUN_MS ?? 6000);
const warmUpMs = 1500;
/** Runs first, so that code is compiled and connections are open when the measurements start. */
const warmUp: Scenario = { name: "warm-up", load: 0.3 };
const entryCount = 8;
const loadProcessCount = Number(process.env.LOAD_PROCESSES ?? 4);
const startDelayMs = 700;
const probeMs = 6;
const measuringBudgetMsPerSecond = 200;
/** Multiplies service times and periods of slowness, for machines that cannot sustain the full request rate. */
const timeScale = Number(process.env.TIME_SCALE ?? 1);
const scaledWorkMs = scenario.meanWorkMs * timeScale;
const service = "orders";

interface Scenario {
    readonly name: string;
    readonly load: number;
    readonly slowness?: scenario.Slowness;
    readonly failing?: number;
    /** Whether the processes of one availability zone are killed after a quarter of the measured time. */
    readonly isZoneLost?: boolean;
}

const oneSlowInstance = { factor: 10, periodMs: 200 * timeScale, instances: 1 };
const bursts = { factor: 3, periodMs: 20 * timeScale, instances: 4 };
// The scenario that loses an availability zone comes last because it kills processes of the system.
const scenarios: readonly Scenario[] = [
    { name: "steady-50", load: 0.5 },
    { name: "steady-70", load: 0.7 },
    { name: "steady-85", load: 0.85 },
    { name: "slow-50", load: 0.5, slowness: oneSlowInstance },
    { name: "slow-70", load: 0.7, slowness: oneSlowInstance },
    { name: "slow-85", load: 0.85, slowness: oneSlowInstance },
    { name: "bursts-70", load: 0.7, slowness: bursts },
    { name: "failing-70", load: 0.7, failing: 3 },
    { name: "lost-zone-50", load: 0.5, isZoneLost: true },
];
const fleets: readonly scenario.Fleet[] = [{ instances: 17, slots: 3 }, { instances: 15, slots: 2 }];

/** Counts of all upstreams of a fleet together. */
interface FleetCounts {
    readonly atMs: number;
    readonly probeMs: number;
    readonly connections: number;
}

/** Measures scenarios on one running system with one fleet and one policy. */
class PolicyRun {
    private constructor(
        private readonly processes: Processes,
        private readonly system: BenchSystem,
        private readonly upstreams: readonly BenchProcess[],
        private readonly fleet: scenario.Fleet,
        private readonly policy: PolicyName,
        private readonly folder: string,
    ) {}

    static async start(
        processes: Processes,
        fleet: scenario.Fleet,
        policy: PolicyName,
        folder: string,
    ): Promise<PolicyRun> {
        const services = [benchService(service, { policy, measuringBudgetMsPerSecond, probeCostMs: probeMs })];
        const system = await startSystem(processes, { seed, entries: entryCount, controls: 1, services, folder });
        const upstreams = await Promise.all(
            Array.from({ length: fleet.instances }, (_unused, index) =>
                system.startUpstream({
                    service,
                    id: `${service}-${index}`,
                    availabilityZone: availabilityZones[index % availabilityZones.length],
                    slots: fleet.slots,
                    meanServiceMs: scaledWorkMs,
                    seed: seed * 10_000 + index,
                    probeMs,
                    incarnation: 1,
                })),
        );
        await system.waitUntilServing([service]);
        return new PolicyRun(processes, system, upstreams, fleet, policy, folder);
    }

    async measure(measuredScenario: Scenario): Promise<RoutingRow[]> {
        const durationMs = warmUpMs + runMs;
        const rate = this.fleet.instances * this.fleet.slots * measuredScenario.load / scaledWorkMs;
        const startAtEpochMs = Date.now() + startDelayMs;
        const loadGenerators = await Promise.all(
            Array.from(
                { length: loadProcessCount },
                (_unused, index) =>
                    this.processes.start("loadProcess.js", `load-${index}`, {
                        service,
                        entryAddresses: this.system.entryAddresses,
                        requestsPerSecond: rate * 1000 / loadProcessCount,
                        durationMs,
                        seed: seed * 100 + index,
                        startAtEpochMs,
                        resultFile: this.resultFile(index),
                    }),
            ),
        );
        const before = await this.readCounts();
        const periodMs = measuredScenario.slowness?.periodMs ?? durationMs;
        const slowByPeriod = measuredScenario.slowness &&
            scenario.drawSlowInstances(this.fleet, measuredScenario.slowness, Math.ceil(durationMs / periodMs), seed);
        const faults = this.runFaults(measuredScenario, slowByPeriod ?? [], startAtEpochMs, durationMs);
        await Promise.all(loadGenerators.map(load => this.processes.waitForExit(load)));
        await faults;
        const after = await this.readCounts();
        const results = loadGenerators.map((_load, index) => this.readResult(index));
        return this.toRows(measuredScenario, slowByPeriod, results, before, after);
    }

    async stop(): Promise<void> {
        await this.processes.stopAll();
    }

    private async runFaults(
        measuredScenario: Scenario,
        slowByPeriod: readonly number[][],
        startAtEpochMs: number,
        durationMs: number,
    ): Promise<void> {
        const periodMs = measuredScenario.slowness?.periodMs ?? 0;
        for (const [period, instances] of slowByPeriod.entries()) {
            await sleepUntil(startAtEpochMs + period * periodMs);
            this.broadcastCommand(slowByPeriod[period - 1] ?? [], { slowFactor: 1 });
            this.broadcastCommand(instances, { slowFactor: measuredScenario.slowness?.factor });
        }
        await sleepUntil(startAtEpochMs + warmUpMs + (slowByPeriod.length > 0 ? durationMs : runMs / 4));
        if (measuredScenario.failing !== undefined) {
            this.broadcastCommand([measuredScenario.failing], { failsFast: true });
        }
        if (measuredScenario.isZoneLost === true) {
            const isLost = (_unused: BenchProcess, index: number) => index % availabilityZones.length === 2;
            [...this.system.entries.filter(isLost), ...this.upstreams.filter(isLost)].forEach(lost =>
                this.processes.signal(lost, "SIGKILL")
            );
        }
        await sleepUntil(startAtEpochMs + durationMs);
        this.broadcastCommand(slowByPeriod.at(-1) ?? [], { slowFactor: 1 });
        this.broadcastCommand(measuredScenario.failing === undefined ? [] : [measuredScenario.failing], {
            failsFast: false,
        });
    }

    private broadcastCommand(instances: readonly number[], upstreamCommand: SimulatedUpstreamCommand): void {
        for (const instance of instances) {
            const { address } = this.upstreams[instance].ready;
            const body = JSON.stringify(upstreamCommand);
            void request(`http://${address}/stand-in/command`, { method: "POST", body })
                .then(response => response.body.dump(), () => undefined);
        }
    }

    private async readCounts(): Promise<FleetCounts> {
        const counts = await Promise.all(this.upstreams.map(upstream => readCounts(upstream.ready.address)));
        return {
            atMs: performance.now(),
            probeMs: counts.reduce((sum, count) => sum + count.probeMs, 0),
            connections: counts.reduce((sum, count) => sum + count.connections, 0),
        };
    }

    private toRows(
        measuredScenario: Scenario,
        slowByPeriod: readonly number[][] | undefined,
        results: readonly LoadResult[],
        before: FleetCounts,
        after: FleetCounts,
    ): RoutingRow[] {
        const samples = results.flatMap(result => result.samples).filter(([atMs]) => atMs >= warmUpMs);
        const failed = results.flatMap(result => Object.values(result.failures)).reduce((sum, count) => sum + count, 0);
        const common = { scenario: measuredScenario.name, fleet: this.fleet };
        const row: RoutingRow = {
            ...common,
            name: this.policy,
            latenciesMs: samples.map(([, latencyMs]) => latencyMs),
            failed,
            measuringMsPerSecond: (after.probeMs - before.probeMs) * 1000 / (after.atMs - before.atMs),
            connections: after.connections - before.connections,
        };
        return [row, {
            ...common,
            ...this.computeBound(measuredScenario, slowByPeriod),
            failed: 0,
            measuringMsPerSecond: 0,
            connections: 0,
        }];
    }

    private computeBound(measuredScenario: Scenario, slowByPeriod: readonly number[][] | undefined) {
        const faults = slowByPeriod !== undefined && measuredScenario.slowness !== undefined
            ? scenario.makeSlownessFaults(slowByPeriod, measuredScenario.slowness)
            : measuredScenario.failing !== undefined
            ? scenario.makeFastFailure(measuredScenario.failing, warmUpMs + runMs / 4)
            : scenario.noFaults;
        const singleSlot = { instances: 1, slots: 1 };
        const rate = this.fleet.instances * this.fleet.slots * measuredScenario.load / loadProcessCount * 1000 /
            scaledWorkMs;
        // Reproduces the arrivals of the load processes, which use the same seeds and the same mean of 1000 ms.
        const arrivals = Array.from(
            { length: loadProcessCount },
            (_unused, index) => scenario.makeArrivals(singleSlot, rate, warmUpMs + runMs, seed * 100 + index, 1000),
        ).flat().sort((a, b) => a.atMs - b.atMs).map(({ atMs, workMs: unscaledWorkMs }) => ({
            atMs,
            workMs: unscaledWorkMs * scaledWorkMs / 1000,
        }));
        const latenciesMs = scenario.simulatePerfectKnowledge(this.fleet, arrivals, faults)
            .filter((_latency, index) => arrivals[index].atMs >= warmUpMs);
        return { name: "perfect-knowledge", latenciesMs };
    }

    private resultFile(index: number): string {
        return path.join(this.folder, `load-${index}.json`);
    }

    private readResult(index: number): LoadResult {
        const text = fs.readFileSync(this.resultFile(index), "utf8");
        fs.rmSync(this.resultFile(index));
        return JSON.parse(text) as LoadResult;
    }
}

async function readCounts(address: string): Promise<Pick<SimulatedUpstreamCounts, "probeMs" | "connections">> {
    try {
        const response = await request(`http://${address}/stand-in/counts`);
        return await response.body.json() as SimulatedUpstreamCounts;
    }
    catch {
        // The process was killed with its availability zone.
        return { probeMs: 0, connections: 0 };
    }
}

async function sleepUntil(epochMs: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, Math.max(0, epochMs - Date.now())));
}

function selectListed<T extends string>(variable: string | undefined, all: readonly T[]): readonly T[] {
    return variable === undefined ? all : all.filter(name => variable.split(",").includes(name));
}

async function main(): Promise<number> {
    const names = selectListed(process.env.SCENARIOS, scenarios.map(it => it.name));
    const policies = selectListed(process.env.POLICIES, Object.values(PolicyName));
    const rows: RoutingRow[] = [];
    console.log(`bench:routing seed=${seed}: ${entryCount} entries in 3 availability zones, ${runMs} ms per row,`);
    console.log(
        `time scale ${timeScale}: service time ${scaledWorkMs} ms, slow instances change every ${oneSlowInstance.periodMs} ms; probe ${probeMs} ms, budget ${measuringBudgetMsPerSecond} ms/s`,
    );
    const chosenFleets = fleets.slice(0, Number(process.env.FLEETS ?? fleets.length));
    for (const fleet of chosenFleets) {
        for (const policy of policies) {
            const processes = new Processes();
            const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-routing-"));
            const run = await PolicyRun.start(processes, fleet, policy, folder);
            try {
                await run.measure(warmUp);
                for (const measuredScenario of scenarios.filter(it => names.includes(it.name))) {
                    rows.push(...await run.measure(measuredScenario));
                }
            }
            finally {
                await run.stop();
                fs.rmSync(folder, { recursive: true });
            }
        }
    }
    return reportRows(rows);
}

process.exit(await main());
