import { build, type Histogram } from "hdr-histogram-js";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { request } from "undici";
import { SeededRandom } from "../src/core/random.js";
import { availabilityZones, benchService } from "./benchCatalogue.js";
import { type Call, Caller, type CallResult, describeResult } from "./caller.js";
import { readExecutions } from "./executionLog.js";
import { Processes } from "./processes.js";
import { startSystem } from "./system.js";
import type { SimulatedUpstreamCounts } from "./upstream.js";

const seed = Number(process.env.SEED ?? 1);
const runMs = 20_000;
const callersPerService = 8;
const requestTimeoutMs = 15_000;
const microsPerMs = 1000;

interface DemoService {
    readonly name: string;
    readonly upstreams: number;
    readonly slots: number;
    readonly meanServiceMs: number;
    readonly write: string;
    readonly read: string;
}

const demoServices: readonly DemoService[] = [
    { name: "orders", upstreams: 5, slots: 3, meanServiceMs: 12, read: "/quotes", write: "/orders" },
    { name: "moulds", upstreams: 5, slots: 3, meanServiceMs: 10, read: "/patterns", write: "/pours" },
    { name: "paintdesk", upstreams: 4, slots: 2, meanServiceMs: 12, read: "/histories", write: "/batches" },
    { name: "sitebook", upstreams: 4, slots: 2, meanServiceMs: 12, read: "/surveys", write: "/sign-offs" },
];

interface ServiceResults {
    readonly latency: Histogram;
    readonly results: CallResult[];
}

async function main(): Promise<number> {
    const processes = new Processes();
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-demo-"));
    console.log(`demo seed=${seed}: ${runMs / 1000} s of load, one entry is killed halfway`);
    const system = await startSystem(processes, {
        seed,
        entries: 3,
        controls: 3,
        folder,
        services: demoServices.map(({ name }) => benchService(name)),
    });
    try {
        const upstreams = await Promise.all(
            demoServices.flatMap((service, serviceIndex) =>
                Array.from({ length: service.upstreams }, (_unused, index) =>
                    system.startUpstream({
                        service: service.name,
                        id: `${service.name}-${index + 1}`,
                        availabilityZone: availabilityZones[index % availabilityZones.length],
                        slots: service.slots,
                        meanServiceMs: service.meanServiceMs,
                        seed: seed * 10_000 + serviceIndex * 100 + index,
                        probeMs: 6,
                        incarnation: 1,
                    }))
            ),
        );
        await system.waitUntilServing(demoServices.map(service => service.name));
        const killTimer = setTimeout(() => {
            console.log(`killing ${system.entries[1].name} (SIGKILL)`);
            void processes.kill(system.entries[1]);
        }, runMs / 2);
        const byService = await runLoad(system.entryAddresses);
        clearTimeout(killTimer);
        const probeMs = await readProbeCost(upstreams.map(upstream => upstream.ready.address));
        return report(byService, probeMs, system.executionLogs());
    }
    finally {
        await processes.stopAll();
        fs.rmSync(folder, { recursive: true });
    }
}

async function runLoad(entryAddresses: readonly string[]): Promise<Map<string, ServiceResults>> {
    const endAtMs = performance.now() + runMs;
    const byService = new Map<string, ServiceResults>();
    const loops = demoServices.flatMap((service, serviceIndex) => {
        const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
        const collected: ServiceResults = { latency, results: [] };
        byService.set(service.name, collected);
        return Array.from({ length: callersPerService }, (_unused, index) => {
            const random = new SeededRandom(seed * 1000 + serviceIndex * 100 + index);
            return runCaller(service, `${service.name}-${index}`, entryAddresses, random, endAtMs, collected);
        });
    });
    await Promise.all(loops);
    return byService;
}

async function runCaller(
    service: DemoService,
    name: string,
    entryAddresses: readonly string[],
    random: SeededRandom,
    endAtMs: number,
    collected: ServiceResults,
): Promise<void> {
    const caller = new Caller(entryAddresses, random);
    for (let number = 0; performance.now() < endAtMs; number++) {
        const isWrite = random.nextUnit() < 0.25;
        const call: Call = {
            service: service.name,
            method: isWrite ? "POST" : "GET",
            path: isWrite ? service.write : service.read,
            name: `${name}-${number}`,
            hasIdempotencyKey: isWrite,
            bodyBytes: isWrite ? 500 : 0,
            requestTimeoutMs,
        };
        const result = await caller.call(call);
        collected.results.push(result);
        collected.latency.recordValue(result.latencyMs * microsPerMs);
    }
    await caller.close();
}

async function readProbeCost(addresses: readonly string[]): Promise<Map<string, number>> {
    const byService = new Map<string, number>();
    for (const address of addresses) {
        const response = await request(`http://${address}/stand-in/counts`);
        const counts = await response.body.json() as SimulatedUpstreamCounts;
        byService.set(counts.service, (byService.get(counts.service) ?? 0) + counts.probeMs);
    }
    return byService;
}

/** Prints the table and returns the exit code. */
function report(
    byService: ReadonlyMap<string, ServiceResults>,
    probeMs: ReadonlyMap<string, number>,
    logs: readonly string[],
): number {
    const executions = readExecutions(logs);
    let lost = 0;
    let doubled = 0;
    console.log("service     requests       ok  unknown   p50 ms   p99 ms  p99.9 ms  probe ms/s");
    for (const [name, { latency, results }] of byService) {
        // A write in flight at the killed entry may have run. Its caller is told so, so it is unknown and not lost.
        const unknown = results.filter(result => result.outcome === "may-have-run" && result.call.method === "POST");
        const failed = results.filter(result => result.outcome !== "ok" && !unknown.includes(result));
        failed.slice(0, 3).forEach(result => console.log(`not ok: ${describeResult(result)}`));
        lost += failed.length;
        const writes = results.filter(result => result.call.method === "POST");
        doubled += writes.filter(result => (executions.byCall.get(result.call.name) ?? 0) > 1).length;
        const quantiles = [50, 99, 99.9].map(quantile => latency.getValueAtPercentile(quantile) / microsPerMs);
        const cells = [
            name.padEnd(10),
            String(results.length).padStart(9),
            String(results.length - failed.length - unknown.length).padStart(8),
            String(unknown.length).padStart(8),
            quantiles[0].toFixed(2).padStart(8),
            quantiles[1].toFixed(2).padStart(8),
            quantiles[2].toFixed(2).padStart(9),
            ((probeMs.get(name) ?? 0) / (runMs / 1000)).toFixed(2).padStart(11),
        ];
        console.log(cells.join(" "));
    }
    console.log(`lost: ${lost}, doubled writes: ${doubled}`);
    return lost === 0 && doubled === 0 ? 0 : 1;
}

process.exitCode = await main();
