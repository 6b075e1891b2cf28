import { Pool } from "undici";
import type { EntryLimits } from "./options.js";
import { createUpstreamConnector } from "./upstreamConnector.js";

/** Time without a request after which a pool is closed. */
const idlePoolTimeoutMs = 60_000;

interface TrackedPool {
    readonly pool: Pool;
    lastUsedAtMs: number;
}

/** Connection pools, one per upstream address. */
export class UpstreamPools {
    private readonly poolsByAddress = new Map<string, TrackedPool>();

    constructor(private readonly limits: EntryLimits) {}

    /** Returns the pool of an address (`host:port`); opens it if there is none. */
    getPool(address: string, nowMs: number): Pool {
        const tracked = this.poolsByAddress.get(address) ?? this.open(address, nowMs);
        tracked.lastUsedAtMs = nowMs;
        return tracked.pool;
    }

    /** Discards the open connections of an address; requests in flight on them continue. */
    reset(address: string): void {
        const tracked = this.poolsByAddress.get(address);
        this.poolsByAddress.delete(address);
        void tracked?.pool.close().catch(() => undefined);
    }

    tick(nowMs: number): void {
        for (const [address, tracked] of this.poolsByAddress) {
            if (nowMs - tracked.lastUsedAtMs > idlePoolTimeoutMs) {
                this.reset(address);
            }
        }
    }

    async destroy(): Promise<void> {
        await Promise.all([...this.poolsByAddress.values()].map(tracked => tracked.pool.destroy()));
        this.poolsByAddress.clear();
    }

    private open(address: string, nowMs: number): TrackedPool {
        const pool = new Pool(`http://${address}`, {
            connections: this.limits.connectionsPerUpstream,
            pipelining: 1,
            // A connection that has been idle for long may be dead; opening a new one costs less than detecting that.
            keepAliveTimeout: this.limits.upstreamIdleMs,
            keepAliveMaxTimeout: this.limits.upstreamIdleMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: createUpstreamConnector(this.limits.connectTimeoutMs),
        });
        const tracked = { pool, lastUsedAtMs: nowMs };
        this.poolsByAddress.set(address, tracked);
        return tracked;
    }
}
