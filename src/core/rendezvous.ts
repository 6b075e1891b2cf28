import { createHash } from "node:crypto";

const maxCachedScores = 100_000;
const scoreCache = new Map<string, number>();

/** Returns the rendezvous hashing score of a candidate for a key; the same in all processes. */
export function rendezvousScore(key: string, candidate: string): number {
    const pair = `${key}\n${candidate}`;
    let score = scoreCache.get(pair);
    if (score === undefined) {
        score = createHash("sha256").update(pair).digest().readUIntBE(0, 6);
        if (scoreCache.size >= maxCachedScores) {
            scoreCache.clear();
        }
        scoreCache.set(pair, score);
    }
    return score;
}
