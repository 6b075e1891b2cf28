import type { Catalogue } from "../src/catalogue/model.js";
import type { ConfigSyncAnswer, ConfigSyncParams } from "../src/control/operatorApi.js";
import { ChannelServer } from "../src/transport/channel.js";

/** Stub of the control plane that serves a given catalogue to entries, for benchmarks and tests without control VMs. */
export class FixedControl {
    private readonly server: ChannelServer;

    constructor(private catalogue: Catalogue, secret: string) {
        this.server = new ChannelServer(
            { selfId: "fixed-control", secret },
            (_method, params) => this.answer(params as ConfigSyncParams),
        );
    }

    /** Listens on a free port of the loopback interface and returns `host:port`. */
    async listen(): Promise<string> {
        return `127.0.0.1:${await this.server.listen("127.0.0.1", 0)}`;
    }

    setCatalogue(catalogue: Catalogue): void {
        this.catalogue = catalogue;
    }

    close(): Promise<void> {
        return this.server.close();
    }

    private answer(params: ConfigSyncParams): ConfigSyncAnswer {
        const { revision } = this.catalogue;
        return {
            isQuorumConfirmed: true,
            revision,
            catalogue: params.revision < revision ? this.catalogue : undefined,
            leaderAddress: undefined,
        };
    }
}
