import test from "ava";
import { LifecycleDriver, okHead, refusalHead } from "../../test/lifecycleDriver.js";
import type { EntryEvent } from "../entry/messages.js";
import { AttemptFailure, AttemptPhase, type RequestMetadata } from "./model.js";

const connectionAccepted: EntryEvent = { kind: "connection-checked", checkId: "orders/u0/1", isAccepted: true };
const get: Partial<RequestMetadata> = { method: "GET" };
const post: Partial<RequestMetadata> = {};
const keyed: Partial<RequestMetadata> = { idempotencyKey: "k" };
const streamed: Partial<RequestMetadata> = { isBodyReplayable: false };

// Effect of the failure of a request's only attempt, by the phase of the attempt.
const verdictCases: readonly {
    readonly name: string;
    readonly metadata: Partial<RequestMetadata>;
    readonly phase: AttemptPhase;
    readonly retries: number;
    readonly expected: RegExp;
}[] = [
    { name: "unsent POST", metadata: post, phase: "connecting", retries: 1, expected: /^dispatch r1\/2$/ },
    {
        name: "unsent POST, no budget",
        metadata: post,
        phase: "connecting",
        retries: 0,
        expected: /^answer r1 503 not-run /,
    },
    { name: "unsent stream", metadata: streamed, phase: "connecting", retries: 1, expected: /^dispatch r1\/2$/ },
    { name: "sent POST", metadata: post, phase: "sent", retries: 1, expected: /^answer r1 50[24] may-have-run / },
    {
        name: "sent keyed POST",
        metadata: keyed,
        phase: "sent",
        retries: 1,
        expected: /^answer r1 50[24] may-have-run /,
    },
    { name: "sent GET", metadata: get, phase: "sent", retries: 1, expected: /^dispatch r1\/2$/ },
    {
        name: "sent GET, no budget",
        metadata: get,
        phase: "sent",
        retries: 0,
        expected: /^answer r1 50[24] may-have-run /,
    },
    {
        name: "sent GET with streamed body",
        metadata: { ...get, ...streamed },
        phase: "sent",
        retries: 1,
        expected: /^answer r1 50[24] may-have-run /,
    },
    { name: "truncated POST", metadata: post, phase: "responding", retries: 1, expected: /^destroy-caller r1$/ },
    {
        name: "truncated keyed POST",
        metadata: keyed,
        phase: "responding",
        retries: 1,
        expected: /^answer r1 50[24] ran /,
    },
    { name: "truncated GET", metadata: get, phase: "responding", retries: 1, expected: /^dispatch r1\/2$/ },
];

for (const { name, metadata, phase, retries, expected } of verdictCases) {
    test(`guards against a wrong verdict or a second run: ${name} that fails`, t => {
        for (const failure of Object.values(AttemptFailure)) {
            const driver = new LifecycleDriver();
            driver.router.retriesLeft = retries;
            driver.request(metadata);
            driver.advance("r1/1", phase);
            const effects = driver.fail("r1/1", failure).filter(effect => !effect.startsWith("check"));
            const later = driver.handle(connectionAccepted);
            t.regex([...effects, ...later].join(), expected, failure);
            t.is(driver.router.finished.length, 1);
        }
    });
}

test("guards against a lost request: an upstream's refusal is retried, and is not-run once the budget is empty", t => {
    for (const metadata of [post, keyed, get]) {
        const driver = new LifecycleDriver();
        driver.router.retriesLeft = 1;
        driver.request(metadata);
        for (const attemptId of ["r1/1", "r1/2"]) {
            driver.advance(attemptId, "sent");
            driver.handle({ kind: "attempt-head", attemptId, head: refusalHead, load: undefined });
        }
        t.deepEqual(driver.log, [
            "dispatch r1/1",
            "cancel-attempt r1/1",
            "dispatch r1/2",
            "cancel-attempt r1/2",
            "answer r1 503 not-run upstream-refused",
        ]);
        // Without the verdict, routing would count a refusal without a load report as a failure and eject the instance.
        t.deepEqual(driver.router.finished.map(result => result.verdict), ["not-run", "not-run"]);
    }
});

test("guards against a wrong not-run: a refusal after an attempt that may have run is answered may-have-run", t => {
    const driver = new LifecycleDriver();
    driver.request(get);
    driver.advance("r1/1", "sent");
    driver.fail("r1/1", "timeout");
    driver.router.retriesLeft = 0;
    driver.handle({ kind: "attempt-head", attemptId: "r1/2", head: refusalHead, load: undefined });
    t.is(driver.log.at(-1), "answer r1 504 may-have-run timeout");
});

for (
    const [phase, expected] of [
        ["connecting", "answer r1 503 not-run deadline"],
        ["sent", "answer r1 504 may-have-run deadline"],
    ] as const
) {
    test(`guards against an unanswered caller or a wrong verdict: deadline while ${phase}`, t => {
        for (const metadata of [post, keyed]) {
            const driver = new LifecycleDriver();
            driver.request(metadata);
            driver.advance("r1/1", phase);
            driver.tick(999);
            t.deepEqual(driver.tick(1).sort(), [expected, "cancel-attempt r1/1"]);
            t.is(driver.inFlight, 0);
        }
    });
}

test("guards against a late run: a process paused past the deadline or the maximum claim age writes nothing", t => {
    for (const [metadata, pauseMs, reason] of [[post, 1001, "deadline"], [keyed, 501, "claim-stale"]] as const) {
        const driver = new LifecycleDriver({ maxClaimAgeMs: 500 });
        driver.request(metadata);
        driver.nowMs += pauseMs;
        t.deepEqual(driver.advance("r1/1", "sent"), ["cancel-attempt r1/1", `answer r1 503 not-run ${reason}`]);
    }
});

test("guards against a truncated response that ends cleanly: the caller's connection is destroyed", t => {
    for (const metadata of [get, keyed]) {
        const driver = new LifecycleDriver();
        driver.request(metadata);
        driver.advance("r1/1", "responding");
        t.deepEqual(driver.handle({ kind: "attempt-overflow", attemptId: "r1/1" }), ["forward r1/1"]);
        t.deepEqual(driver.fail("r1/1", "malformed"), ["destroy-caller r1"]);
    }
});

test("guards against a lost outcome: a keyed request continues after its caller disconnected", t => {
    const driver = new LifecycleDriver();
    driver.request(keyed);
    driver.advance("r1/1", "sent");
    t.deepEqual(driver.handle({ kind: "caller-gone", requestId: "r1" }), []);
    const retained = { ...okHead, body: Buffer.from("x") };
    driver.handle({ kind: "attempt-head", attemptId: "r1/1", head: okHead, load: undefined });
    t.deepEqual(driver.handle({ kind: "attempt-complete", attemptId: "r1/1", retained }), ["cancel-attempt r1/1"]);
    t.deepEqual(driver.request({ ...keyed, id: "r2" }), ["replay r2"]);
    t.is(driver.inFlight, 0);
});

test("guards against a lost outcome: a slow response of a keyed request is retained after its caller disconnected", t => {
    const driver = new LifecycleDriver();
    driver.request(keyed);
    driver.advance("r1/1", "sent");
    driver.handle({ kind: "caller-gone", requestId: "r1" });
    driver.handle({ kind: "attempt-head", attemptId: "r1/1", head: okHead, load: undefined });
    t.deepEqual(driver.handle({ kind: "attempt-overflow", attemptId: "r1/1" }), []);
    const retained = { ...okHead, body: Buffer.from("x") };
    driver.handle({ kind: "attempt-complete", attemptId: "r1/1", retained });
    t.deepEqual(driver.request({ ...keyed, id: "r2" }), ["replay r2"]);
});

for (const metadata of [get, post, keyed]) {
    test(`guards against a slot leaked or freed twice: the caller disconnects early, ${JSON.stringify(metadata)}`, t => {
        const driver = new LifecycleDriver();
        driver.request(metadata);
        t.deepEqual(driver.handle({ kind: "caller-gone", requestId: "r1" }), ["cancel-attempt r1/1"]);
        t.is(driver.router.finished.length, 1);
        t.deepEqual(driver.advance("r1/1", "sent"), ["cancel-attempt r1/1"]);
        t.deepEqual(driver.request({ ...metadata, id: "r2" }), ["dispatch r2/1"]);
    });
}

test("guards against a slow instance: a hedge starts once, within the budget; the slower attempt is cancelled", t => {
    const driver = new LifecycleDriver();
    driver.router.hedgeAfterMs = 20;
    driver.request(get);
    driver.request({ id: "r2" });
    driver.advance("r1/1", "sent");
    t.deepEqual(driver.tick(19), []);
    t.deepEqual(driver.tick(1), ["dispatch r1/2"]);
    t.deepEqual(driver.tick(30), []);
    driver.advance("r1/2", "sent");
    t.deepEqual(driver.advance("r1/2", "complete"), ["forward r1/2", "cancel-attempt r1/1"]);
    t.deepEqual(driver.router.finished.map(result => result.failure), ["cancelled", undefined]);
});

test("guards against a slow request that takes from the retry budget on every tick", t => {
    const driver = new LifecycleDriver();
    driver.router.hedgeAfterMs = 20;
    driver.router.retriesLeft = 0;
    driver.request(get);
    for (let count = 0; count < 10; count++) {
        driver.tick(10);
    }
    t.is(driver.router.retriesLeft, -1);
});

test("guards against silent connections: an idempotent attempt fails over and the pool is reset; a POST waits", t => {
    const driver = new LifecycleDriver();
    for (let index = 0; index < 20; index++) {
        driver.request({ ...get, id: `warm${index}` });
        driver.nowMs += 10;
        driver.advance(`warm${index}/1`, "complete");
    }
    driver.router.finished.length = 0;
    driver.request({ ...get, deadlineAtMs: driver.nowMs + 5000 });
    driver.request({ ...post, id: "r2", deadlineAtMs: driver.nowMs + 5000 });
    const [target] = driver.effects.map(effect => effect.kind === "dispatch" ? effect.target.upstreamId : "");
    t.truthy(target);
    t.deepEqual(driver.tick(90), []);
    t.deepEqual(driver.tick(30).map(effect => effect.replace(/u\d/, "u")), ["reset-pool u", "dispatch r1/2"]);
    t.deepEqual(driver.advance("r1/2", "complete"), ["forward r1/2", "cancel-attempt r1/1"]);
    t.is(driver.inFlight, 1);
});

// Ways in which a request can end before late, repeated or out-of-order events of it arrive.
const endings: Record<string, (driver: LifecycleDriver) => unknown> = {
    "complete": driver => driver.advance("r1/1", "complete"),
    "deadline": driver => driver.tick(1000),
    "caller gone": driver => driver.handle({ kind: "caller-gone", requestId: "r1" }),
    "failed": driver => {
        driver.router.retriesLeft = 0;
        driver.fail("r1/1", "connect-refused");
    },
    "hedge won": driver => {
        driver.router.hedgeAfterMs = 1;
        driver.tick(2);
        driver.advance("r1/2", "complete");
    },
};

for (const [name, endRequest] of Object.entries(endings)) {
    test(`guards against a second answer or finish: late, repeated or out-of-order events after ${name}`, t => {
        const driver = new LifecycleDriver();
        driver.request(get);
        endRequest(driver);
        const finished = driver.router.finished.length;
        driver.log.length = 0;
        for (const attemptId of ["r1/1", "r1/2", "r1/9"]) {
            driver.advance(attemptId, "complete");
            driver.advance(attemptId, "sent");
            Object.values(AttemptFailure).forEach(failure => driver.fail(attemptId, failure));
            driver.handle({ kind: "attempt-overflow", attemptId });
        }
        driver.handle({ kind: "caller-gone", requestId: "r1" });
        driver.tick(5000);
        t.deepEqual(driver.log.filter(logLine => !logLine.startsWith("cancel-attempt")), []);
        t.is(driver.router.finished.length, finished);
        t.is(driver.inFlight, 0);
    });
}

test("guards against early events: a complete response without a head, a head without attempt-sent", t => {
    const driver = new LifecycleDriver();
    driver.request(post);
    driver.handle({ kind: "attempt-head", attemptId: "r1/1", head: okHead, load: undefined });
    t.deepEqual(driver.advance("r1/1", "sent"), []);
    t.deepEqual(driver.fail("r1/1", "timeout"), ["destroy-caller r1"]);
});
