import test from "ava";
import fc from "fast-check";
import { FakeCluster, makeCatalogue } from "../../test/fakeEntries.js";
import type { FakeUpstream } from "../../test/fakeRouter.js";
import type { RequestMetadata } from "./model.js";

const listedCount = 5;
const entryCount = 7;
const upstreamCount = 3;

// Most requests reuse one of three keys; the others check that a POST without a key also runs at most once.
const requestKinds: readonly Partial<RequestMetadata>[] = [
    ...["k0", "k1", "k2", "k0", "k1"].map(idempotencyKey => ({ idempotencyKey })),
    { method: "POST", bodyHash: "h" },
    { method: "GET" },
];

interface Step {
    readonly kind: "request" | "kill" | "restart" | "pause" | "cut" | "heal" | "list-change" | "wait" | "crash";
    readonly entry: number;
    readonly other: number;
    readonly durationMs: number;
}

const steps = fc.array(
    fc.record<Step>({
        kind: fc.oneof(
            { weight: 12, arbitrary: fc.constant<Step["kind"]>("request") },
            { weight: 6, arbitrary: fc.constantFrom<Step["kind"]>("kill", "restart", "restart") },
            {
                weight: 5,
                arbitrary: fc.constantFrom<Step["kind"]>("pause", "cut", "heal", "wait", "list-change", "crash"),
            },
        ),
        entry: fc.nat(entryCount - 1),
        other: fc.nat(entryCount - 1),
        durationMs: fc.nat(150),
    }),
    { minLength: 10, maxLength: 40 },
);

function apply(cluster: FakeCluster, step: Step, index: number): void {
    const id = `e${step.entry}`;
    const otherId = `e${step.other}`;
    const entry = cluster.entry(id);
    switch (step.kind) {
        case "request":
            if (entry.isAlive) {
                entry.router.hedgeAfterMs = 20;
                cluster.request(id, { id: `r${index}`, ...requestKinds[step.other] });
            }
            return;
        case "crash":
            return crashUpstream(cluster, cluster.upstreams.get(`u${step.other % upstreamCount}`));
        case "kill":
            return cluster.kill(id);
        case "restart":
            cluster.kill(id);
            return cluster.startEntry(id);
        case "pause":
            entry.pausedUntilMs = cluster.nowMs + step.durationMs * 10;
            return;
        case "cut":
            cluster.cutLinks.add(`${id}>${otherId}`).add(`${otherId}>${id}`);
            return;
        case "heal":
            return cluster.cutLinks.clear();
        case "list-change":
            return changeEntryList(cluster, step);
        case "wait":
            return cluster.run(step.durationMs * 4);
    }
}

function crashUpstream(cluster: FakeCluster, upstream: FakeUpstream | undefined): void {
    if (upstream?.isAlive) {
        cluster.crash(upstream);
        cluster.schedule(200, () => {
            upstream.isAlive = true;
            upstream.incarnation++;
        });
    }
}

// Entries receive the new entry list one after the other.
function changeEntryList(cluster: FakeCluster, { entry, other }: Step): void {
    const newest = [...cluster.catalogues.values()].reduce((a, b) => a.revision > b.revision ? a : b);
    const ids = [...Array(entryCount).keys()].filter(index => index !== entry && index !== other).map(index =>
        `e${index}`
    );
    const next = makeCatalogue(newest.revision + 1, [...newest.entryLists.map(list => list.entryIds), ids]);
    [...cluster.entries.keys()].forEach((id, index) =>
        cluster.schedule(index * 60, () => cluster.updateCatalogue(id, next))
    );
}

function runSteps(seed: number, all: readonly Step[]): FakeCluster {
    const cluster = new FakeCluster({
        seed,
        entryCount,
        listedCount,
        upstreamCount,
        messageFaultRate: 0.15,
        maxDelayMs: 40,
        maxServiceMs: 60,
    });
    all.forEach((step, index) => {
        apply(cluster, step, index);
        cluster.run(step.durationMs / 3);
    });
    cluster.run(2500);
    return cluster;
}

function findViolation(cluster: FakeCluster): string | undefined {
    const bodies = cluster.executions.filter(execution => !cluster.isGet(execution.requestId)).map(execution =>
        execution.body
    );
    const doubled = bodies.find((body, index) => bodies.indexOf(body) !== index);
    if (doubled !== undefined) {
        return `${doubled} ran twice`;
    }
    if (cluster.falseNotRun.length > 0) {
        return cluster.falseNotRun[0];
    }
    for (const [id, answer] of cluster.answers) {
        const runs = cluster.executions.filter(execution => execution.requestId === id).length;
        if (answer.verdict === "not-run" && runs > 0) {
            return `${id} was answered not-run (${answer.reason}) and ran`;
        }
        if (answer.body !== "" && answer.body !== cluster.keyOf(id)) {
            return `${id} got the answer of ${answer.body}`;
        }
    }
    return undefined;
}

test("guards against double runs, wrong not-run and mixed-up responses under kills, pauses, cuts and list changes", t => {
    let executionCount = 0;
    let answerCount = 0;
    fc.assert(
        fc.property(fc.nat(), steps, (seed, all) => {
            const cluster = runSteps(seed, all);
            executionCount += cluster.executions.length;
            answerCount += cluster.answers.size;
            t.is(findViolation(cluster), undefined);
        }),
        { seed: 20261204, numRuns: 300, endOnFailure: true },
    );
    // A cluster that refuses every request would pass without testing anything.
    t.true(executionCount > 300, `${executionCount} runs`);
    t.true(answerCount > 1000, `${answerCount} requests were answered`);
});

test("guards against lost claims when two of five replicas are killed at once and restart", t => {
    for (let seed = 0; seed < 20; seed++) {
        const cluster = new FakeCluster({ seed, entryCount: listedCount, upstreamCount: 3 });
        cluster.request("e0", { id: "first", idempotencyKey: "k1" });
        cluster.run(60);
        const [one, other] = [1 + seed % 4, 1 + (seed + 1 + Math.floor(seed / 4) % 3) % 4];
        cluster.kill(`e${one}`);
        cluster.kill(`e${other}`);
        cluster.request("e0", { id: "new", idempotencyKey: "k2" });
        cluster.request("e0", { id: "again", idempotencyKey: "k1" });
        cluster.run(60);
        cluster.startEntry(`e${one}`);
        cluster.startEntry(`e${other}`);
        cluster.run(600);
        cluster.request(`e${one}`, { id: "later", idempotencyKey: "k2" });
        cluster.request(`e${other}`, { id: "fresh", idempotencyKey: "k3" });
        cluster.run(60);
        t.deepEqual([...cluster.answers].map(([id, answer]) => `${id}:${answer.reason}`).sort(), [
            "again:replay",
            "first:forwarded",
            "fresh:forwarded",
            "later:replay",
            "new:forwarded",
        ]);
        t.is(cluster.executions.length, 3);
    }
});
