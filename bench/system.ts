import { randomUUID } from "node:crypto";
import path from "node:path";
import { request } from "undici";
import type { EntryVm, Service } from "../src/catalogue/model.js";
import { ControlClient } from "../src/cli/controlClient.js";
import type { Member } from "../src/control/messages.js";
import type { Declarations } from "../src/control/operatorApi.js";
import { noQuorumProblem } from "../src/entry/core.js";
import { TcpRelay } from "../src/transport/relay.js";
import { availabilityZones, benchOperatorToken, benchRegion, benchSecret } from "./benchCatalogue.js";
import type { ControlProcessOptions } from "./controlProcess.js";
import { findFreePorts } from "./ports.js";
import type { BenchProcess, Processes } from "./processes.js";
import type { UpstreamProcessOptions } from "./upstream.js";

const servingTimeoutMs = 10_000;
const pollIntervalMs = 50;

/** Options of a benchmark system. */
export interface SystemOptions {
    readonly seed: number;
    readonly entries: number;
    readonly controls: number;
    readonly services: readonly Service[];
    /** Folder for execution logs and the data of the control VMs. */
    readonly folder: string;
    /** Puts a relay in front of the peer port of each entry and in front of each upstream. */
    readonly hasRelays?: boolean;
}

/** A relay in front of an upstream, and its address, which the upstream announces. */
export interface UpstreamRelay {
    readonly relay: TcpRelay;
    readonly address: string;
}

/** Control VMs, entries and simulated upstreams on loopback, each in its own process. */
export interface BenchSystem {
    readonly controls: readonly BenchProcess[];
    readonly entries: BenchProcess[];
    readonly entryAddresses: readonly string[];
    /** Relays in front of the entries' peer ports, by index of the entry; empty without relays. */
    readonly peerRelays: readonly TcpRelay[];
    /** Relays in front of upstreams, by id of the upstream; empty without relays. */
    readonly upstreamRelays: ReadonlyMap<string, UpstreamRelay>;
    /** Starts a stopped entry again. */
    startEntry(index: number): Promise<BenchProcess>;
    startUpstream(options: Omit<UpstreamProcessOptions, "entryAddresses" | "executionLog">): Promise<BenchProcess>;
    executionLogs(): readonly string[];
    /** Waits until every entry serves every service; rejects after 10 s. */
    waitUntilServing(services: readonly string[]): Promise<void>;
    closeRelays(): Promise<void>;
}

/** Starts control VMs and entries, and applies the catalogue. */
export async function startSystem(processes: Processes, options: SystemOptions): Promise<BenchSystem> {
    const ports = await findFreePorts(options.entries * 2);
    const peerRelays = options.hasRelays ? ports.filter((_port, index) => index % 2 === 1).map(makeRelay) : [];
    const relayPorts = await Promise.all(peerRelays.map(relay => relay.listen()));
    const entryVms = Array.from({ length: options.entries }, (_unused, index): EntryVm => ({
        id: `entry-${index + 1}`,
        region: benchRegion,
        availabilityZone: availabilityZones[index % availabilityZones.length],
        address: `127.0.0.1:${ports[index * 2]}`,
        peerAddress: `127.0.0.1:${relayPorts[index] ?? ports[index * 2 + 1]}`,
        state: "active",
    }));
    const controls = await startControls(processes, options);
    const entryAddresses = entryVms.map(vm => vm.address);
    const logs = new Set<string>();
    const upstreamRelays = new Map<string, UpstreamRelay>();
    const startEntry = (index: number) =>
        processes.start("entryProcess.js", entryVms[index].id, {
            id: entryVms[index].id,
            region: benchRegion,
            availabilityZone: entryVms[index].availabilityZone,
            port: ports[index * 2],
            peerPort: ports[index * 2 + 1],
            controlAddresses: controls.map(control => control.ready.peerAddress),
            clusterSecret: benchSecret,
            seed: options.seed * 100 + index,
        });
    const entries = await Promise.all(entryVms.map((_vm, index) => startEntry(index)));
    await applyDeclarations(controls.map(control => control.ready.address), options.services, entryVms);
    return {
        controls,
        entries,
        entryAddresses,
        startEntry,
        peerRelays,
        upstreamRelays,
        startUpstream: async upstream => {
            const executionLog = path.join(options.folder, `${upstream.id}-${upstream.incarnation}.log`);
            logs.add(executionLog);
            const relayOptions = options.hasRelays ? await placeBehindRelay(upstream.id, upstreamRelays) : {};
            return processes.start("upstream.js", upstream.id, {
                ...upstream,
                entryAddresses,
                executionLog,
                ...relayOptions,
            });
        },
        closeRelays: async () => {
            await Promise.all(
                [...peerRelays, ...[...upstreamRelays.values()].map(row => row.relay)].map(it => it.close()),
            );
        },
        executionLogs: () => [...logs],
        waitUntilServing: services => waitUntilServing(entryAddresses, services),
    };
}

function makeRelay(port: number): TcpRelay {
    return new TcpRelay("127.0.0.1", port);
}

/** Puts a relay in front of an upstream; the announced address, that of the relay, survives restarts. */
async function placeBehindRelay(
    id: string,
    relays: Map<string, UpstreamRelay>,
): Promise<Pick<UpstreamProcessOptions, "port" | "announcedAddress">> {
    const [port] = await findFreePorts(1);
    let upstreamRelay = relays.get(id);
    if (upstreamRelay === undefined) {
        const relay = makeRelay(port);
        upstreamRelay = { relay, address: `127.0.0.1:${await relay.listen()}` };
        relays.set(id, upstreamRelay);
    }
    upstreamRelay.relay.setTargetPort(port);
    return { port, announcedAddress: upstreamRelay.address };
}

async function startControls(processes: Processes, options: SystemOptions): Promise<readonly BenchProcess[]> {
    const ports = await findFreePorts(options.controls * 2);
    const members = Array.from({ length: options.controls }, (_unused, index): Member => ({
        id: `control-${index + 1}`,
        peerAddress: `127.0.0.1:${ports[index * 2 + 1]}`,
    }));
    return Promise.all(members.map((member, index) => {
        const processOptions: ControlProcessOptions = {
            id: member.id,
            availabilityZone: availabilityZones[index % availabilityZones.length],
            operatorPort: ports[index * 2],
            peerPort: ports[index * 2 + 1],
            members,
            dataFolder: path.join(options.folder, member.id),
            seed: options.seed * 100 + index,
        };
        return processes.start("controlProcess.js", member.id, processOptions);
    }));
}

/** Applies the catalogue through the operator API, as `figwharf catalogue apply` does. */
async function applyDeclarations(
    controlAddresses: readonly string[],
    services: readonly Service[],
    entryVms: readonly EntryVm[],
): Promise<void> {
    const client = new ControlClient({
        controlAddresses: [...controlAddresses],
        token: benchOperatorToken,
        totalTimeoutMs: servingTimeoutMs,
        callTimeoutMs: servingTimeoutMs,
    });
    await waitUntilAnswered(client, entryVms);
    const declarations: Declarations = { services, entryVms, runbookCommands: [] };
    const operation = { kind: "declare", declarations } as const;
    const answer = await client.apply({ changeId: randomUUID(), baseRevision: 0, operation });
    await client.close();
    if (answer.outcome !== "accepted" && answer.outcome !== "pending") {
        throw new Error(`the catalogue was not applied: ${answer.outcome}: ${answer.detail}`);
    }
    console.log(`catalogue applied: ${answer.outcome}, revision ${answer.revision}`);
}

/**
 * Waits until control has answered all entries. An entry whose first answer comes after the apply would treat the entry
 * list as older than its own start.
 */
async function waitUntilAnswered(client: ControlClient, entryVms: readonly EntryVm[]): Promise<void> {
    for (let isEveryEntryAnswered = false; !isEveryEntryAnswered;) {
        const { entries } = await client.status();
        const answered = entries.filter(entry => !entry.problems.includes(noQuorumProblem)).map(entry => entry.id);
        isEveryEntryAnswered = entryVms.every(vm => answered.includes(vm.id));
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}

async function waitUntilServing(entryAddresses: readonly string[], services: readonly string[]): Promise<void> {
    const endAtMs = performance.now() + servingTimeoutMs;
    for (const address of entryAddresses) {
        for (const service of services) {
            while (!await isServing(address, service)) {
                if (performance.now() > endAtMs) {
                    throw new Error(`${address} does not serve ${service} after ${servingTimeoutMs} ms`);
                }
                await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
            }
        }
    }
}

async function isServing(address: string, service: string): Promise<boolean> {
    try {
        const response = await request(`http://${address}/services/${service}/ready`);
        await response.body.dump();
        return response.statusCode === 200;
    }
    catch {
        return false;
    }
}
