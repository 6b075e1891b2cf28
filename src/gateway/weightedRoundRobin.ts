import type { ServiceName } from "../core/ids.js";
import type { Route } from "../directory/model.js";

/** Smooth weighted round-robin over the targets of a route: the shares also hold over short periods. */
export class WeightedRoundRobin {
    private readonly currentWeights = new Map<string, Map<ServiceName, number>>();

    choose(route: Route): ServiceName {
        if (route.targets.length === 1) {
            return route.targets[0].service;
        }
        const currentWeights = this.currentWeights.get(route.name) ?? new Map<ServiceName, number>();
        this.currentWeights.set(route.name, currentWeights);
        const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
        let best = route.targets[0].service;
        for (const { service, weight } of route.targets) {
            currentWeights.set(service, (currentWeights.get(service) ?? 0) + weight);
            if ((currentWeights.get(service) ?? 0) > (currentWeights.get(best) ?? 0)) {
                best = service;
            }
        }
        currentWeights.set(best, (currentWeights.get(best) ?? 0) - total);
        return best;
    }
}
