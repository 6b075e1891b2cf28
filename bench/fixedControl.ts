import type { Catalogue } from "../src/catalogue/model.js";
import type { ConfigSyncAnswer, ConfigSyncParams } from "../src/control/operatorApi.js";
import { ChannelServer } from "../src/transport/channel.js";

/** Serves one catalogue to entries, for benchmarks that measure the request path alone. */
export class FixedControl {
    private readonly server: ChannelServer;

    constructor(private catalogue: Catalogue, secret: string) {
        this.server = new ChannelServer(
            { selfId: "fixed-control", secret },
            (_method, params) => this.answer(params as ConfigSyncParams),
        );
    }

    /** Listens and returns the address. */
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
