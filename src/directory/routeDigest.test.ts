import test from "ava";
import fc from "fast-check";
import { pack, unpack } from "msgpackr";
import { diffRoutes } from "./diffRoutes.js";
import type { RouteTable } from "./model.js";
import { digestRouteTable } from "./routeDigest.js";
import { makeTable } from "./testing.js";
import { updateRoutes } from "./updateRoutes.js";

const services = ["orders", "moulds", "press"];

/** Returns a table whose routes lead to the services with the given indexes. */
function makeTableTo(version: number, targets: readonly number[]): RouteTable {
    const table = makeTable(version);
    const [route] = table.hosts[0].routes;
    const routes = targets.map((target, index) => ({
        ...route,
        name: `r-${index}`,
        pathPrefix: `/${index}/`,
        targets: [{ service: services[target], weight: 1 }],
    }));
    return { ...table, hosts: [{ host: "a.example", routes }] };
}

const drawnTargets = fc.array(fc.nat(services.length - 1), { maxLength: 6 });

test("guards against equal tables with different digests after updates", t => {
    const property = fc.property(drawnTargets, drawnTargets, (before, after) => {
        const [first, second] = [makeTableTo(1, before), makeTableTo(2, after)];
        return digestRouteTable(updateRoutes(first, diffRoutes(first, second))) === digestRouteTable(second);
    });
    fc.assert(property, { seed: 46, numRuns: 200 });
    t.pass();
});

test("guards against a table that has another digest after it was sent to an entry", t => {
    const table = makeTableTo(1, [0, 1, 2]);
    t.is(digestRouteTable(unpack(pack(table)) as RouteTable), digestRouteTable(table));
});

test("guards against different tables of one version with the same digest", t => {
    t.not(digestRouteTable(makeTableTo(1, [0, 1])), digestRouteTable(makeTableTo(1, [0, 2])));
    t.not(digestRouteTable(makeTableTo(1, [0, 1])), digestRouteTable(makeTableTo(1, [0])));
});
