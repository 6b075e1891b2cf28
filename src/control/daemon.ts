import { ChannelServer } from "../transport/channel.js";
import { CatalogueService } from "./catalogueService.js";
import { EntryTable } from "./entryTable.js";
import type { ConfigSyncParams } from "./operatorApi.js";
import { OperatorServer } from "./operatorServer.js";
import type { ControlDaemon, ControlOptions } from "./options.js";
import { SoleLog } from "./soleLog.js";

/** Starts a control VM. */
export async function startControl(options: ControlOptions): Promise<ControlDaemon> {
    const { clock, logger } = options;
    const entries = new EntryTable();
    const log = new SoleLog(options.id);
    const service = new CatalogueService(log, entries, clock);
    const channelOptions = { selfId: log.selfId, secret: options.clusterSecret };
    const peers = new ChannelServer(channelOptions, (method, params, from) => {
        if (method !== "config.sync") {
            throw new Error(`there is no method ${method}`);
        }
        return service.sync({ ...params as ConfigSyncParams, entryId: from });
    });
    const operators = new OperatorServer(
        options.operatorTokens,
        (method, params, caller) => service.answer(method, params, caller),
    );
    const peerPort = await peers.listen(options.peerListen.host, options.peerListen.port);
    const operatorPort = await operators.listen(options.operatorListen);
    logger.info("control VM started", { id: options.id, peerPort, operatorPort });
    return {
        operatorPort,
        peerPort,
        close: async () => {
            await operators.close();
            await peers.close();
        },
    };
}
