import { StatsD } from "hot-shots";
import { randomInt } from "node:crypto";
import { Writable } from "node:stream";
import { type ILogObj, Logger } from "tslog";
import { startControl } from "./control/daemon.js";
import type { ControlDaemon, ControlOptions } from "./control/options.js";
import { SystemClock } from "./core/clock.js";
import { SeededRandom } from "./core/random.js";
import { type RunningEntry, startEntry } from "./entry/daemon.js";
import type { EntryOptions, ListenAddress } from "./entry/options.js";
import type { LoadedControlSettings, LoadedEntrySettings } from "./settings/load.js";
import type { LogSettings, MetricsSettings } from "./settings/schemas.js";

const maxSeed = 2 ** 31;
/** Metrics are batched in datagrams of up to this size, which fits an Ethernet frame. */
const maxDatagramBytes = 1400;
const secretKeys = ["clusterSecret", "token", "authorization"];

/** Creates the logger of a daemon. Secrets are masked by key and wherever their values occur in a text. */
export function createLogger(
    name: string,
    { format, level }: LogSettings,
    secrets: readonly string[],
): Logger<ILogObj> {
    return new Logger({
        name,
        type: format,
        minLevel: level.toUpperCase() as "DEBUG" | "INFO" | "WARN" | "ERROR",
        mask: { keys: secretKeys, regex: secrets.map(toLiteralPattern) },
        stack: { capture: "off" },
    });
}

/** Creates the metrics client of a daemon; without settings, it discards all metrics. */
export function createMetrics(settings: MetricsSettings | undefined, tags: Record<string, string>): StatsD {
    const common = { globalTags: tags, includeDataDogTags: false, originDetection: false };
    if (settings === undefined) {
        // The library's mock client is not used because it keeps every metric in memory.
        return new StatsD({ ...common, protocol: "stream", stream: createSink() });
    }
    // Lost metrics are not logged; without a handler the library would throw.
    const errorHandler = () => undefined;
    const { host, port } = toListenAddress(settings.address);
    return new StatsD({
        ...common,
        host,
        port,
        prefix: settings.prefix,
        maxBufferSize: maxDatagramBytes,
        errorHandler,
    });
}

/** Returns the options of an entry from its settings. */
export function createEntryOptions(settings: LoadedEntrySettings): EntryOptions {
    const { id, region, availabilityZone, controlAddresses, clusterSecret, limits } = settings;
    return {
        id,
        region,
        availabilityZone,
        controlAddresses,
        clusterSecret,
        limits,
        listen: toListenAddress(settings.listen),
        peerListen: toListenAddress(settings.peerListen),
        logger: createLogger("entry", settings.log, [clusterSecret]),
        metrics: createMetrics(settings.metrics, { entry: id, region, availabilityZone }),
        clock: new SystemClock(),
        random: new SeededRandom(randomInt(maxSeed)),
    };
}

/** Starts an entry that drains on SIGTERM and SIGINT and then exits the process with status 0. */
export async function runEntry(settings: LoadedEntrySettings): Promise<RunningEntry> {
    const entry = await startEntry(createEntryOptions(settings));
    onStopSignal(() => entry.drain());
    return entry;
}

/** Returns the options of a control VM from its settings. */
export function createControlOptions(settings: LoadedControlSettings): ControlOptions {
    const { id, region, availabilityZone, members, dataFolder, clusterSecret, operatorTokens } = settings;
    return {
        id,
        region,
        availabilityZone,
        members,
        dataFolder,
        clusterSecret,
        operatorTokens,
        operatorListen: toListenAddress(settings.operatorListen),
        peerListen: toListenAddress(settings.peerListen),
        logger: createLogger("control", settings.log, [clusterSecret, ...operatorTokens.map(row => row.token)]),
        clock: new SystemClock(),
        random: new SeededRandom(randomInt(maxSeed)),
    };
}

/** Starts a control VM that stops on SIGTERM and SIGINT and then exits the process with status 0. */
export async function runControl(settings: LoadedControlSettings): Promise<ControlDaemon> {
    const control = await startControl(createControlOptions(settings));
    onStopSignal(() => control.close());
    return control;
}

function onStopSignal(stop: () => Promise<void>): void {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => void stop().then(() => process.exit(0)));
    }
}

function toListenAddress(address: string): ListenAddress {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function toLiteralPattern(secret: string): RegExp {
    return new RegExp(secret.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
}

function createSink(): Writable {
    return new Writable({ write: (_chunk, _encoding, done) => done() });
}
