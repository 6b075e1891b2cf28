import http from "node:http";
import type { Registry } from "prom-client";
import type { ListenAddress } from "../control/options.js";

/** Serves metrics in the Prometheus text format at `/metrics`. Rejects when it cannot listen on the address. */
export function serveMetrics({ host, port }: ListenAddress, registry: Registry): Promise<http.Server> {
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
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve(server));
    });
}
