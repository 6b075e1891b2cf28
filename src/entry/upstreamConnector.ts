import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * undici treats this code as the end of a response without a length, and so a truncated response as complete. With any
 * other code the response ends with an error.
 */
const resetCode = "ECONNRESET";
const reportedCode = "UPSTREAM_RESET";

/** Returns the connector with which undici opens connections to upstreams. `timeoutMs` limits the time to connect. */
export function createUpstreamConnector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs, noDelay: true });
    return (options, callback) => {
        connect(options, (...result) => {
            const [, socket] = result;
            if (socket) {
                reportResets(socket);
            }
            callback(...result);
        });
    };
}

/** Turns each connection reset into an error of the socket, even when it appears as the end of the stream. */
export function reportResets(socket: Socket): void {
    // Runs before undici's own listener, which then sees the changed code.
    socket.prependListener("error", (error: NodeJS.ErrnoException) => {
        if (error.code === resetCode) {
            error.code = reportedCode;
        }
    });
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean;
    socket.emit = (event: string | symbol, ...values: unknown[]) => {
        if (event === "end" && !isConnected(socket)) {
            socket.destroy(Object.assign(new Error("the connection was reset"), { code: reportedCode }));
            return false;
        }
        return emit(event, ...values);
    };
}

/**
 * The kernel reports a reset only once; if another system call consumed it, reading returns the end of the stream. A
 * connection that the peer ended still has a remote address, a reset connection has none.
 */
function isConnected(socket: Socket): boolean {
    return socket.remoteAddress !== undefined;
}
