import http from "node:http";
import type { Registry } from "prom-client";
import type { ControlLogger, ListenAddress } from "../control/options.js";
import { listenOn } from "../transport/listen.js";

/**
 * Serves metrics in the Prometheus text format at `/metrics`. The process works without them, so that an address that
 * cannot be bound is only logged.
 */
export function serveMetrics(address: ListenAddress, registry: Registry, logger: Pick<ControlLogger, "error">): void {
    const server = http.createServer((request, response) => {
        if (request.url?.split("?")[0] !== "/metrics") {
            response.writeHead(404, { "Content-Length": 0 }).end();
            return;
        }
        registry.metrics().then(
            text => response.writeHead(200, { "Content-Type": registry.contentType }).end(text),
            (error: Error) => response.writeHead(500).end(error.message),
        );
    });
    listenOn(server, address).catch((error: Error) => {
        logger.error("metrics are not served", { ...address, reason: error.message });
    });
}
