import { build, type Histogram } from "hdr-histogram-js";
import fs from "node:fs";
import { Pool } from "undici";
import { availabilityZones, benchCatalogue, benchRegion, benchSecret, benchService } from "./benchCatalogue.js";
import { FixedControl } from "./fixedControl.js";
import { Processes } from "./processes.js";

const seed = Number(process.env.SEED ?? 1);
const callers = 64;
const upstreams = 4;
const slotsPerUpstream = 32;
const meanServiceMs = 20;
const warmUpMs = 2000;
const runMs = 15_000;
const targetAddedP99Ms = 1.6;
const microsPerMs = 1000;
const msPerTick = 10;

interface PathMeasurement {
    readonly through: Histogram;
    readonly direct: Histogram;
    failed: number;
}

/** Compares the latency through one entry with direct latency, from pairs of requests in one run. */
async function main(): Promise<void> {
    const processes = new Processes();
    const catalogue = benchCatalogue(1, [benchService("orders")], []);
    const control = new FixedControl(catalogue, benchSecret);
    try {
        const entry = await processes.start("entryProcess.js", "entry-1", {
            id: "entry-1",
            region: benchRegion,
            availabilityZone: availabilityZones[0],
            port: 0,
            peerPort: 0,
            controlAddresses: [await control.listen()],
            clusterSecret: benchSecret,
            seed,
        });
        const upstreamProcesses = await Promise.all(
            Array.from({ length: upstreams }, (_unused, index) =>
                processes.start("upstream.js", `orders-${index}`, {
                    service: "orders",
                    id: `orders-${index}`,
                    availabilityZone: availabilityZones[0],
                    slots: slotsPerUpstream,
                    meanServiceMs,
                    seed: seed * 1000 + index,
                    entryAddresses: [entry.ready.address],
                    incarnation: 1,
                })),
        );
        await new Promise(resolve => setTimeout(resolve, 1000));
        const cpuMsBefore = readCpuMs(entry.pid);
        const measured = await measure(entry.ready.address, upstreamProcesses.map(upstream => upstream.ready.address));
        report(measured, readCpuMs(entry.pid) - cpuMsBefore);
    }
    finally {
        await processes.stopAll();
        await control.close();
    }
}

async function measure(entryAddress: string, upstreamAddresses: readonly string[]): Promise<PathMeasurement> {
    const options = { connections: callers, pipelining: 1 };
    const entryPool = new Pool(`http://${entryAddress}`, options);
    const upstreamPools = upstreamAddresses.map(address => new Pool(`http://${address}`, options));
    const measured: PathMeasurement = { through: makeHistogram(), direct: makeHistogram(), failed: 0 };
    const startAtMs = performance.now() + warmUpMs;
    const endAtMs = startAtMs + runMs;
    await Promise.all(Array.from({ length: callers }, async (_unused, caller) => {
        for (let number = 0; performance.now() < endAtMs; number++) {
            const isMeasured = performance.now() >= startAtMs;
            const throughMs = await timeRequest(entryPool, "/services/orders/quote", measured);
            const pool = upstreamPools[(caller + number) % upstreamPools.length];
            const directMs = await timeRequest(pool, "/quote", measured);
            if (isMeasured && throughMs !== undefined && directMs !== undefined) {
                measured.through.recordValue(throughMs * microsPerMs);
                measured.direct.recordValue(directMs * microsPerMs);
            }
        }
    }));
    await Promise.all([entryPool.close(), ...upstreamPools.map(pool => pool.close())]);
    return measured;
}

async function timeRequest(pool: Pool, path: string, measured: PathMeasurement): Promise<number | undefined> {
    const startedAtMs = performance.now();
    try {
        const response = await pool.request({ method: "GET", path });
        const text = await response.body.text();
        if (response.statusCode === 200 && text.endsWith(`"end":true}`)) {
            return performance.now() - startedAtMs - readServiceMs(response.headers);
        }
    }
    catch {
        // Counted as failed below.
    }
    measured.failed++;
    return undefined;
}

/** Returns the service time that the upstream reports; its random variation would hide the latency of the entry. */
function readServiceMs(headers: Readonly<Record<string, string | string[] | undefined>>): number {
    return Number(headers["bench-service-ms"] ?? 0);
}

/** Returns the CPU time that a process has used, from `/proc`, which counts in ticks of 10 ms. */
function readCpuMs(pid: number): number {
    const fields = fs.readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    const [userTicks, systemTicks] = fields.slice(11, 13).map(Number);
    return (userTicks + systemTicks) * msPerTick;
}

function makeHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

function report(measured: PathMeasurement, entryCpuMs: number): void {
    const { through, direct, failed } = measured;
    const quantiles = [50, 90, 99, 99.9];
    console.log(
        `bench:path seed=${seed} callers=${callers} service time ${meanServiceMs} ms, measured for ${runMs} ms`,
    );
    console.log("latency without the upstream's own service time, in ms");
    console.log("quantile  through   direct    added");
    for (const quantile of quantiles) {
        const throughMs = through.getValueAtPercentile(quantile) / microsPerMs;
        const directMs = direct.getValueAtPercentile(quantile) / microsPerMs;
        const cells = [throughMs, directMs, throughMs - directMs].map(value => value.toFixed(3).padStart(8));
        console.log(`p${String(quantile).padEnd(7)} ${cells.join(" ")}`);
    }
    const rate = Math.round(through.totalCount / runMs * 1000);
    console.log(`requests: ${through.totalCount} pairs, ${rate}/s through the entry, failed: ${failed}`);
    const cpuShare = entryCpuMs / (warmUpMs + runMs);
    console.log(`processor time of the entry: ${(cpuShare * 100).toFixed(0)}% of a core, warm-up included`);
    const addedP99Ms = (through.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / microsPerMs;
    const isMet = addedP99Ms <= targetAddedP99Ms && failed === 0;
    console.log(
        `target: ${targetAddedP99Ms} ms added at p99; measured ${addedP99Ms.toFixed(3)} ms: ${
            isMet ? "met" : "MISSED"
        }`,
    );
    process.exitCode = isMet ? 0 : 1;
}

await main();
