import type { ServiceName } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { Route, RouteTable, WeightedService } from "../directory/model.js";

/** Bounds of the number of choices that a new sequence skips; weights in percent repeat after at most 100 choices. */
const minSkipRange = 100;
const maxSkipRange = 1000;

interface Sequence {
    readonly targets: readonly WeightedService[];
    /** What each target is ahead (positive) or behind, in the unit of the weights. */
    readonly credits: Map<ServiceName, number>;
}

/** Smooth weighted round-robin over the targets of a route: the shares also hold over short periods. */
export class WeightedRoundRobin {
    private readonly sequences = new Map<string, Sequence>();

    constructor(private readonly random: RandomSource) {}

    /** Returns a target whose weight is not 0. */
    choose(route: Route): ServiceName {
        if (route.targets.length === 1) {
            return route.targets[0].service;
        }
        const sequence = this.sequences.get(route.name);
        return sequence !== undefined && haveSameWeights(sequence.targets, route.targets)
            ? chooseNext(sequence)
            : chooseNext(this.beginSequence(route));
    }

    /** Forgets the routes that a table does not have. */
    keepOnly({ hosts }: RouteTable): void {
        const names = new Set(hosts.flatMap(({ routes }) => routes.map(route => route.name)));
        [...this.sequences.keys()].filter(name => !names.has(name)).forEach(name => this.sequences.delete(name));
    }

    /**
     * Begins at a random point, since entries that begin alike would all send their first requests to one target. Credits
     * under other weights would favor targets that had a larger share, until they are used up.
     */
    private beginSequence({ name, targets }: Route): Sequence {
        const sequence = { targets, credits: new Map<ServiceName, number>() };
        this.sequences.set(name, sequence);
        for (let skipped = this.random.nextInt(computeSkipRange(targets)); skipped > 0; skipped--) {
            chooseNext(sequence);
        }
        return sequence;
    }
}

function haveSameWeights(first: readonly WeightedService[], second: readonly WeightedService[]): boolean {
    return first === second ||
        (first.length === second.length &&
            first.every(({ service, weight }, position) =>
                service === second[position].service && weight === second[position].weight
            ));
}

/** A range that covers a whole cycle, so that also a target of a small weight is among the first choices of some entries. */
function computeSkipRange(targets: readonly WeightedService[]): number {
    const weights = targets.map(({ weight }) => weight).filter(weight => weight > 0);
    const cycle = Math.ceil(sum(weights) / Math.min(...weights));
    return Math.min(maxSkipRange, Math.max(minSkipRange, cycle));
}

function chooseNext({ targets, credits }: Sequence): ServiceName {
    const weighted = targets.filter(({ weight }) => weight > 0);
    const total = sum(weighted.map(({ weight }) => weight));
    weighted.forEach(({ service, weight }) => credits.set(service, (credits.get(service) ?? 0) + weight));
    const best = weighted.reduce((leading, target) =>
        (credits.get(target.service) ?? 0) > (credits.get(leading.service) ?? 0) ? target : leading
    );
    credits.set(best.service, (credits.get(best.service) ?? 0) - total);
    return best.service;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
