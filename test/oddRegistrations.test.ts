import test from "ava";
import http from "node:http";
import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { DirectoryMethod, type WatchAnswer, type WatchParams } from "../src/directory/messages.js";
import type { Registration } from "../src/directory/model.js";
import { makeRegistration, makeRoute, makeTable } from "../src/directory/testing.js";
import { defaultEntryLimits } from "../src/entry/options.js";
import { startGateway } from "../src/gateway/daemon.js";
import { TestDialect, TestUpstream, waitFor } from "../src/gateway/testing.js";
import { ChannelServer } from "../src/transport/channel.js";
import { findFreePort } from "./entryHarness.js";

const secret = "secret";
const table = makeTable(1, [makeRoute({ targetLatencyMs: 20_000, timeoutMs: 30_000 })]);

async function sendRequest(port: number, id: number): Promise<number> {
    return new Promise((resolve, reject) => {
        http.get({
            host: "127.0.0.1",
            port,
            path: "/stock/1",
            headers: { "Host": "shop.example", "Request-Id": `r-${id}`, "Deadline-Ms": "30000" },
            agent: false,
        }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        }).on("error", reject);
    });
}

const oddRegistrations: readonly (Partial<Registration> & { readonly name: string; })[] = [
    { name: "a port out of range", address: "127.0.0.1:70000" },
    { name: "port 0", address: "127.0.0.1:0" },
    { name: "an address with a number out of range", address: "999.1.1.1:80" },
    { name: "an address that is none", address: "nobody" },
    { name: "an endless warmup", warmupMs: Infinity },
    { name: "endless slots", slots: Infinity },
    { name: "no address", address: undefined },
    { name: "slots of another type", slots: "3" as never },
];

for (const { name, ...overrides } of oddRegistrations) {
    test.serial(`guards against an entry that ends or serves nothing as one instance is odd: ${name}`, async t => {
        const upstream = new TestUpstream("i-1");
        const address = await upstream.start();
        const registrations = [
            makeRegistration({ id: "i-odd", address: "127.0.0.1:9", ...overrides }),
            makeRegistration({ id: "i-1", address }),
        ];
        const delta = { version: 1, isFull: true, table, registrations, ended: [], nodes: [] };
        const control = new ChannelServer({ selfId: "control", secret }, async (method, params) => {
            if (method !== DirectoryMethod.watch) {
                return undefined;
            }
            const { version, waitMs } = params as WatchParams;
            await new Promise(resolve => setTimeout(resolve, version === 1 ? waitMs : 0));
            const isKnown = version === 1;
            return { isLed: true, delta: isKnown ? undefined : delta, entryCount: 1 } satisfies WatchAnswer;
        });
        const controlPort = await control.listen("127.0.0.1", 0);
        const port = await findFreePort();
        const logger = { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 };
        const gateway = await startGateway({
            id: "edge-1",
            availabilityZone: "az-1",
            region: "region-1",
            listen: { host: "127.0.0.1", port },
            metricsListen: undefined,
            seeds: [`127.0.0.1:${controlPort}`],
            availabilityZoneCount: 1,
            clusterSecret: secret,
            limits: defaultEntryLimits,
            retries: { ratio: 1, slack: 100, windowMs: 10_000 },
            probesPerUpstreamSecond: 1000,
            stop: { graceMs: 100, addressLifetimeMs: 50 },
            canRelay: true,
            dialect: new TestDialect(),
            logger,
            clock: new SystemClock(),
            random: new SeededRandom(1),
        });
        t.teardown(async () => {
            await gateway.drain();
            await control.close();
            upstream.close();
        });
        await waitFor(() => gateway.isReady());
        const statuses: number[] = [];
        for (let id = 0; id < 10; id++) {
            statuses.push(await sendRequest(port, id));
        }
        t.deepEqual(statuses, Array.from({ length: 10 }, () => 200));
    });
}
