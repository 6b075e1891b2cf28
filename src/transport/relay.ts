import net from "node:net";

const msPerSecond = 1000;

/** Direction in which a relay silently discards bytes. */
export const BlackholeDirection = {
    none: "none",
    toTarget: "to-target",
    fromTarget: "from-target",
    both: "both",
} as const;

export type BlackholeDirection = typeof BlackholeDirection[keyof typeof BlackholeDirection];

/** One connection through the relay, with its sockets to the client and to the target. */
interface RelayedConnection {
    readonly client: net.Socket;
    readonly target: net.Socket;
    blackholed: BlackholeDirection;
}

/** TCP relay for tests and benchmarks that injects faults between two processes. */
export class TcpRelay {
    /** Bytes forwarded in both directions. */
    forwardedBytes = 0;
    private readonly server: net.Server;
    private readonly relayedConnections = new Set<RelayedConnection>();
    private isCut = false;
    private delayMs = 0;
    private bytesPerSecond = Infinity;
    private newConnectionBlackhole: BlackholeDirection = BlackholeDirection.none;

    constructor(private readonly targetHost: string, private targetPort: number) {
        this.server = net.createServer({ allowHalfOpen: true }, client => this.accept(client));
    }

    /** Starts listening and resolves with the port; port 0 picks a free one. */
    listen(host = "127.0.0.1", port = 0): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve((this.server.address() as net.AddressInfo).port));
        });
    }

    /** Forwards new connections to another port. */
    setTargetPort(port: number): void {
        this.targetPort = port;
    }

    /** Destroys all connections and refuses new ones until `restore`. */
    cut(): void {
        this.isCut = true;
        this.destroyAll();
    }

    /** Refuses new connections until `restore`; existing ones keep working. */
    refuseNew(): void {
        this.isCut = true;
    }

    /**
     * Discards bytes on existing connections without closing them. New connections work, unless `includesNew` is set.
     * Discarded bytes are lost: an affected connection never carries data in that direction again.
     */
    blackhole(direction: BlackholeDirection = BlackholeDirection.both, includesNew = false): void {
        this.relayedConnections.forEach(relayed =>
            relayed.blackholed = combineDirections(relayed.blackholed, direction)
        );
        this.newConnectionBlackhole = includesNew ? direction : BlackholeDirection.none;
    }

    /** Delays bytes in both directions; 0 stops delaying. */
    delay(durationMs: number): void {
        this.delayMs = durationMs;
    }

    /** Limits the rate of each connection in each direction; Infinity ends the limit. */
    throttle(bytesPerSecond: number): void {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Ends `cut`, `delay`, `throttle` and the discarding of bytes on new connections. */
    restore(): void {
        this.isCut = false;
        this.delayMs = 0;
        this.bytesPerSecond = Infinity;
        this.newConnectionBlackhole = BlackholeDirection.none;
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.destroyAll();
        await closed;
    }

    private accept(client: net.Socket): void {
        client.on("error", () => client.destroy());
        if (this.isCut) {
            client.destroy();
            return;
        }
        const target = net.connect({ host: this.targetHost, port: this.targetPort, allowHalfOpen: true });
        const relayed: RelayedConnection = { client, target, blackholed: this.newConnectionBlackhole };
        this.relayedConnections.add(relayed);
        this.pump(relayed, client, target, BlackholeDirection.toTarget);
        this.pump(relayed, target, client, BlackholeDirection.fromTarget);
    }

    private pump(relayed: RelayedConnection, from: net.Socket, to: net.Socket, direction: BlackholeDirection): void {
        from.setNoDelay(true);
        from.on("data", chunk => this.forwardUnlessBlackholed(relayed, direction, () => this.write(from, to, chunk)));
        from.on("end", () => this.forwardUnlessBlackholed(relayed, direction, () => to.end()));
        from.on("error", () => {
            // A close would end a response without a length as if it were complete.
            to.resetAndDestroy();
            this.destroy(relayed);
        });
        from.on("close", hadError => this.onSideClosed(relayed, from, to, hadError));
    }

    private forwardUnlessBlackholed(
        relayed: RelayedConnection,
        direction: BlackholeDirection,
        action: () => void,
    ): void {
        if (isBlackholed(relayed.blackholed, direction)) {
            return;
        }
        if (this.delayMs === 0) {
            action();
        }
        else {
            setTimeout(() => !isBlackholed(relayed.blackholed, direction) && action(), this.delayMs);
        }
    }

    private write(from: net.Socket, to: net.Socket, chunk: Buffer): void {
        this.forwardedBytes += chunk.length;
        if (to.destroyed) {
            return;
        }
        const isFull = !to.write(chunk);
        if (Number.isFinite(this.bytesPerSecond)) {
            from.pause();
            setTimeout(() => from.resume(), chunk.length / this.bytesPerSecond * msPerSecond);
        }
        else if (isFull) {
            from.pause();
            to.once("drain", () => from.resume());
        }
    }

    private onSideClosed(relayed: RelayedConnection, from: net.Socket, to: net.Socket, hadError: boolean): void {
        if (hadError || !from.readableEnded) {
            this.destroy(relayed);
        }
        if (from.destroyed && to.destroyed) {
            this.relayedConnections.delete(relayed);
        }
    }

    private destroy(relayed: RelayedConnection): void {
        relayed.client.destroy();
        relayed.target.destroy();
        this.relayedConnections.delete(relayed);
    }

    private destroyAll(): void {
        [...this.relayedConnections].forEach(relayed => this.destroy(relayed));
    }
}

function isBlackholed(blackholed: BlackholeDirection, direction: BlackholeDirection): boolean {
    return blackholed === BlackholeDirection.both || blackholed === direction;
}

function combineDirections(first: BlackholeDirection, second: BlackholeDirection): BlackholeDirection {
    if (first === BlackholeDirection.none || first === second) {
        return second;
    }
    return second === BlackholeDirection.none ? first : BlackholeDirection.both;
}
