import { Pool } from "undici";
import type { EntryLimits } from "./options.js";
import { createUpstreamConnector } from "./upstreamConnector.js";

/** Pools without a request for this long are closed. */
const unusedPoolMs = 60_000;

interface PoolRow {
    readonly pool: Pool;
    usedAtMs: number;
}

/** One pool of connections per upstream address. */
export class UpstreamPools {
    private readonly rows = new Map<string, PoolRow>();

    constructor(private readonly limits: EntryLimits) {}

    /** Returns the pool of an address (`host:port`). */
    use(address: string, nowMs: number): Pool {
        const row = this.rows.get(address) ?? this.open(address, nowMs);
        row.usedAtMs = nowMs;
        return row.pool;
    }

    /** Stops using the open connections of an address; requests in flight on them go on. */
    reset(address: string): void {
        const row = this.rows.get(address);
        this.rows.delete(address);
        void row?.pool.close().catch(() => undefined);
    }

    tick(nowMs: number): void {
        for (const [address, row] of this.rows) {
            if (nowMs - row.usedAtMs > unusedPoolMs) {
                this.reset(address);
            }
        }
    }

    async destroy(): Promise<void> {
        await Promise.all([...this.rows.values()].map(row => row.pool.destroy()));
        this.rows.clear();
    }

    private open(address: string, nowMs: number): PoolRow {
        const pool = new Pool(`http://${address}`, {
            connections: this.limits.connectionsPerUpstream,
            pipelining: 1,
            // A connection that has been idle for long may be silent; a new one costs less than finding that out.
            keepAliveTimeout: this.limits.upstreamIdleMs,
            keepAliveMaxTimeout: this.limits.upstreamIdleMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: createUpstreamConnector(this.limits.connectTimeoutMs),
        });
        const row = { pool, usedAtMs: nowMs };
        this.rows.set(address, row);
        return row;
    }
}
