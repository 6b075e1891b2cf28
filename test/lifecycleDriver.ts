import { SeededRandom } from "../src/core/random.js";
import type { EntryEffect, EntryEvent } from "../src/entry/messages.js";
import type { UpstreamRow } from "../src/membership/view.js";
import type { ClaimSettings } from "../src/requests/claimProtocol.js";
import { RequestLifecycle } from "../src/requests/lifecycle.js";
import type { AttemptFailure, AttemptPhase, RequestMetadata, ResponseHead } from "../src/requests/model.js";
import { makeCatalogue } from "./fakeEntries.js";
import { FakeRouter, type FakeUpstream } from "./fakeRouter.js";

export const okHead: ResponseHead = { status: 200, headers: [] };
export const refusalHead: ResponseHead = { status: 503, headers: [["Figwharf-Verdict", "not-run"]] };

/** Passes the events of a test to a request lifecycle, one by one. */
export class LifecycleDriver {
    nowMs = 0;
    readonly upstreams = new Map<string, FakeUpstream>();
    readonly router = new FakeRouter(this.upstreams);
    readonly log: string[] = [];
    effects: EntryEffect[] = [];
    private readonly lifecycle: RequestLifecycle;

    constructor(claims: Partial<ClaimSettings> = {}) {
        for (const id of ["u0", "u1", "u2"]) {
            const state = { incarnation: 1, isAlive: true, isListed: true, isSilent: false };
            this.upstreams.set(id, { id, ...state, running: new Set() });
        }
        const peers = { selfId: "e0", availabilityZone: "a", livePeers: () => [], findPeer: () => undefined };
        const findUpstream = (_service: string, id: string) => {
            const announcement = {
                id,
                incarnation: this.upstreams.get(id)?.incarnation,
            } as UpstreamRow["announcement"];
            return { announcement, evidenceAtMs: 0, readySinceMs: 0 };
        };
        this.lifecycle = new RequestLifecycle({
            selfId: "e0",
            incarnation: 1,
            router: this.router,
            peers,
            upstreams: { eligibleUpstreams: () => [], findUpstream },
            catalogue: () => makeCatalogue(1, [["e0"]]),
            random: new SeededRandom(1),
            claims,
            firstControlRevision: () => 0,
        });
        this.tick(0);
    }

    get inFlight(): number {
        return this.lifecycle.inFlight;
    }

    /** Sends a request; returns summaries of the effects. */
    request(facts: Partial<RequestMetadata>): string[] {
        const request: RequestMetadata = {
            id: "r1",
            service: "orders",
            method: "POST",
            path: "/",
            callerId: "c",
            idempotencyKey: undefined,
            bodyHash: "h",
            isBodyReplayable: true,
            deadlineAtMs: this.nowMs + 1000,
            ...facts,
        };
        return this.handle({ kind: "request", request });
    }

    handle(event: EntryEvent): string[] {
        return this.recordEffects(this.lifecycle.handle(event, this.nowMs));
    }

    tick(durationMs: number): string[] {
        this.nowMs += durationMs;
        return this.recordEffects(this.lifecycle.tick(this.nowMs));
    }

    /** Reports the events that bring an attempt to a phase. */
    advance(attemptId: string, phase: AttemptPhase): string[] {
        const sent: EntryEvent = { kind: "attempt-sent", attemptId };
        const head: EntryEvent = { kind: "attempt-head", attemptId, head: okHead, load: undefined };
        const complete: EntryEvent = { kind: "attempt-complete", attemptId, retained: undefined };
        const events = { connecting: [], sent: [sent], responding: [sent, head], complete: [sent, head, complete] };
        return events[phase].flatMap(event => this.handle(event));
    }

    fail(attemptId: string, failure: AttemptFailure): string[] {
        return this.handle({ kind: "attempt-failed", attemptId, failure });
    }

    private recordEffects(effects: EntryEffect[]): string[] {
        this.effects = effects;
        const summaries = effects.map(summarizeEffect).filter(text => text !== undefined);
        this.log.push(...summaries);
        return summaries;
    }
}

function summarizeEffect(effect: EntryEffect): string | undefined {
    switch (effect.kind) {
        case "dispatch":
            return `dispatch ${effect.target.attemptId}`;
        case "forward":
        case "cancel-attempt":
            return `${effect.kind} ${effect.attemptId}`;
        case "answer":
            return `answer ${effect.requestId} ${effect.answer.status} ${effect.answer.verdict} ${effect.answer.reason}`;
        case "replay":
        case "destroy-caller":
            return `${effect.kind} ${effect.requestId}`;
        case "reset-pool":
            return `reset-pool ${effect.address}`;
        case "check-connection":
            return `check ${effect.address}`;
    }
    return undefined;
}
