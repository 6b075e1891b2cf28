import { randomBytes } from "node:crypto";
import { ControlError } from "../core/errors.js";
import { ControlStore } from "../storage/controlStore.js";
import { FileDisk } from "../storage/fileDisk.js";
import { ChannelServer } from "../transport/channel.js";
import type { CatalogueHost } from "./catalogueHost.js";
import { CatalogueService } from "./catalogueService.js";
import { CatalogueState } from "./catalogueState.js";
import { EntryTable } from "./entryTable.js";
import { Formation, FormationMethod } from "./formation.js";
import type { Member } from "./messages.js";
import type { ConfigSyncParams } from "./operatorApi.js";
import { type ForwardedCall, operateMethod, OperatorGate } from "./operatorGate.js";
import { OperatorServer } from "./operatorServer.js";
import type { ControlDaemon, ControlOptions } from "./options.js";
import { type AddressedMessage, messageMethod, PeerLinks } from "./peerLinks.js";
import { ReplicaHost } from "./replicaHost.js";

const identityBytes = 6;
const housekeepingMs = 1000;

/** Parts of a running control VM. */
interface ControlParts {
    readonly entries: EntryTable;
    readonly host: CatalogueHost;
    readonly service: CatalogueService;
    readonly gate: OperatorGate;
    readonly links: PeerLinks;
    readonly peers: ChannelServer;
    formation: Formation | undefined;
}

/** Starts a control VM. Rejects with StorageError when its data folder is damaged. */
export async function startControl(options: ControlOptions): Promise<ControlDaemon> {
    let parts: ControlParts | undefined;
    const operators = new OperatorServer(options.operatorTokens, async (method, params, caller) => {
        if (parts === undefined) {
            throw new ControlError("leader-unknown");
        }
        return parts.gate.answer(method, params, caller);
    });
    // The port is taken before the data folder is opened, so that a second process does not write to it.
    const operatorPort = await operators.listen(options.operatorListen);
    const close = async () => {
        await operators.close();
        await closeParts(parts);
    };
    try {
        parts = makeParts(options, close);
        const { host, port } = options.peerListen;
        const peerPort = await parts.peers.listen(host, port);
        const timer = setInterval(() => keepHouse(options, parts), housekeepingMs);
        parts.formation = makeFormation(options, parts, peerPort);
        parts.formation.start().catch((error: Error) => options.logger.error(error.message));
        options.logger.info("control VM started", { id: parts.host.selfId, peerPort, operatorPort });
        return {
            operatorPort,
            peerPort,
            close: () => Promise.all([clearInterval(timer), close()]).then(noResult),
        };
    }
    catch (error) {
        await close();
        throw error;
    }
}

function keepHouse({ clock }: ControlOptions, parts: ControlParts | undefined): void {
    parts?.entries.forgetSilent(clock.monotonicMs());
    parts?.service.observeTime();
}

function noResult(): void {
    // Closing has no result.
}

function makeParts(options: ControlOptions, close: () => Promise<void>): ControlParts {
    const { clock, random, logger } = options;
    const store = new ControlStore(new FileDisk(options.dataFolder));
    const selfId = store.openIdentity(() => `${options.id}.${randomBytes(identityBytes).toString("hex")}`);
    const channelOptions = { selfId, secret: options.clusterSecret };
    const links = new PeerLinks(channelOptions);
    const onFailed = (error: Error) => {
        const report = options.onFailed ?? (() => process.exit(1));
        close().then(() => report(error), () => report(error));
    };
    const machine = new CatalogueState();
    const host: CatalogueHost = new ReplicaHost({ selfId, machine, store, links, clock, random, logger, onFailed });
    const entries = new EntryTable();
    const service = new CatalogueService(host, entries, clock);
    const gate = new OperatorGate(host, service, links);
    const peers = new ChannelServer(channelOptions, (method, params, from) => answerPeer(parts, method, params, from));
    const parts: ControlParts = { entries, host, service, gate, links, peers, formation: undefined };
    return parts;
}

function answerPeer(parts: ControlParts, method: string, params: unknown, from: string): unknown {
    const addressed = params as AddressedMessage;
    switch (method) {
        case messageMethod:
            if (addressed.to === parts.host.selfId) {
                parts.host.submit({ kind: "message", from, message: addressed.message });
            }
            return undefined;
        case "config.sync":
            return parts.service.sync({ ...params as ConfigSyncParams, entryId: from });
        case operateMethod:
            return parts.gate.answerForwarded(params as ForwardedCall);
        case FormationMethod.hello:
        case FormationMethod.join:
            return parts.formation?.answer(method, { ...params as Member, id: from });
        default:
            throw new ControlError("method-unknown", { method });
    }
}

function makeFormation(options: ControlOptions, parts: ControlParts, peerPort: number): Formation {
    const { members, id, peerListen } = options;
    const peerAddress = members.find(member => member.id === id)?.peerAddress ?? `${peerListen.host}:${peerPort}`;
    const others = members.filter(member => member.id !== id);
    const isFirst = others.every(member => id < member.id);
    return new Formation(parts.host, parts.links, { id: parts.host.selfId, peerAddress }, others, isFirst);
}

async function closeParts(parts: ControlParts | undefined): Promise<void> {
    parts?.formation?.close();
    parts?.host.close();
    parts?.links.close();
    await parts?.peers.close();
}
