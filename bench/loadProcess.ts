import fs from "node:fs";
import { Agent } from "undici";
import { SeededRandom } from "../src/core/random.js";
import { makeArrivals } from "./routingScenario.js";

/** Options of a load process; passed as JSON in the first argument. */
export interface LoadProcessOptions {
    readonly service: string;
    readonly entryAddresses: readonly string[];
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly seed: number;
    /** Wall-clock time of the first arrival, in milliseconds since the epoch; shared by all load processes. */
    readonly startAtEpochMs: number;
    /** File that gets the result as JSON. */
    readonly resultFile: string;
}

/** Measurements of a load process. */
export interface LoadResult {
    /** Scheduled time after the start, and latency, of each answered request. */
    readonly samples: readonly (readonly [atMs: number, latencyMs: number])[];
    readonly failures: Readonly<Record<string, number>>;
}

const maxSubmissions = 4;
const submissionTimeoutMs = 10_000;
const completionTimeoutMs = 10_000;
const options = JSON.parse(process.argv[2]) as LoadProcessOptions;
const agent = new Agent({ connect: { timeout: 500 }, connections: 512, pipelining: 1 });
const random = new SeededRandom(options.seed + 1);
const samples: [number, number][] = [];
const failures: Record<string, number> = {};
let openRequests = 0;

/** Sends a request, and sends it again to the next entry when an entry refuses or drops it. */
async function send(atMs: number): Promise<void> {
    const startedAtMs = performance.now();
    const firstIndex = random.nextInt(options.entryAddresses.length);
    let reason = "";
    for (let submissionIndex = 0; submissionIndex < maxSubmissions; submissionIndex++) {
        const address = options.entryAddresses[(firstIndex + submissionIndex) % options.entryAddresses.length];
        reason = await submit(address);
        if (reason === "") {
            samples.push([atMs, performance.now() - startedAtMs]);
            return;
        }
    }
    failures[reason] = (failures[reason] ?? 0) + 1;
}

async function submit(address: string): Promise<string> {
    try {
        const response = await agent.request({
            origin: `http://${address}`,
            method: "GET",
            path: `/services/${options.service}/quotes`,
            signal: AbortSignal.timeout(submissionTimeoutMs),
        });
        await response.body.text();
        return response.statusCode === 200 ? "" : String(response.statusCode);
    }
    catch (error) {
        return (error as Error).name;
    }
}

async function run(): Promise<void> {
    const fleet = { instances: 1, slots: 1 };
    const arrivals = makeArrivals(fleet, options.requestsPerSecond, options.durationMs, options.seed, 1000);
    const originMs = performance.now() + options.startAtEpochMs - Date.now();
    for (const { atMs } of arrivals) {
        const waitMs = originMs + atMs - performance.now();
        if (waitMs > 0) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        openRequests++;
        void send(atMs).finally(() => openRequests--);
    }
    const endAtMs = performance.now() + completionTimeoutMs;
    while (openRequests > 0 && performance.now() < endAtMs) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    failures.unanswered = openRequests;
    fs.writeFileSync(options.resultFile, JSON.stringify({ samples, failures } satisfies LoadResult));
    process.exit(0);
}

console.log("ready {}");
await run();
