import { createHash } from "node:crypto";
import type { RouteTable } from "./model.js";

const digestBytes = 4;

/** The codec between processes may decode an undefined field as null. */
function omitNull(_key: string, value: unknown): unknown {
    return value ?? undefined;
}

/**
 * Returns a short digest of a table, as hexadecimal digits. Tables with the same content have the same digest, also if
 * they list it in another order, as a table does to which updates were applied.
 */
export function digestRouteTable({ version, limits, hosts, services, organisations }: RouteTable): string {
    const routes = hosts.flatMap(({ host, routes: hostRoutes }) =>
        hostRoutes.map(route => JSON.stringify([host, route], omitNull))
    );
    const content = [
        version,
        limits,
        routes.sort(),
        services.map(routedService => JSON.stringify(routedService, omitNull)).sort(),
        organisations?.map(organisation => JSON.stringify(organisation, omitNull)).sort(),
    ];
    return createHash("sha256").update(JSON.stringify(content, omitNull)).digest("hex").slice(0, 2 * digestBytes);
}

/** Returns a digest as a number, for metrics. */
export function digestToNumber(digest: string): number {
    return digest === "" ? 0 : Number.parseInt(digest, 16);
}
