import type { Socket } from "node:net";
import { buildConnector } from "undici";

/**
 * undici takes the reset of a connection for the end of a response that has no length, and so a part of it for the
 * whole. It does so only for this code; with another one the response ends with an error.
 */
const resetCode = "ECONNRESET";
const reportedCode = "UPSTREAM_RESET";

/** Returns how undici opens connections to upstreams. `timeoutMs` bounds the time to connect. */
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

/** Makes each reset of a connection an error of the socket, also one that reads as the end of the stream. */
export function reportResets(socket: Socket): void {
    // Added before undici's own listener, which therefore sees the changed code.
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
 * The system reports a reset once; when another call has taken the report, reading returns the end of the stream. A
 * connection that the other side has ended still has an address there, one that was reset has none.
 */
function isConnected(socket: Socket): boolean {
    return socket.remoteAddress !== undefined;
}
