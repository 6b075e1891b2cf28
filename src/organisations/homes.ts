import type { Organisation, Route } from "../directory/model.js";

/**
 * Returns whether a request may run in a region. An empty list restricts nothing, and neither does an unknown region of
 * the entry.
 */
export function isHome(region: string | undefined, route: Route, organisation: Organisation | undefined): boolean {
    return [route.homes, organisation?.homes].every(homes =>
        region === undefined || homes === undefined || homes === null || homes.length === 0 || homes.includes(region)
    );
}
