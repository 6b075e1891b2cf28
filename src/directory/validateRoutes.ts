import type { Route, RouteTable } from "./model.js";

/** Longest timeout of a route; the operators limit it to ten minutes. */
export const maxRouteTimeoutMs = 600_000;
/** A target latency must be below the route's timeout plus this; the operators allow one minute. */
export const maxTargetExcessMs = 60_000;

/** Absolute path without spaces and control characters, which would break the request line. */
const healthPathPattern = /^\/[\x21-\x7e]*$/;

/** Returns the first problem of a route table, or undefined if it is valid. */
export function findRouteProblem(table: RouteTable): string | undefined {
    const services = new Set(table.services.map(routedService => routedService.name));
    if (services.size < table.services.length) {
        return "two services have the same name";
    }
    const withInvalidPath = table.services.find(routedService => !healthPathPattern.test(routedService.healthPath));
    if (withInvalidPath !== undefined) {
        return `service ${withInvalidPath.name}: the health path ${withInvalidPath.healthPath} is not a path`;
    }
    const names = new Set<string>();
    const prefixesByHost = new Map<string, Set<string>>();
    for (const { host, routes } of table.hosts) {
        const prefixes = prefixesByHost.get(host.toLowerCase()) ?? new Set<string>();
        prefixesByHost.set(host.toLowerCase(), prefixes);
        for (const route of routes) {
            const problem = findProblemInRoute(route, services);
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

function findProblemInRoute(route: Route, services: ReadonlySet<string>): string | undefined {
    const { targets, timeoutMs, targetLatencyMs, maxAttempts, pathPrefix } = route;
    const unknownTarget = targets.find(target => !services.has(target.service));
    if (unknownTarget !== undefined) {
        return `there is no service ${unknownTarget.service}`;
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
