import type { Route, RouteTable } from "./model.js";

/** Longest timeout of a route. Source: the operators' limit of ten minutes. */
export const maxRouteTimeoutMs = 600_000;
/** How far a target latency stays below the timeout of its route plus this limit. Source: the operators' minute. */
export const maxTargetExcessMs = 60_000;

/** A path without characters that end a request line. */
const healthPathPattern = /^\/[\x21-\x7e]*$/;

/** Returns what is wrong with a table in itself, or undefined. */
export function findRouteProblem(table: RouteTable): string | undefined {
    const services = new Set(table.services.map(row => row.name));
    if (services.size < table.services.length) {
        return "two services have the same name";
    }
    const unreadable = table.services.find(row => !healthPathPattern.test(row.healthPath));
    if (unreadable !== undefined) {
        return `service ${unreadable.name}: the health path ${unreadable.healthPath} is not a path`;
    }
    const names = new Set<string>();
    for (const { host, routes } of table.hosts) {
        const prefixes = new Set<string>();
        for (const route of routes) {
            const problem = findProblemOfRoute(route, services);
            if (problem !== undefined) {
                return `route ${route.name}: ${problem}`;
            }
            if (names.has(route.name)) {
                return `two routes have the name ${route.name}`;
            }
            if (prefixes.has(route.pathPrefix)) {
                return `two routes of ${host} have the prefix ${route.pathPrefix}`;
            }
            names.add(route.name);
            prefixes.add(route.pathPrefix);
        }
    }
    return undefined;
}

function findProblemOfRoute(route: Route, services: ReadonlySet<string>): string | undefined {
    const { targets, timeoutMs, targetLatencyMs, maxAttempts, pathPrefix } = route;
    const unknown = targets.find(target => !services.has(target.service));
    if (unknown !== undefined) {
        return `there is no service ${unknown.service}`;
    }
    if (targets.some(target => !(target.weight >= 0))) {
        return "a weight is negative";
    }
    if (!(targets.reduce((sum, target) => sum + target.weight, 0) > 0)) {
        return "the weights add up to 0";
    }
    if (timeoutMs !== undefined && !(timeoutMs > 0 && timeoutMs <= maxRouteTimeoutMs)) {
        return `the timeout of ${timeoutMs} ms is not between 0 and ${maxRouteTimeoutMs} ms`;
    }
    if (targetLatencyMs !== undefined && !(targetLatencyMs > 0)) {
        return `the target latency of ${targetLatencyMs} ms is not positive`;
    }
    const isFarAbove = timeoutMs !== undefined && targetLatencyMs !== undefined &&
        targetLatencyMs >= timeoutMs + maxTargetExcessMs;
    if (isFarAbove) {
        return `the target latency of ${targetLatencyMs} ms is far above the timeout of ${timeoutMs} ms`;
    }
    if (!(maxAttempts >= 1)) {
        return "fewer than one attempt is allowed";
    }
    return pathPrefix.startsWith("/") && pathPrefix.endsWith("/")
        ? undefined
        : `the prefix ${pathPrefix} does not begin and end with a slash`;
}
