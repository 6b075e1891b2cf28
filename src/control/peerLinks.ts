import type { ControlVmId } from "../core/ids.js";
import { ChannelClient, type ChannelOptions } from "../transport/channel.js";
import type { Member, ReplicationMessage } from "./messages.js";

/** Channel method for messages between replicas. */
export const messageMethod = "replication.message";

/** Parameters of `replication.message`. A VM with another identity at the same address drops the message. */
export interface AddressedMessage {
    readonly to: ControlVmId;
    readonly message: ReplicationMessage;
}

/** Channels to the other control VMs, by peer address. */
export class PeerLinks {
    private readonly clients = new Map<string, ChannelClient>();
    private readonly addresses = new Map<ControlVmId, string>();

    constructor(private readonly options: ChannelOptions) {}

    /** Records the peer address of a VM. */
    recordAddress(member: Member): void {
        this.addresses.set(member.id, member.peerAddress);
    }

    /** Returns the peer address of a VM. */
    addressOf(id: ControlVmId): string | undefined {
        return this.addresses.get(id);
    }

    /** Returns whether the channel to an address is connected; opens a channel if there is none. */
    isConnected(address: string): boolean {
        return this.client(address).isConnected();
    }

    /** Sends a message; it is dropped when there is no connection. */
    send(to: ControlVmId, message: ReplicationMessage): void {
        const address = this.addresses.get(to);
        if (address !== undefined) {
            this.client(address).notify(messageMethod, { to, message } satisfies AddressedMessage);
        }
    }

    /** Calls a method at an address. Rejects with ChannelError or the other side's error. */
    call(address: string, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
        return this.client(address).call(method, params, timeoutMs);
    }

    /** Opens channels to all known VMs, so that the first message does not wait for a connection. */
    connectAll(): void {
        [...this.addresses].filter(([id]) => id !== this.options.selfId).forEach(([, address]) => this.client(address));
    }

    /** Sends a notification to an address; it is dropped when there is no connection. */
    notify(address: string, method: string, params: unknown): void {
        this.client(address).notify(method, params);
    }

    close(): void {
        this.clients.forEach(client => client.close());
    }

    private client(address: string): ChannelClient {
        const existingClient = this.clients.get(address);
        const client = existingClient ?? new ChannelClient(address, this.options);
        this.clients.set(address, client);
        return client;
    }
}
