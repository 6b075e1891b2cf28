import test from "ava";
import dgram from "node:dgram";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createMetrics } from "./wiring.js";

test("guards against metrics without prefix, unit or the tags that name the entry", async t => {
    const receiver = dgram.createSocket("udp4");
    receiver.bind(0, "127.0.0.1");
    await once(receiver, "listening");
    const { port } = receiver.address() as AddressInfo;
    const metrics = createMetrics({ address: `127.0.0.1:${port}`, prefix: "figwharf." }, { entry: "entry-1" });
    const received = once(receiver, "message");
    metrics.increment("measuring.spent_ms", 6, { service: "orders" });
    metrics.timing("request.latency_ms", 12.5, { service: "orders", status: "200" });
    const lines = String((await received)[0]).trim().split("\n");
    t.deepEqual(lines, [
        "figwharf.measuring.spent_ms:6|c|#entry:entry-1,service:orders",
        "figwharf.request.latency_ms:12.5|ms|#entry:entry-1,service:orders,status:200",
    ]);
    await new Promise(resolve => metrics.close(resolve));
    receiver.close();
});

test("guards against memory growth when no metrics receiver is configured", t => {
    const metrics = createMetrics(undefined, {});
    metrics.increment("measuring.spent_ms", 6);
    t.deepEqual(metrics.mockBuffer ?? [], []);
});
