import test from "ava";
import { benchCatalogue, benchService } from "../../bench/benchCatalogue.js";
import { SeededRandom } from "../core/random.js";
import type { Announcement } from "../membership/view.js";
import { EntryCore } from "./core.js";
import type { EntryEffect, EntryEvent } from "./messages.js";

function createCore(): EntryCore {
    return new EntryCore({
        id: "entry-1",
        region: "r",
        availabilityZone: "az-1",
        incarnation: 1,
        address: "10.0.0.1:80",
        peerAddress: "10.0.0.1:90",
        random: new SeededRandom(1),
    });
}

function confirmConfiguration(core: EntryCore, sentAtMs: number, revision = 1): void {
    const catalogue = benchCatalogue(revision, [benchService("orders")], []);
    core.handle({ kind: "control-answer", isQuorumConfirmed: true, revision, catalogue, sentAtMs }, sentAtMs);
}

function announce(core: EntryCore, atMs: number, overrides: Partial<Announcement> = {}): void {
    const announcement: Announcement = {
        id: "orders-1",
        service: "orders",
        address: "10.0.1.1:80",
        availabilityZone: "az-1",
        slots: 3,
        state: "ready",
        incarnation: 1,
        sequence: 1,
        leaseMs: 10_000,
        ...overrides,
    };
    core.handle({ kind: "announcement", announcement }, atMs);
}

function request(id: string, nowMs: number): EntryEvent {
    return {
        kind: "request",
        request: {
            id,
            service: "orders",
            method: "POST",
            path: "/orders",
            callerId: "10.0.9.9",
            idempotencyKey: undefined,
            bodyHash: undefined,
            isBodyReplayable: true,
            deadlineAtMs: nowMs + 60_000,
        },
    };
}

function findAnswer(effects: readonly EntryEffect[]) {
    return effects.find(effect => effect.kind === "answer")?.answer;
}

interface ServingCase {
    readonly name: string;
    readonly prepare: (core: EntryCore) => void;
    readonly atMs: number;
    readonly reason: string | undefined;
}

const servingCases: readonly ServingCase[] = [
    {
        name: "before the first confirmation",
        prepare: core => announce(core, 0),
        atMs: 0,
        reason: "configuration-unconfirmed",
    },
    {
        name: "3 s after the last confirmation",
        prepare: core => {
            confirmConfiguration(core, 0);
            announce(core, 3000);
        },
        atMs: 3001,
        reason: "configuration-unconfirmed",
    },
    {
        name: "with a confirmation and an upstream",
        prepare: core => {
            confirmConfiguration(core, 0);
            announce(core, 0);
        },
        atMs: 2500,
        reason: undefined,
    },
];

for (const { name, prepare, atMs, reason } of servingCases) {
    test(`guards against serving with an outdated configuration: a request ${name}`, t => {
        const core = createCore();
        prepare(core);
        const answer = findAnswer(core.handle(request("q", atMs), atMs));
        t.is(answer?.reason, reason);
        t.is(answer?.verdict, reason === undefined ? undefined : "not-run");
        t.is(core.listEntries(atMs).entries.length, reason === undefined ? 1 : 0);
    });
}

interface SentCase {
    readonly name: string;
    readonly change: (core: EntryCore) => void;
    readonly sentAtMs: number;
    readonly isCancelled: boolean;
}

const sentCases: readonly SentCase[] = [
    { name: "nothing has changed", change: () => undefined, sentAtMs: 100, isCancelled: false },
    {
        name: "the upstream has begun to drain",
        change: core => announce(core, 50, { state: "draining", sequence: 2 }),
        sentAtMs: 100,
        isCancelled: true,
    },
    { name: "the evidence has expired", change: () => undefined, sentAtMs: 2501, isCancelled: true },
    {
        name: "another instance has taken over the address",
        change: core => announce(core, 50, { id: "orders-2" }),
        sentAtMs: 100,
        isCancelled: true,
    },
];

for (const { name, change, sentAtMs, isCancelled } of sentCases) {
    test(`guards against sending to an ineligible upstream after a wait for a connection: ${name}`, t => {
        const core = createCore();
        confirmConfiguration(core, 0);
        announce(core, 0);
        const dispatched = core.handle(request("q", 0), 0).find(effect => effect.kind === "dispatch");
        t.truthy(dispatched);
        change(core);
        const attemptId = dispatched?.target.attemptId ?? "";
        const effects = core.handle({ kind: "attempt-sent", attemptId }, sentAtMs);
        t.is(effects.some(effect => effect.kind === "cancel-attempt" && effect.attemptId === attemptId), isCancelled);
        const answer = findAnswer(effects);
        t.true(answer === undefined || answer.verdict === "not-run");
    });
}

test("guards against directing callers to a draining entry", t => {
    const core = createCore();
    confirmConfiguration(core, 0);
    announce(core, 0);
    t.is(core.listEntries(0).entries.length, 1);
    core.handle({ kind: "drain" }, 10);
    t.is(core.listEntries(10).entries.length, 0);
    t.is(findAnswer(core.handle(request("q", 10), 10)), undefined, "it still accepts requests");
});

test("guards against a draining entry that remains the owner of services", t => {
    const core = createCore();
    t.false(core.peers.isSelfDraining);
    core.handle({ kind: "drain" }, 1);
    t.true(core.peers.isSelfDraining);
});
