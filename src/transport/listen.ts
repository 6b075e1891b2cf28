import type net from "node:net";
import type { ListenAddress } from "../control/options.js";

/** Longest wait for a port that is still in use, such as by the process that this one replaces. */
const portReleaseTimeoutMs = 10_000;
const retryIntervalMs = 100;

/** Binds a server and resolves with the port. Rejects when the address cannot be bound, also not after a wait. */
export async function listenOn(
    server: net.Server,
    { host, port }: ListenAddress,
    timeoutMs = portReleaseTimeoutMs,
): Promise<number> {
    const untilMs = performance.now() + timeoutMs;
    while (true) {
        try {
            return await bind(server, host, port);
        }
        catch (error) {
            if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE" || performance.now() >= untilMs) {
                throw error;
            }
        }
        await new Promise(resolve => setTimeout(resolve, retryIntervalMs));
    }
}

function bind(server: net.Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        const onListening = () => {
            server.off("error", onError);
            resolve((server.address() as net.AddressInfo).port);
        };
        const onError = (error: Error) => {
            server.off("listening", onListening);
            reject(error);
        };
        server.once("listening", onListening).once("error", onError);
        server.listen(port, host);
    });
}
