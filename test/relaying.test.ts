import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import http from "node:http";
import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { AttachedEntries } from "../src/directory/attachedEntries.js";
import { DirectoryMethod, type EntryReport, type WatchAnswer, type WatchParams } from "../src/directory/messages.js";
import type { Registration, Route, RouteTable } from "../src/directory/model.js";
import { RelayPeers } from "../src/directory/relayPeers.js";
import { makeRegistration, makeRoute, makeTable } from "../src/directory/testing.js";
import { defaultEntryLimits } from "../src/entry/options.js";
import { type RunningGateway, startGateway } from "../src/gateway/daemon.js";
import { TestDialect, TestUpstream, waitFor } from "../src/gateway/testing.js";
import { ChannelServer } from "../src/transport/channel.js";
import { TcpRelay } from "../src/transport/relay.js";
import { findFreePort } from "./entryHarness.js";

const secret = "secret";
const deadlineMs = 3000;
const clock = new SystemClock();

/** Directory of all entries; each entry sees the instances behind proxies of its own, which can be partitioned. */
class RelayingSystem {
    readonly attached = new AttachedEntries();
    readonly upstreams: TestUpstream[] = [];
    readonly entries: RelayingEntry[] = [];
    readonly relayPeers = new RelayPeers({
        listAttached: () => this.attached.listPeers(clock.monotonicMs()),
        listControlVms: () => [],
        links: { call: () => Promise.reject(new Error("there are no other control VMs")) },
        clock,
    });
    /** Table of routes; unless they are changed, requests must run at most once. */
    readonly table: RouteTable;

    /** `usedCount` is the number of instances of the service that callers use; the others belong to another one. */
    static async start(
        zones: readonly string[],
        canRelay: boolean,
        usedCount: number,
        route: Partial<Route>,
    ): Promise<RelayingSystem> {
        const system = new RelayingSystem(usedCount, route);
        for (let index = 0; index < 6; index++) {
            const upstream = new TestUpstream(`i-${index}`);
            system.upstreams.push(upstream);
            const address = await upstream.start();
            system.addresses.push(address);
        }
        for (const zone of zones) {
            system.entries.push(await RelayingEntry.start(system, zone, canRelay));
        }
        await waitFor(() => system.entries.every(entry => entry.gateway.isReady()));
        return system;
    }

    readonly addresses: string[] = [];
    /** Read by each entry when it stops. */
    readonly stop = { graceMs: 100, addressLifetimeMs: 50 };

    private constructor(readonly usedCount: number, route: Partial<Route>) {
        this.table = makeTable(1, [
            makeRoute({ isIdempotent: false, targetLatencyMs: 800, timeoutMs: 2500, ...route }),
        ]);
    }

    get runCount(): number {
        return this.upstreams.reduce((sum, upstream) => sum + upstream.receivedIds.length, 0);
    }

    async close(): Promise<void> {
        this.upstreams.forEach(upstream => upstream.close());
        await Promise.all(this.entries.map(entry => entry.close()));
    }
}

/** An entry with a control VM and proxies to the instances of its own. */
class RelayingEntry {
    readonly lines: { readonly text: string; readonly fields: Record<string, unknown>; }[] = [];
    readonly proxies: TcpRelay[] = [];
    /** Through which other entries reach this one. */
    peerProxy!: TcpRelay;
    gateway!: RunningGateway;
    lastReport: EntryReport | undefined;
    port = 0;
    private requestNumber = 0;
    private registrations: readonly Registration[] = [];
    private peerAddress: string | undefined;
    private readonly control: ChannelServer;

    static async start(system: RelayingSystem, zone: string, canRelay: boolean): Promise<RelayingEntry> {
        const entry = new RelayingEntry(system);
        const proxied = await Promise.all(system.addresses.map(async (address, index) => {
            const [host, port] = address.split(":");
            const proxy = new TcpRelay(host, Number(port));
            entry.proxies.push(proxy);
            return makeRegistration({
                id: system.upstreams[index].id,
                address: `127.0.0.1:${await proxy.listen()}`,
                availabilityZone: `az-${1 + index % 3}`,
                service: index < system.usedCount ? "orders" : "moulds",
            });
        }));
        entry.registrations = proxied;
        const controlPort = await entry.control.listen("127.0.0.1", 0);
        entry.port = await findFreePort();
        const write = (text: string, fields = {}) => entry.lines.push({ text, fields });
        entry.gateway = await startGateway({
            id: `edge-${entry.port}`,
            availabilityZone: zone,
            listen: { host: "127.0.0.1", port: entry.port },
            metricsListen: undefined,
            seeds: [`127.0.0.1:${controlPort}`],
            availabilityZoneCount: 3,
            region: "region-1",
            clusterSecret: secret,
            limits: { ...defaultEntryLimits, connectTimeoutMs: 400 },
            retries: { ratio: 1, slack: 100, windowMs: 10_000 },
            probesPerUpstreamSecond: 1000,
            stop: system.stop,
            canRelay,
            dialect: new TestDialect(),
            logger: { debug: write, info: write, warn: write, error: write },
            clock,
            random: new SeededRandom(entry.port),
        });
        // Listens after the gateway, whose port it could get otherwise.
        entry.peerProxy = new TcpRelay("127.0.0.1", entry.port);
        entry.peerAddress = `127.0.0.1:${await entry.peerProxy.listen()}`;
        return entry;
    }

    private constructor(private readonly system: RelayingSystem) {
        this.control = new ChannelServer(
            { selfId: "control", secret },
            (method, params) => this.answer(method, params),
        );
    }

    get isCutOff(): boolean {
        return this.lastReport?.isCutOff === true;
    }

    /** Sends a request that must not run twice; resolves with its status, or 0 when the connection broke. */
    async send(headers: Record<string, string> = {}): Promise<number> {
        const id = `${this.port}-${this.requestNumber++}`;
        const request = http.request({
            host: "127.0.0.1",
            port: this.port,
            path: "/stock/1",
            method: "POST",
            headers: { "Host": "shop.example", "Request-Id": id, "Deadline-Ms": String(deadlineMs), ...headers },
            agent: false,
        });
        request.end("body");
        try {
            const [response] = await once(request, "response") as [http.IncomingMessage];
            response.resume();
            await once(response, "end");
            return response.statusCode ?? 0;
        }
        catch {
            return 0;
        }
    }

    /** Sends requests until the entry has noticed its partition and one was served. */
    async sendUntilServed(): Promise<void> {
        let status = 0;
        while (!this.isCutOff || status !== 200) {
            status = await this.send();
        }
    }

    async close(): Promise<void> {
        await this.gateway.drain();
        await this.control.close();
        await Promise.all([...this.proxies, this.peerProxy].map(proxy => proxy.close()));
    }

    private async answer(method: string, params: unknown): Promise<WatchAnswer | undefined> {
        this.lastReport = method === DirectoryMethod.watch ? (params as WatchParams).entry : params as EntryReport;
        const attachedReport = { ...this.lastReport, address: this.peerAddress ?? this.lastReport.address };
        this.system.attached.recordReport(attachedReport, clock.monotonicMs());
        if (method !== DirectoryMethod.watch) {
            return undefined;
        }
        const { entry, version, wantsPeers, waitMs } = params as WatchParams;
        if (version === 1) {
            await new Promise(resolve => setTimeout(resolve, waitMs));
        }
        const { table } = this.system;
        const describedEntry = { ...entry, address: this.peerAddress ?? entry.address };
        return {
            isLed: true,
            delta: version === 1
                ? undefined
                : { version: 1, isFull: true, table, registrations: this.registrations, ended: [], nodes: [] },
            entryCount: 1,
            ...(wantsPeers === true ? { peers: await this.system.relayPeers.find(describedEntry) } : {}),
        };
    }
}

async function startSystem(
    t: ExecutionContext,
    zones: readonly string[],
    canRelay = true,
    usedCount = 6,
    route: Partial<Route> = {},
): Promise<RelayingSystem> {
    const system = await RelayingSystem.start(zones, canRelay, usedCount, route);
    t.teardown(() => system.close());
    // On a busy machine, load probes can time out at first.
    for (const entry of system.entries) {
        let status = 0;
        while (status !== 200) {
            status = await entry.send();
        }
    }
    return system;
}

/** Checks that entries that are cut off serve their callers, that nothing runs twice, and that they recover. */
async function checkRelaying(
    t: ExecutionContext,
    system: RelayingSystem,
    cutCount: number,
    partition: (proxy: TcpRelay) => void,
): Promise<void> {
    const cut = system.entries.slice(0, cutCount);
    cut.forEach(entry => entry.proxies.forEach(partition));
    await Promise.all(cut.map(entry => entry.sendUntilServed()));
    const runsBefore = system.runCount;
    const statuses = (await Promise.all(cut.map(async entry => {
        const results: number[] = [];
        for (let count = 0; count < 20; count++) {
            results.push(await entry.send());
        }
        return results;
    }))).flat();
    const served = statuses.filter(status => status === 200).length;
    t.log(`served ${served} of ${statuses.length}`);
    t.true(served >= 0.9 * statuses.length, statuses.join());
    t.true(system.runCount - runsBefore <= statuses.length, "at most one run for each request");
    t.true(system.entries.slice(cutCount).every(entry => !entry.isCutOff), "the others are not cut off");
    cut.forEach(entry => entry.proxies.forEach(proxy => proxy.restore()));
    await waitFor(() => cut.every(entry => !entry.isCutOff));
    const linesBefore = cut.map(entry => entry.lines.length);
    for (const [index, entry] of cut.entries()) {
        t.is(await entry.send(), 200);
        t.false(entry.lines.slice(linesBefore[index]).some(line => line.text === "relayed"), "relaying has ended");
    }
    const ids = system.upstreams.flatMap(upstream => upstream.receivedIds);
    t.is(new Set(ids).size, ids.length, "no request ran twice");
}

const partitions: readonly { readonly name: string; readonly partition: (proxy: TcpRelay) => void; }[] = [
    { name: "connections hang", partition: proxy => proxy.blackhole("both", true) },
    { name: "connections are reset and refused", partition: proxy => proxy.cut() },
];

for (const { name, partition } of partitions) {
    test.serial(`guards against an entry that serves nothing while it is cut off: ${name}`, async t => {
        await checkRelaying(t, await startSystem(t, ["az-1", "az-2", "az-3"]), 1, partition);
    });

    test.serial(`guards against entries that serve nothing while most of a zone is cut off: ${name}`, async t => {
        await checkRelaying(t, await startSystem(t, ["az-1", "az-1", "az-1", "az-2"]), 2, partition);
    });

    test.serial(`guards against entries that serve nothing while a whole zone is cut off: ${name}`, async t => {
        await checkRelaying(t, await startSystem(t, ["az-1", "az-1", "az-2"]), 2, partition);
    });
}

for (const usedCount of [1, 2]) {
    test.serial(`guards against an entry that never notices a partition as its callers use few instances: ${usedCount}`, async t => {
        const system = await startSystem(t, ["az-1", "az-2", "az-3"], true, usedCount);
        await checkRelaying(t, system, 1, proxy => proxy.blackhole("both", true));
    });
}

test.serial("guards against refusals while only new connections are refused", async t => {
    const system = await startSystem(t, ["az-1", "az-2", "az-3"]);
    const [entry] = system.entries;
    entry.proxies.forEach(proxy => proxy.refuseNew());
    const sendBurst = () => Promise.all(Array.from({ length: 8 }, () => entry.send()));
    while (!entry.isCutOff) {
        await sendBurst();
    }
    const statuses = [...await sendBurst(), ...await sendBurst(), ...await sendBurst()];
    const served = statuses.filter(status => status === 200).length;
    t.log(`served ${served} of ${statuses.length}`);
    t.true(served >= 0.9 * statuses.length, statuses.join());
    entry.proxies.forEach(proxy => proxy.restore());
    await waitFor(() => !entry.isCutOff);
});

test.serial("guards against a false alarm when two thirds of the instances have crashed", async t => {
    const system = await startSystem(t, ["az-1", "az-2"]);
    system.upstreams.slice(0, 4).forEach(upstream => upstream.close());
    const [entry] = system.entries;
    for (let count = 0; count < 30; count++) {
        await entry.send();
    }
    t.false(entry.lines.some(line => line.text === "reachability of the instances changed"));
    t.false(entry.isCutOff);
});

test.serial("guards against endless relaying when all entries are cut off, and against forged tokens", async t => {
    const system = await startSystem(t, ["az-1", "az-2"]);
    system.entries.forEach(entry => entry.proxies.forEach(proxy => proxy.cut()));
    for (const entry of system.entries) {
        while (!entry.isCutOff) {
            await entry.send();
        }
    }
    const statuses = await Promise.all(system.entries.map(entry => entry.send()));
    t.deepEqual(statuses, [503, 503]);
    const [entry] = system.entries;
    t.is(await entry.send({ Relay: "1.forged.token" }), 503, "handled like a caller's own request");
    t.true(entry.lines.some(line => line.text === "ignored an invalid relay token"));
});

test.serial("guards against relaying by an entry that is not configured for it", async t => {
    const system = await startSystem(t, ["az-1", "az-2"], false);
    const [entry] = system.entries;
    entry.proxies.forEach(proxy => proxy.cut());
    for (let count = 0; count < 5; count++) {
        t.is(await entry.send(), 503);
    }
    t.false(entry.lines.some(line => line.text === "relayed"));
    t.false("isCutOff" in (entry.lastReport ?? {}));
});

const brokenAnswers: readonly {
    readonly name: string;
    readonly part: string;
    readonly isReset: boolean;
    readonly statuses: readonly number[];
}[] = [
    { name: "a head that stops", part: "Content-Le", isReset: false, statuses: [502] },
    { name: "a head that is reset", part: "Content-Le", isReset: true, statuses: [502] },
    {
        name: "a body without a length that is reset",
        part: "Connection: close\r\n\r\nhell",
        isReset: true,
        statuses: [0, 502],
    },
    {
        name: "a chunk that stops",
        part: "Transfer-Encoding: chunked\r\n\r\n9\r\nhell",
        isReset: false,
        statuses: [0, 502],
    },
];

for (const { name, part, isReset, statuses } of brokenAnswers) {
    test.serial(`guards against a part of a response that looks whole through two entries: ${name}`, async t => {
        const system = await startSystem(t, ["az-1", "az-2", "az-3"]);
        const [entry] = system.entries;
        entry.proxies.forEach(proxy => proxy.cut());
        await entry.sendUntilServed();
        for (const upstream of system.upstreams) {
            upstream.answer = (request, { socket }) => {
                const id = String(request.headers["request-id"]);
                socket?.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${part}`, () => {
                    setTimeout(() => isReset ? socket.resetAndDestroy() : socket.end(), 20);
                });
            };
        }
        const runsBefore = system.runCount;
        let status = 503;
        // On a busy machine, load probes can time out, and the request is refused.
        while (status === 503) {
            status = await entry.send();
        }
        t.true(statuses.includes(status), String(status));
        t.is(system.runCount - runsBefore, 1);
    });
}

test.serial("guards against more attempts than the route allows when a peer is lost after it has made some", async t => {
    const route = { isIdempotent: true, maxAttempts: 2 };
    const system = await startSystem(t, ["az-1", "az-2", "az-3"], true, 6, route);
    const [entry, ...peers] = system.entries;
    entry.proxies.forEach(proxy => proxy.cut());
    await entry.sendUntilServed();
    // Requests allow retries.
    for (const peer of peers) {
        await Promise.all(Array.from({ length: 5 }, () => peer.send()));
    }
    const runsBefore = system.runCount;
    for (const upstream of system.upstreams) {
        upstream.answer = (_request, response) => {
            const runs = system.runCount - runsBefore;
            if (runs === 1) {
                response.socket?.resetAndDestroy();
            }
            else if (runs === 2) {
                peers.forEach(({ peerProxy }) => peerProxy.cut());
                peers.forEach(({ peerProxy }) => peerProxy.restore());
            }
            else {
                response.end("done");
            }
        };
    }
    let status = 503;
    // On a busy machine, load probes can time out, and the request is refused.
    while (status === 503) {
        status = await entry.send();
    }
    t.is(system.runCount - runsBefore, 2);
    t.is(status, 502);
});

test("guards against a relayed request that a stopping peer accepts and then cuts off", async t => {
    const system = await startSystem(t, ["az-1", "az-2", "az-3"]);
    const [cut, stopping] = system.entries;
    cut.proxies.forEach(proxy => proxy.cut());
    await cut.sendUntilServed();
    // Less than the timeout of the route remains, but the peer listens all the time.
    Object.assign(system.stop, { graceMs: 2500, addressLifetimeMs: 2000 });
    const drained = stopping.gateway.drain();
    const linesBefore = stopping.lines.length;
    const statuses: number[] = [];
    for (let count = 0; count < 20; count++) {
        statuses.push(await cut.send());
    }
    t.false(statuses.includes(0), statuses.join());
    t.true(statuses.filter(status => status === 200).length >= 18, statuses.join());
    t.false(stopping.lines.slice(linesBefore).some(({ text }) => text === "placed"), "the peer passes none on");
    t.is(await stopping.send(), 503, "it refuses its own callers as well");
    await drained;
    Object.assign(system.stop, { graceMs: 100, addressLifetimeMs: 50 });
});
