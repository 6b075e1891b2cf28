import type { ServiceName } from "../core/ids.js";
import type { Route } from "../directory/model.js";

/**
 * Spreads the requests of a route over its targets by smooth weighted round robin, so that the shares hold over short
 * spans too.
 */
export class WeightedChoice {
    private readonly credits = new Map<string, Map<ServiceName, number>>();

    choose(route: Route): ServiceName {
        if (route.targets.length === 1) {
            return route.targets[0].service;
        }
        const credits = this.credits.get(route.name) ?? new Map<ServiceName, number>();
        this.credits.set(route.name, credits);
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let best = route.targets[0].service;
        for (const { service, weight } of route.targets) {
            credits.set(service, (credits.get(service) ?? 0) + weight);
            if ((credits.get(service) ?? 0) > (credits.get(best) ?? 0)) {
                best = service;
            }
        }
        credits.set(best, (credits.get(best) ?? 0) - total);
        return best;
    }
}
