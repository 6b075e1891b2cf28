import type { ServiceName } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { Route } from "../directory/model.js";

/** Upper bound of the choices that a new sequence skips; weights in percent repeat after at most 100 choices. */
const maxSkippedChoices = 100;

/** Smooth weighted round-robin over the targets of a route: the shares also hold over short periods. */
export class WeightedRoundRobin {
    private readonly currentWeights = new Map<string, Map<ServiceName, number>>();

    constructor(private readonly random: RandomSource) {}

    choose(route: Route): ServiceName {
        if (route.targets.length === 1) {
            return route.targets[0].service;
        }
        const currentWeights = this.currentWeights.get(route.name) ?? this.beginSequence(route);
        return chooseNext(route, currentWeights);
    }

    /** Begins at a random point, since entries that begin alike would all send their first requests to one target. */
    private beginSequence(route: Route): Map<ServiceName, number> {
        const currentWeights = new Map<ServiceName, number>();
        this.currentWeights.set(route.name, currentWeights);
        for (let skipped = this.random.nextInt(maxSkippedChoices); skipped > 0; skipped--) {
            chooseNext(route, currentWeights);
        }
        return currentWeights;
    }
}

function chooseNext({ targets }: Route, currentWeights: Map<ServiceName, number>): ServiceName {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let best = targets[0].service;
    for (const { service, weight } of targets) {
        currentWeights.set(service, (currentWeights.get(service) ?? 0) + weight);
        if ((currentWeights.get(service) ?? 0) > (currentWeights.get(best) ?? 0)) {
            best = service;
        }
    }
    currentWeights.set(best, (currentWeights.get(best) ?? 0) - total);
    return best;
}
