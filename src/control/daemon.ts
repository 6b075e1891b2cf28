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
import { type ForwardedCall, operateMethod, OperatorForwarder } from "./operatorForwarder.js";
import { OperatorServer } from "./operatorServer.js";
import type { ControlDaemon, ControlOptions } from "./options.js";
import { type AddressedMessage, messageMethod, PeerLinks } from "./peerLinks.js";
import { ReplicaHost } from "./replicaHost.js";

const identityBytes = 6;
const maintenanceIntervalMs = 1000;

/** Components of a running control VM. */
interface ControlComponents {
    readonly entries: EntryTable;
    readonly host: CatalogueHost;
    readonly service: CatalogueService;
    readonly forwarder: OperatorForwarder;
    readonly links: PeerLinks;
    readonly peerServer: ChannelServer;
    formation: Formation | undefined;
}

/** Starts a control VM. Rejects with StorageError when its data folder is damaged or cannot be read or written. */
export async function startControl(options: ControlOptions): Promise<ControlDaemon> {
    let components: ControlComponents | undefined;
    const operatorServer = new OperatorServer(options.operatorTokens, async (method, params, caller) => {
        if (components === undefined) {
            throw new ControlError("leader-unknown");
        }
        return components.forwarder.answer(method, params, caller);
    });
    // The port is bound before the data folder is opened, so that a second process does not write to the folder.
    const operatorPort = await operatorServer.listen(options.operatorListen);
    const close = async () => {
        await operatorServer.close();
        await closeComponents(components);
    };
    try {
        components = makeComponents(options, close);
        const { host, port } = options.peerListen;
        const peerPort = await components.peerServer.listen(host, port);
        const timer = setInterval(() => runMaintenance(options, components), maintenanceIntervalMs);
        components.formation = makeFormation(options, components, peerPort);
        components.formation.start().catch((error: Error) => options.logger.error(error.message));
        options.logger.info("control VM started", { id: components.host.selfId, peerPort, operatorPort });
        return {
            operatorPort,
            peerPort,
            close: () => Promise.all([clearInterval(timer), close()]).then(discardResult),
        };
    }
    catch (error) {
        await close();
        throw error;
    }
}

function runMaintenance({ clock }: ControlOptions, components: ControlComponents | undefined): void {
    components?.entries.removeStale(clock.monotonicMs());
    components?.service.observeTime();
}

function discardResult(): void {
    // Reduces the result of Promise.all to void.
}

function makeComponents(options: ControlOptions, close: () => Promise<void>): ControlComponents {
    const { clock, random, logger } = options;
    const store = new ControlStore(new FileDisk(options.dataFolder));
    const selfId = store.openIdentity(() => `${options.id}.${randomBytes(identityBytes).toString("hex")}`);
    const channelOptions = { selfId, secret: options.clusterSecret };
    const links = new PeerLinks(channelOptions);
    const onFailed = (error: Error) => {
        const notifyFailure = options.onFailed ?? (() => process.exit(1));
        close().then(() => notifyFailure(error), () => notifyFailure(error));
    };
    const machine = new CatalogueState();
    const host: CatalogueHost = new ReplicaHost({ selfId, machine, store, links, clock, random, logger, onFailed });
    const entries = new EntryTable();
    const service = new CatalogueService(host, entries, clock);
    const forwarder = new OperatorForwarder(host, service, links);
    const peerServer = new ChannelServer(
        channelOptions,
        (method, params, from) => answerPeer(components, method, params, from),
    );
    const components: ControlComponents = {
        entries,
        host,
        service,
        forwarder,
        links,
        peerServer,
        formation: undefined,
    };
    return components;
}

function answerPeer(components: ControlComponents, method: string, params: unknown, from: string): unknown {
    const addressed = params as AddressedMessage;
    switch (method) {
        case messageMethod:
            if (addressed.to === components.host.selfId) {
                components.host.submit({ kind: "message", from, message: addressed.message });
            }
            return undefined;
        case "config.sync":
            return components.service.sync({ ...params as ConfigSyncParams, entryId: from });
        case operateMethod:
            return components.forwarder.answerForwarded(params as ForwardedCall);
        case FormationMethod.hello:
        case FormationMethod.join:
            return components.formation?.answer(method, { ...params as Member, id: from });
        default:
            throw new ControlError("method-unknown", { method });
    }
}

function makeFormation(options: ControlOptions, components: ControlComponents, peerPort: number): Formation {
    const { members, id, peerListen } = options;
    const peerAddress = members.find(member => member.id === id)?.peerAddress ?? `${peerListen.host}:${peerPort}`;
    const others = members.filter(member => member.id !== id);
    const isFirst = others.every(member => id < member.id);
    return new Formation(
        components.host,
        components.links,
        { id: components.host.selfId, peerAddress },
        others,
        isFirst,
    );
}

async function closeComponents(components: ControlComponents | undefined): Promise<void> {
    components?.formation?.close();
    components?.host.close();
    components?.links.close();
    await components?.peerServer.close();
}
