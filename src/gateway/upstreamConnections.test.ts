import test from "ava";
import { once } from "node:events";
import http from "node:http";
import type { AddressInfo } from "node:net";
import v8 from "node:v8";
import vm from "node:vm";
import { defaultEntryLimits } from "../entry/options.js";
import { UpstreamConnections } from "./upstreamConnections.js";

/** Peak memory limit of an entry with 100 connections, and its memory without connections (issue 18). */
const targetBytes = 30e6;
const withoutConnectionsBytes = 15.7e6;
const targetConnections = 100;

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

function usedBytes(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

test("guards against connections to upstreams that exceed the memory budget of an entry", async t => {
    const server = http.createServer((_request, response) => response.end());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const connections = new UpstreamConnections({ ...defaultEntryLimits, connectionsPerUpstream: 1000 });
    const open = async (count: number) => {
        const leases = Array.from({ length: count }, () => connections.lease(address, 0)!);
        await Promise.all(leases.map(({ dispatcher }) => dispatcher.request({ method: "GET", path: "/" })));
        return leases;
    };
    const fewLeases = await open(20);
    const fewBytes = usedBytes();
    const manyLeases = await open(200);
    const connectionBytes = (usedBytes() - fewBytes) / manyLeases.length;
    [...fewLeases, ...manyLeases].forEach(lease => lease.discard());
    server.close();
    server.closeAllConnections();
    t.true(connectionBytes < (targetBytes - withoutConnectionsBytes) / targetConnections, `${connectionBytes} bytes`);
});
