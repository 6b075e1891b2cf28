import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Source of random numbers. Injected, so that a run can be replayed from its seed. */
export abstract class RandomSource {
    /** Returns a number in [0, 1). */
    abstract nextUnit(): number;

    /** Returns an integer in [0, limit). */
    nextInt(limit: number): number {
        return Math.floor(this.nextUnit() * limit);
    }
}

/** Pseudo-random numbers that depend only on the seed. */
export class SeededRandom extends RandomSource {
    private readonly generator: RandomGenerator;

    constructor(seed: number) {
        super();
        this.generator = xoroshiro128plus(seed);
    }

    nextUnit(): number {
        return uniformFloat64(this.generator);
    }
}
