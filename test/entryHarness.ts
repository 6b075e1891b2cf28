import { once } from "node:events";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { benchCatalogue, benchRegion, benchSecret, benchService } from "../bench/benchCatalogue.js";
import { FixedControl } from "../bench/fixedControl.js";
import type { Service } from "../src/catalogue/model.js";
import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { type RunningEntry, startEntry } from "../src/entry/daemon.js";
import { defaultEntryLimits, type EntryLimits } from "../src/entry/options.js";
import { createLogger, createMetrics } from "../src/wiring.js";

const pollIntervalMs = 10;
const maxPolls = 1000;
const renewIntervalMs = 500;

/** An in-process entry with one upstream for the service `orders`. */
export interface TestSystem {
    readonly entry: RunningEntry;
    readonly control: FixedControl;
    readonly upstream: http.Server;
    close(): Promise<void>;
}

/** Options of a test system. */
export interface TestSystemOptions {
    readonly limits?: Partial<EntryLimits>;
    readonly service?: Partial<Service>;
    readonly seed?: number;
}

/** Starts an entry and an upstream whose requests are handled by `handler`. */
export async function startTestSystem(
    handler: http.RequestListener,
    options: TestSystemOptions = {},
): Promise<TestSystem> {
    const service = benchService("orders", options.service);
    const control = new FixedControl(benchCatalogue(1, [service], []), benchSecret);
    const entry = await startEntry({
        id: "entry-1",
        region: benchRegion,
        availabilityZone: "az-1",
        listen: { host: "127.0.0.1", port: 0 },
        peerListen: { host: "127.0.0.1", port: 0 },
        controlAddresses: [await control.listen()],
        clusterSecret: benchSecret,
        limits: { ...defaultEntryLimits, ...options.limits },
        logger: createLogger("entry", { format: "json", level: "error" }, []),
        metrics: createMetrics(undefined, {}),
        clock: new SystemClock(),
        random: new SeededRandom(options.seed ?? 1),
    });
    const upstream = http.createServer(handler);
    const address = await listenOnLoopback(upstream);
    await waitUntil(async () => (await fetchEntries(entry.address)).length > 0);
    await announce(entry.address, address);
    let sequence = 1;
    const timer = setInterval(() => {
        void announce(entry.address, address, { sequence: ++sequence }).catch(() => undefined);
    }, renewIntervalMs);
    return {
        entry,
        control,
        upstream,
        close: async () => {
            clearInterval(timer);
            await entry.close();
            upstream.closeAllConnections();
            await new Promise(resolve => upstream.close(resolve));
            await control.close();
        },
    };
}

/** Announces an upstream of `orders` once. Returns the status of the response. */
export async function announce(entryAddress: string, address: string, overrides: object = {}): Promise<number> {
    const body = JSON.stringify({
        id: "orders-1",
        service: "orders",
        availabilityZone: "az-1",
        address,
        slots: 3,
        state: "ready",
        incarnation: 1,
        sequence: 1,
        leaseMs: 30_000,
        ...overrides,
    });
    const response = await fetch(`http://${entryAddress}/v1/upstreams`, { method: "POST", body });
    await response.text();
    return response.status;
}

/** Returns the entry addresses that an entry lists to callers. */
export async function fetchEntries(entryAddress: string): Promise<readonly string[]> {
    const response = await fetch(`http://${entryAddress}/v1/entries?service=orders`);
    const answer = await response.json() as { readonly entries?: readonly { readonly address: string; }[]; };
    return (answer.entries ?? []).map(entry => entry.address);
}

/** Listens on a free port of the loopback interface and returns the address. */
export async function listenOnLoopback(server: net.Server): Promise<string> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Bytes received over a raw connection. */
export interface RawExchange {
    readonly text: string;
    /** Whether the connection ended with a reset. */
    readonly isReset: boolean;
}

/** Sends bytes over a new connection and returns the received bytes once the entry closes it. */
export function exchangeRaw(address: string, bytes: string, onData: () => void = () => {}): Promise<RawExchange> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        let text = "";
        let isReset = false;
        const socket = net.connect(Number(port), host, () => socket.write(bytes, "latin1"));
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString("latin1");
            onData();
        });
        socket.on("error", (error: NodeJS.ErrnoException) => isReset = error.code === "ECONNRESET");
        socket.on("close", () => resolve({ text, isReset }));
    });
}

/** Polls until the condition is met. Throws after ten seconds. */
export async function waitUntil(isDone: () => boolean | Promise<boolean>): Promise<void> {
    for (let poll = 0; poll < maxPolls; poll++) {
        if (await isDone()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    throw new Error("timed out waiting for the condition");
}

/** Resolves with a port of the loopback address that nothing listens on. */
export async function findFreePort(): Promise<number> {
    const server = net.createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
