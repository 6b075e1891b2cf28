import type { RandomSource } from "../src/core/random.js";
import type { EntryEffect } from "../src/entry/messages.js";
import type { RequestMetadata } from "../src/requests/model.js";
import { type AttemptOutcome, type DelayedDecision, type RouteDecision, Router } from "../src/requests/router.js";

/** Upstream controlled by a test. */
export interface FakeUpstream {
    readonly id: string;
    incarnation: number;
    isAlive: boolean;
    /** Whether routers still choose it. */
    isListed: boolean;
    isSilent: boolean;
    readonly running: Set<() => void>;
}

/** Router that picks upstreams at random, or round-robin without a random source, and grants `retriesLeft` retries. */
export class FakeRouter extends Router {
    readonly finished: AttemptOutcome[] = [];
    hedgeAfterMs: number | undefined;
    retriesLeft = Infinity;
    private turn = 0;

    constructor(private readonly upstreams: ReadonlyMap<string, FakeUpstream>, private readonly random?: RandomSource) {
        super();
    }

    route(_attemptId: string, _request: RequestMetadata, avoid: readonly string[]): RouteDecision {
        const all = [...this.upstreams.values()].filter(candidate => candidate.isListed);
        const preferred = all.filter(candidate => !avoid.includes(candidate.id));
        const choices = preferred.length > 0 ? preferred : all;
        if (choices.length === 0) {
            return { kind: "refuse", reason: "no-upstream", detail: "none", retryAfterMs: 100 };
        }
        const chosenIndex = this.random?.nextInt(choices.length) ?? this.turn++ % choices.length;
        const { id, incarnation } = choices[chosenIndex];
        return { kind: "upstream", upstreamId: id, address: id, incarnation };
    }
    takeRetry(): boolean {
        return this.retriesLeft-- > 0;
    }
    hedgeDelayMs(): number | undefined {
        return this.hedgeAfterMs;
    }
    finish(outcome: AttemptOutcome): void {
        this.finished.push(outcome);
    }
    takeDecisions(): readonly DelayedDecision[] {
        return [];
    }
    takeEffects(): readonly EntryEffect[] {
        return [];
    }
    abandon(): void {}
    handlePeerMessage(): void {}
    finishProbe(): void {}
    tick(): void {}
}
