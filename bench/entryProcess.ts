import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { startEntry } from "../src/entry/daemon.js";
import { defaultEntryLimits, type EntryLimits } from "../src/entry/options.js";
import { createLogger, createMetrics } from "../src/wiring.js";

/** Options of an entry process; passed as JSON in the first argument. */
export interface EntryProcessOptions {
    readonly id: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly port: number;
    readonly peerPort: number;
    readonly controlAddresses: readonly string[];
    readonly clusterSecret: string;
    readonly seed: number;
    readonly limits?: Partial<EntryLimits>;
}

const options = JSON.parse(process.argv[2]) as EntryProcessOptions;
const entry = await startEntry({
    id: options.id,
    region: options.region,
    availabilityZone: options.availabilityZone,
    listen: { host: "127.0.0.1", port: options.port },
    peerListen: { host: "127.0.0.1", port: options.peerPort },
    controlAddresses: options.controlAddresses,
    clusterSecret: options.clusterSecret,
    limits: { ...defaultEntryLimits, ...options.limits },
    // Standard output carries the ready line only.
    logger: createLogger("entry", { format: "json", level: "error" }, []),
    metrics: createMetrics(undefined, {}),
    clock: new SystemClock(),
    random: new SeededRandom(options.seed),
});
process.on("SIGTERM", () => void entry.drain().then(() => process.exit(0)));
console.log(`ready ${JSON.stringify({ address: entry.address, peerAddress: entry.peerAddress })}`);
