import { Client, type Dispatcher } from "undici";
import type { EntryLimits } from "../entry/options.js";
import { createUpstreamConnector } from "../entry/upstreamConnector.js";

/** A connection to an upstream that one user has at a time. */
export interface LeasedConnection {
    readonly dispatcher: Dispatcher;
    /** Gives the connection back for the next user. */
    release(): void;
    /** Closes the connection; what may still arrive on it belongs to nobody. */
    discard(): void;
}

interface AddressRow {
    /** Connections without a user, the one used last at the end. */
    readonly idle: Client[];
    leased: number;
    usedAtMs: number;
}

/** Addresses without a use for this long are forgotten. */
const unusedAddressMs = 30_000;

/**
 * Connections to upstreams, one user each. A request goes out on the connection on which the upstream has just answered
 * for its load, so that it does not meet a connection that is closed or silent.
 */
export class UpstreamConnections {
    private readonly rows = new Map<string, AddressRow>();

    constructor(
        private readonly limits: Pick<EntryLimits, "upstreamIdleMs" | "connectTimeoutMs" | "connectionsPerUpstream">,
    ) {}

    /** Returns the connection to `address` (`host:port`) that was used last, or a new one; undefined at the limit. */
    lease(address: string, nowMs: number): LeasedConnection | undefined {
        const row = this.rows.get(address) ?? { idle: [], leased: 0, usedAtMs: nowMs };
        this.rows.set(address, row);
        row.usedAtMs = nowMs;
        if (row.leased >= this.limits.connectionsPerUpstream) {
            return undefined;
        }
        row.leased++;
        const client = row.idle.pop() ?? this.open(address);
        let isLeased = true;
        const giveBack = (isReusable: boolean) => {
            if (!isLeased) {
                return;
            }
            isLeased = false;
            row.leased--;
            if (isReusable && !client.destroyed) {
                row.idle.push(client);
            }
            else {
                destroy(client);
            }
        };
        return { dispatcher: client, release: () => giveBack(true), discard: () => giveBack(false) };
    }

    /** Returns whether a connection to an address waits for its next user. */
    hasIdle(address: string): boolean {
        return (this.rows.get(address)?.idle.length ?? 0) > 0;
    }

    /** Forgets addresses that are not used any more. */
    tick(nowMs: number): void {
        for (const [address, row] of this.rows) {
            if (row.leased === 0 && nowMs - row.usedAtMs > unusedAddressMs) {
                row.idle.forEach(destroy);
                this.rows.delete(address);
            }
        }
    }

    private open(address: string): Client {
        const { upstreamIdleMs, connectTimeoutMs } = this.limits;
        return new Client(`http://${address}`, {
            pipelining: 1,
            keepAliveTimeout: upstreamIdleMs,
            keepAliveMaxTimeout: upstreamIdleMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: createUpstreamConnector(connectTimeoutMs),
        });
    }
}

function destroy(client: Client): void {
    // A connection that is given up can only fail to close because it is closed already.
    client.destroy().catch(() => undefined);
}
