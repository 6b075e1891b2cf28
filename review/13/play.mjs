import path from "node:path";
import { fileURLToPath } from "node:url";
import { newId, nowMs, request, runCase, sleep, startSmall } from "../lib-3/kit.mjs";

const host = "orders.example";
const coreCount = 3;
const entryCount = 2;
const ordersCount = 4;
const calmMs = 4000;
const playMs = 45_000;
const intervalMs = 100;

function makeRoute(name, pathPrefix, service) {
    return { name, routeType: "idempotent", targetLatency: "400ms", priority: 1, match: { pathPrefix },
        action: { service, timeout: "1500ms", maxAttempts: 2 } };
}

const config = {
    listeners: [{ host, rules: [makeRoute("stock", "/stock/", "orders"), makeRoute("pattern", "/pattern/", "moulds")] }],
    clusters: ["orders", "moulds"].map(name =>
        ({ name, healthCheckPath: "/healthz", maxConnections: 260, protocol: "h1", tls: false })),
};

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, hasTrouble) => {
    const handle = (incoming, outgoing, _body, instance) => setTimeout(() => {
        outgoing.writeHead(200, { ...instance.headersFor(incoming), "Content-Length": 2 });
        outgoing.end("ok");
    }, 20);
    const deployment = await startSmall(record, {
        coreCount,
        entryCount,
        config,
        instances: [
            ...Array.from({ length: ordersCount }, () => ({ service: "orders", handle })),
            ...Array.from({ length: 2 }, () => ({ service: "moulds", handle })),
        ],
    });
    try {
        const orders = deployment.servers.filter(({ service }) => service === "orders");
        const ackCounts = new Map(orders.map(instance => [instance, { acknowledged: 0, not: 0 }]));
        for (const instance of orders) {
            const send = instance.sendHeartbeat.bind(instance);
            instance.sendHeartbeat = async () => {
                const isAcknowledged = await send();
                ackCounts.get(instance)[isAcknowledged ? "acknowledged" : "not"]++;
            };
        }

        // Another writer sends one heartbeat for each instance of orders, under a service that the configuration does not name.
        const writeOdd = async () => {
            for (const [index, { host: ip, port, zone }] of orders.entries()) {
                const answer = await deployment.call(index % coreCount, `instances.heartbeat&of=agent-${newId()}`, {
                    service: "legacy-orders", address: `${ip}:${port}`, zone, configVersion: "v1", maxConcurrency: 4,
                    state: "ready", warmupLeft: "0ms", sequence: 1, born: Date.now() });
                record.add(`heartbeat of another writer, service legacy-orders, address ${ip}:${port}: ${answer?.status ?? "no answer"}`);
            }
        };

        const counts = { stock: { sent: 0, served: 0, late: 0, lateServed: 0 }, pattern: { sent: 0, served: 0, late: 0, lateServed: 0 } };
        const send = async (name, entryIndex, isLate) => {
            const count = counts[name];
            count.sent++;
            count.late += isLate ? 1 : 0;
            const id = newId();
            const answer = await request({ ...deployment.entryAddress(entryIndex), path: `/${name}/${id}`, timeoutMs: 2500,
                headers: { Host: host, "X-Figwharf-Attempt-Id": id, "X-Figwharf-Deadline-Ms": "2500" } });
            const isServed = answer?.status === 200 && answer.headers["x-figwharf-upstream-signature"] !== undefined;
            count.served += isServed ? 1 : 0;
            count.lateServed += isServed && isLate ? 1 : 0;
            if (!isServed) {
                record.add(`${name} at edge-${entryIndex + 1}: ${answer?.status ?? "no answer"}`);
            }
        };
        const startMs = nowMs();
        let hasWritten = false;
        const sending = [];
        for (let count = 0; nowMs() - startMs < playMs; count++) {
            if (hasTrouble && !hasWritten && nowMs() - startMs >= calmMs) {
                hasWritten = true;
                sending.push(writeOdd());
            }
            const isLate = nowMs() - startMs >= calmMs + 2000;
            sending.push(send(count % 2 === 0 ? "stock" : "pattern", (count >> 1) % entryCount, isLate));
            await sleep(intervalMs);
        }
        await Promise.all(sending);
        for (const [name, { sent, served, late, lateServed }] of Object.entries(counts)) {
            record.add(`${name}: ${served} of ${sent} served; ${lateServed} of ${late} from 2 s after the odd heartbeats on`);
        }
        for (const [{ id }, { acknowledged, not }] of ackCounts) {
            record.add(`heartbeats of ${id} (orders): ${acknowledged} acknowledged, ${not} not`);
        }
        const { stock, pattern } = counts;
        const shareOfStock = stock.served / stock.sent;
        const shareOfAll = (stock.served + pattern.served) / (stock.sent + pattern.sent);
        return shareOfStock < shareOfAll / 4
            ? `Starved: ${stock.served} of ${stock.sent} stock requests were served, ${pattern.served} of ${pattern.sent} of the others`
            : undefined;
    }
    finally {
        await deployment.close();
    }
});
