import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { SeededRandom } from "../src/core/random.js";
import { availabilityZones, benchService } from "./benchCatalogue.js";
import { type Call, Caller, type CallResult, describeResult } from "./caller.js";
import { readExecutions } from "./executionLog.js";
import { FaultInjector, type RestartableUpstream } from "./faults.js";
import { describeHistory, findViolations } from "./outcomeChecks.js";
import { Processes } from "./processes.js";
import { type BenchSystem, startSystem } from "./system.js";

const seed = Number(process.env.SEED ?? 1);
const faultCount = Number(process.env.FAULTS ?? 200);
const meanFaultIntervalMs = 250;
const entries = 5;
const controls = 3;
const upstreamsPerService = 6;
const callersPerService = 12;
const meanServiceMs = 15;
const requestTimeoutMs = 8000;
const maxThinkMs = 40;
/** Time after the last call for upstreams to finish requests that they still run. */
const settleMs = 3000;
const maxShownViolations = 5;

const services = ["orders", "paintdesk"] as const;

async function main(): Promise<number> {
    const processes = new Processes();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-outcomes-"));
    console.log(`bench:outcomes seed=${seed} faults=${faultCount}`);
    const system = await startSystem(processes, {
        seed,
        entries,
        controls,
        folder,
        services: services.map(name => benchService(name)),
        hasRelays: true,
    });
    try {
        const upstreams = await startUpstreams(system);
        await system.waitUntilServing(services);
        const injector = new FaultInjector(processes, system, upstreams, new SeededRandom(seed));
        const load = startLoad(system.entryAddresses);
        await injector.run(faultCount, meanFaultIntervalMs);
        const results = await load.stop();
        await new Promise(resolve => setTimeout(resolve, settleMs));
        return report(results, injector, system.executionLogs());
    }
    finally {
        await processes.stopAll();
        await system.closeRelays();
        fs.rmSync(folder, { recursive: true });
    }
}

function startUpstreams(system: BenchSystem): Promise<readonly RestartableUpstream[]> {
    const upstreamStarts = services.flatMap((service, serviceIndex) =>
        Array.from({ length: upstreamsPerService }, async (_unused, index): Promise<RestartableUpstream> => {
            const options = {
                service,
                id: `${service}-${index + 1}`,
                availabilityZone: availabilityZones[index % availabilityZones.length],
                slots: 3,
                meanServiceMs,
                seed: seed * 10_000 + serviceIndex * 100 + index,
                incarnation: 1,
            };
            return { options, process: await system.startUpstream(options) };
        })
    );
    return Promise.all(upstreamStarts);
}

interface Load {
    /** Waits for the calls in progress, and returns all results. */
    stop(): Promise<readonly CallResult[]>;
}

function startLoad(entryAddresses: readonly string[]): Load {
    let isStopping = false;
    const results: CallResult[] = [];
    const loops = services.flatMap((service, serviceIndex) =>
        Array.from({ length: callersPerService }, async (_unused, index) => {
            const random = new SeededRandom(seed * 1000 + serviceIndex * 100 + index);
            const caller = new Caller(entryAddresses, random);
            for (let number = 0; !isStopping; number++) {
                results.push(await caller.call(nextCall(service, `${service}-${index}-${number}`, random)));
                await new Promise(resolve => setTimeout(resolve, maxThinkMs * random.nextUnit()));
            }
            await caller.close();
        })
    );
    return {
        stop: async () => {
            isStopping = true;
            await Promise.all(loops);
            return results;
        },
    };
}

/** Draws a call: 50% reads, 30% writes with an idempotency key and 20% writes without. */
function nextCall(service: string, name: string, random: SeededRandom): Call {
    const choice = random.nextUnit();
    const isWrite = choice < 0.5;
    return {
        service,
        name,
        method: isWrite ? "POST" : "GET",
        path: isWrite ? "/write" : "/read",
        hasIdempotencyKey: choice < 0.3,
        bodyBytes: isWrite ? 300 : 0,
        requestTimeoutMs,
    };
}

/** Prints the table and returns the exit code. */
function report(results: readonly CallResult[], injector: FaultInjector, logs: readonly string[]): number {
    const { history, badExits } = injector;
    const executions = readExecutions(logs);
    const violations = findViolations(results, executions, history);
    const counts = new Map<string, number>();
    for (const { outcome } of results) {
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
    const ok = counts.get("ok") ?? 0;
    const unknown = (counts.get("may-have-run") ?? 0) + (counts.get("dropped") ?? 0);
    const faults = new Map<string, number>();
    history.forEach(fault => faults.set(fault.kind, (faults.get(fault.kind) ?? 0) + 1));
    console.log([...faults].map(([kind, count]) => `${kind}: ${count}`).join(", "));
    const rows: readonly (readonly [string, number | string])[] = [
        ["requests", results.length],
        ["incomplete or foreign answers", violations.incompleteOrForeign.length],
        ["false not-run", violations.falseNotRun.length],
        ["doubled executions", violations.doubled.length],
        ["requests cut by a graceful shutdown", violations.cutByShutdown.length + badExits.length],
        ["late work to a draining upstream", violations.lateWork.length],
        ["unknown outcomes", unknown],
        ["not run", counts.get("not-run") ?? 0],
        ["told ran without a response", counts.get("ran") ?? 0],
        ["failed", counts.get("failed") ?? 0],
        ["success rate", `${(100 * ok / results.length).toFixed(3)}%`],
    ];
    rows.forEach(([name, value]) => console.log(`${name.padEnd(38)} ${value}`));
    const lines = [...Object.entries(violations), ["badExits", badExits] as const]
        .flatMap(([name, found]) => found.slice(0, maxShownViolations).map((line: string) => `${name}: ${line}`));
    if (lines.length === 0) {
        printFailureExamples(results);
        return 0;
    }
    console.log(`violations with seed ${seed}:\n${lines.join("\n")}\nhistory:\n${describeHistory(history)}`);
    return 1;
}

function printFailureExamples(results: readonly CallResult[]): void {
    for (const outcome of ["not-run", "ran", "failed"]) {
        const [first] = results.filter(result => result.outcome === outcome);
        if (first !== undefined) {
            console.log(`example: ${describeResult(first)}`);
        }
    }
}

process.exitCode = await main();
