import test from "ava";
import fs from "node:fs";
import { fileURLToPath } from "node:url";
import { DirectoryMetrics } from "../src/metrics/directoryMetrics.js";
import { GatewayMetrics } from "../src/metrics/gatewayMetrics.js";

const page = fileURLToPath(new URL("../../docs/metrics.md", import.meta.url));
const zero = () => 0;

test("guards against a metrics page that differs from the served metrics", async t => {
    const gateway = new GatewayMetrics({
        inFlight: zero,
        directoryVersion: zero,
        routesVersion: zero,
        isConfirmed: () => false,
        upstreams: zero,
        ejectedUpstreams: zero,
        limitedUpstreams: zero,
        coldUpstreams: zero,
    });
    const directory = new DirectoryMetrics({
        isLeader: () => false,
        isLed: () => false,
        version: zero,
        routesVersion: zero,
        voters: zero,
        learners: zero,
        registrations: zero,
        attachedEntries: zero,
        totalEntries: zero,
        limitedOrganisations: zero,
        limitedInstances: zero,
        coldInstances: zero,
    });
    const texts = await Promise.all([gateway.registry.metrics(), directory.registry.metrics()]);
    const served = new Set([...texts.join("\n").matchAll(/^# TYPE (\w+) /gm)].map(match => match[1]));
    const listed = new Set([...fs.readFileSync(page, "utf8").matchAll(/`(figwharf_\w+)`/g)].map(match => match[1]));
    t.deepEqual([...listed].sort(), [...served].sort());
});
