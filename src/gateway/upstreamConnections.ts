import { Client, type Dispatcher } from "undici";
import type { EntryLimits } from "../entry/options.js";
import { createUpstreamConnector } from "../entry/upstreamConnector.js";

/** Exclusive lease of a connection to an upstream. */
export interface LeasedConnection {
    readonly dispatcher: Dispatcher;
    /** Returns the connection to the pool. */
    release(): void;
    /** Closes the connection; used when stray bytes may still arrive on it. */
    discard(): void;
}

interface AddressPool {
    /** Connections that are not leased; the most recently used is last. */
    readonly idle: Client[];
    leasedCount: number;
    lastLeasedAtMs: number;
}

/** The pool of an address is closed after this time without a lease. */
const unusedPoolTtlMs = 30_000;

/**
 * Pools of exclusively leased connections to upstreams. A request is sent on the connection of a load probe that was
 * just answered, so it does not get a closed or dead connection.
 */
export class UpstreamConnections {
    private readonly poolsByAddress = new Map<string, AddressPool>();

    constructor(
        private readonly limits: Pick<EntryLimits, "upstreamIdleMs" | "connectTimeoutMs" | "connectionsPerUpstream">,
    ) {}

    /**
     * Leases the last used connection to `address` (`host:port`) or a new one; undefined at the connection limit. Idle
     * connections are closed instead of leased if none was leased for `maxUnusedMs`.
     */
    lease(address: string, nowMs: number, maxUnusedMs = Infinity): LeasedConnection | undefined {
        const addressPool = this.poolsByAddress.get(address) ?? { idle: [], leasedCount: 0, lastLeasedAtMs: nowMs };
        this.poolsByAddress.set(address, addressPool);
        if (nowMs - addressPool.lastLeasedAtMs > maxUnusedMs) {
            addressPool.idle.splice(0).forEach(destroy);
        }
        addressPool.lastLeasedAtMs = nowMs;
        if (addressPool.leasedCount >= this.limits.connectionsPerUpstream) {
            return undefined;
        }
        addressPool.leasedCount++;
        const client = addressPool.idle.pop() ?? this.open(address);
        let isLeased = true;
        const returnLease = (isReusable: boolean) => {
            if (!isLeased) {
                return;
            }
            isLeased = false;
            addressPool.leasedCount--;
            if (isReusable && !client.destroyed) {
                addressPool.idle.push(client);
            }
            else {
                destroy(client);
            }
        };
        return { dispatcher: client, release: () => returnLease(true), discard: () => returnLease(false) };
    }

    /** Returns whether an idle connection to an address exists. */
    hasIdle(address: string): boolean {
        return (this.poolsByAddress.get(address)?.idle.length ?? 0) > 0;
    }

    /** Closes the pools without a recent lease. */
    closeUnusedPools(nowMs: number): void {
        for (const [address, addressPool] of this.poolsByAddress) {
            if (addressPool.leasedCount === 0 && nowMs - addressPool.lastLeasedAtMs > unusedPoolTtlMs) {
                addressPool.idle.forEach(destroy);
                this.poolsByAddress.delete(address);
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
    // Closing can only fail when the connection is already closed.
    client.destroy().catch(() => undefined);
}
