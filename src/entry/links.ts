import type { ConfigSyncAnswer, ConfigSyncParams } from "../control/operatorApi.js";
import type { EntryId } from "../core/ids.js";
import { ChannelClient, type ChannelOptions } from "../transport/channel.js";
import type { PeerMessage } from "./messages.js";

const syncTimeoutMs = 700;

/** Channels to the other entries, opened as their addresses become known. */
export class PeerLinks {
    private readonly clients = new Map<EntryId, ChannelClient>();

    constructor(private readonly options: ChannelOptions) {}

    /** Opens a channel, or replaces it when the address has changed. */
    setAddress(id: EntryId, peerAddress: string): void {
        const client = this.clients.get(id);
        if (id === this.options.selfId || client?.address === peerAddress) {
            return;
        }
        client?.close();
        this.clients.set(id, new ChannelClient(peerAddress, this.options));
    }

    /** Sends a message; it is dropped while disconnected. */
    send(to: EntryId, message: PeerMessage): void {
        const { method, params, correlationId } = message;
        this.clients.get(to)?.notify(method, { params, correlationId });
    }

    close(): void {
        this.clients.forEach(client => client.close());
    }
}

/** Returns the peer message that another entry sent with `PeerLinks.send`. */
export function toPeerMessage(method: string, envelope: unknown): PeerMessage {
    const { params, correlationId } = envelope as { readonly params: unknown; readonly correlationId?: string; };
    return { method, params, ...(correlationId === undefined ? {} : { correlationId }) };
}

/** Channels to the control VMs; one is used at a time. */
export class ControlLinks {
    private readonly clients: readonly ChannelClient[];
    private currentIndex = 0;
    private isSyncing = false;

    constructor(addresses: readonly string[], options: ChannelOptions) {
        this.clients = addresses.map(address => new ChannelClient(address, options));
    }

    /**
     * Syncs with the selected control VM. Returns undefined during another sync and on failure. After a failure or an
     * answer without the confirmation of a quorum, another control VM is selected.
     */
    async sync(params: ConfigSyncParams): Promise<ConfigSyncAnswer | undefined> {
        const client = this.clients.at(this.currentIndex);
        if (client === undefined || this.isSyncing) {
            return undefined;
        }
        this.isSyncing = true;
        try {
            const answer = await client.call("config.sync", params, syncTimeoutMs) as ConfigSyncAnswer;
            if (!answer.isQuorumConfirmed) {
                this.switchTo(answer.leaderAddress);
            }
            return answer;
        }
        catch {
            this.switchTo(undefined);
            return undefined;
        }
        finally {
            this.isSyncing = false;
        }
    }

    close(): void {
        this.clients.forEach(client => client.close());
    }

    private switchTo(address: string | undefined): void {
        const index = this.clients.findIndex(client => client.address === address);
        this.currentIndex = index >= 0 ? index : (this.currentIndex + 1) % this.clients.length;
    }
}
