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
            // Added before undici's own listener, which therefore sees the changed code.
            socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
                if (error.code === resetCode) {
                    error.code = reportedCode;
                }
            });
            callback(...result);
        });
    };
}
