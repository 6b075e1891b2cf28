import net from "node:net";

/** Which bytes a relay withholds on its existing connections. */
export const SwallowDirection = {
    none: "none",
    toTarget: "to-target",
    fromTarget: "from-target",
    both: "both",
} as const;

export type SwallowDirection = typeof SwallowDirection[keyof typeof SwallowDirection];

/** One connection through the relay; its sockets are named by the side they lead to. */
interface RelayedPair {
    readonly client: net.Socket;
    readonly target: net.Socket;
    swallowed: SwallowDirection;
}

/** TCP relay for tests and benchmarks that injects faults between two processes. */
export class TcpRelay {
    /** Bytes forwarded in both directions. */
    forwardedBytes = 0;
    private readonly server: net.Server;
    private readonly pairs = new Set<RelayedPair>();
    private isCut = false;
    private delayMs = 0;
    private newSwallowed: SwallowDirection = SwallowDirection.none;

    constructor(private readonly targetHost: string, private targetPort: number) {
        this.server = net.createServer({ allowHalfOpen: true }, client => this.accept(client));
    }

    /** Listens and returns the port; port 0 picks a free one. */
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

    /**
     * Withholds bytes on existing connections without closing them. New connections work, unless `alsoNew` is set.
     * Withheld bytes are lost: a connection that was swallowed never carries data in that direction again.
     */
    swallow(direction: SwallowDirection = SwallowDirection.both, alsoNew = false): void {
        this.pairs.forEach(pair => pair.swallowed = combine(pair.swallowed, direction));
        this.newSwallowed = alsoNew ? direction : SwallowDirection.none;
    }

    /** Delays bytes in both directions; 0 stops delaying. */
    delay(durationMs: number): void {
        this.delayMs = durationMs;
    }

    /** Ends `cut`, `delay` and the swallowing of new connections. */
    restore(): void {
        this.isCut = false;
        this.delayMs = 0;
        this.newSwallowed = SwallowDirection.none;
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
        const pair: RelayedPair = { client, target, swallowed: this.newSwallowed };
        this.pairs.add(pair);
        this.pump(pair, client, target, SwallowDirection.toTarget);
        this.pump(pair, target, client, SwallowDirection.fromTarget);
    }

    private pump(pair: RelayedPair, from: net.Socket, to: net.Socket, direction: SwallowDirection): void {
        from.setNoDelay(true);
        from.on("data", chunk => this.deliver(pair, direction, () => this.write(from, to, chunk)));
        from.on("end", () => this.deliver(pair, direction, () => to.end()));
        from.on("error", () => this.destroy(pair));
        from.on("close", hadError => this.finish(pair, from, to, hadError));
    }

    private deliver(pair: RelayedPair, direction: SwallowDirection, action: () => void): void {
        if (isSwallowed(pair.swallowed, direction)) {
            return;
        }
        if (this.delayMs === 0) {
            action();
        }
        else {
            setTimeout(() => !isSwallowed(pair.swallowed, direction) && action(), this.delayMs);
        }
    }

    private write(from: net.Socket, to: net.Socket, chunk: Buffer): void {
        this.forwardedBytes += chunk.length;
        if (!to.destroyed && !to.write(chunk)) {
            from.pause();
            to.once("drain", () => from.resume());
        }
    }

    private finish(pair: RelayedPair, from: net.Socket, to: net.Socket, hadError: boolean): void {
        if (hadError || !from.readableEnded) {
            this.destroy(pair);
        }
        if (from.destroyed && to.destroyed) {
            this.pairs.delete(pair);
        }
    }

    private destroy(pair: RelayedPair): void {
        pair.client.destroy();
        pair.target.destroy();
        this.pairs.delete(pair);
    }

    private destroyAll(): void {
        [...this.pairs].forEach(pair => this.destroy(pair));
    }
}

function isSwallowed(swallowed: SwallowDirection, direction: SwallowDirection): boolean {
    return swallowed === SwallowDirection.both || swallowed === direction;
}

function combine(first: SwallowDirection, second: SwallowDirection): SwallowDirection {
    if (first === SwallowDirection.none || first === second) {
        return second;
    }
    return second === SwallowDirection.none ? first : SwallowDirection.both;
}
