import net from "node:net";
import { splitAddress } from "./addresses.js";

/** Resolves with whether the address (`host:port`) accepts a TCP connection within the timeout. */
export function checkConnection(address: string, timeoutMs: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = net.connect(splitAddress(address));
        const settle = (isAccepted: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isAccepted);
        };
        const timer = setTimeout(() => settle(false), timeoutMs);
        socket.on("connect", () => settle(true)).on("error", () => settle(false));
    });
}
