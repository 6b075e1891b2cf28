import test from "ava";
import fs from "node:fs";
import {
    type Catalogue,
    emptyCatalogue,
    EntryCore,
    type EntryEffect,
    ManualClock,
    SeededRandom,
    type Service,
} from "../src/index.js";

// The text between the two markers is the example in docs/embedding.md.
// example-begin
function createOrders(): Service {
    return {
        name: "orders",
        owner: "foundry",
        class: "interactive",
        limits: {
            maxInFlight: 51,
            requestsPerSecond: 2000,
            maxQueuedPerEntry: 100,
            maxPerCallerPerEntry: 50,
            maxBodyBytes: 1024 * 1024,
            defaultDeadlineMs: 2000,
        },
        policy: "least-outstanding",
        measuringBudgetMsPerSecond: 10,
        probeCostMs: 6,
        retryRatio: 0.1,
        hedging: { enabled: false, afterQuantile: 0.99 },
        idempotentMethods: ["GET", "HEAD", "OPTIONS"],
        rampMs: 0,
    };
}

function runEmbeddedEntry(): readonly EntryEffect[] {
    const clock = new ManualClock();
    const core = new EntryCore({
        id: "entry-1",
        region: "qc-east",
        availabilityZone: "sherbrooke",
        incarnation: 1,
        address: "10.0.0.1:8080",
        peerAddress: "10.0.0.1:9090",
        random: new SeededRandom(7),
    });

    // Control confirms revision 1. Until then the core refuses requests.
    const catalogue: Catalogue = { ...emptyCatalogue, revision: 1, services: { orders: createOrders() } };
    const control = { kind: "control-answer", isQuorumConfirmed: true, revision: 1 } as const;
    core.handle({ ...control, catalogue, sentAtMs: clock.monotonicMs() }, clock.monotonicMs());

    // An upstream announces itself.
    const announcement = {
        id: "orders-1",
        service: "orders",
        address: "10.0.1.1:80",
        availabilityZone: "sherbrooke",
        slots: 3,
        state: "ready",
        incarnation: 1,
        sequence: 1,
        leaseMs: 10_000,
    } as const;
    core.handle({ kind: "announcement", announcement }, clock.monotonicMs());

    // A request arrives. The core asks for an attempt at the upstream.
    const request = {
        id: "request-1",
        service: "orders",
        method: "GET",
        path: "/quotes/17",
        callerId: "10.0.9.9",
        idempotencyKey: undefined,
        bodyHash: undefined,
        isBodyReplayable: true,
        deadlineAtMs: clock.monotonicMs() + 1000,
    };
    const effects = core.handle({ kind: "request", request }, clock.monotonicMs());

    // The program connects, reports each step, and performs what the core returns.
    const attemptId = "request-1/1";
    clock.advance(1);
    effects.push(...core.handle({ kind: "attempt-sent", attemptId }, clock.monotonicMs()));
    clock.advance(12);
    const head = { status: 200, headers: [] };
    effects.push(...core.handle({ kind: "attempt-head", attemptId, head, load: undefined }, clock.monotonicMs()));
    const retained = { ...head, body: Buffer.from("12.50") };
    effects.push(...core.handle({ kind: "attempt-complete", attemptId, retained }, clock.monotonicMs()));

    // Timers run in `tick`, every few milliseconds of the program's own clock.
    clock.advance(5);
    effects.push(...core.tick(clock.monotonicMs()));
    return effects;
}
// example-end

test("guards against a core that needs more than its events: the documented example dispatches and forwards", t => {
    const effects = runEmbeddedEntry();
    const kinds = effects.map(effect => effect.kind).filter(kind => kind === "dispatch" || kind === "forward");
    t.deepEqual(kinds, ["dispatch", "forward"]);
    t.true(effects.some(effect => effect.kind === "dispatch" && effect.target.address === "10.0.1.1:80"));
});

test("guards against hidden inputs: the same events and seed give the same effects", t => {
    t.deepEqual(runEmbeddedEntry(), runEmbeddedEntry());
});

test("guards against documentation that differs from the tested example of an entry", t => {
    const source = fs.readFileSync("test/embedding.test.ts", "utf8");
    const example = source.split("// example-begin\n")[1].split("// example-end")[0].trim();
    t.true(fs.readFileSync("docs/embedding.md", "utf8").includes(example));
});
