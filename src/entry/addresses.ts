import type { ListenAddress } from "./options.js";

/** Splits `host:port`. */
export function splitAddress(address: string): ListenAddress {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
    return { host, port: Number(address.slice(separator + 1)) };
}
