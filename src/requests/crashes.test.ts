import test from "ava";
import { FakeCluster } from "../../test/fakeEntries.js";
import type { RequestMetadata } from "./model.js";

const entryIds = ["e0", "e1", "e2", "e3", "e4"];

function makeCluster(seed: number, upstreamCount: number): FakeCluster {
    const cluster = new FakeCluster({ seed, entryCount: 5, upstreamCount, maxDelayMs: 4, maxServiceMs: 20 });
    cluster.poisonPaths.add("/poison");
    cluster.run(1500);
    return cluster;
}

const poisonCases: readonly {
    readonly name: string;
    readonly metadata: Partial<RequestMetadata>;
    readonly firstVerdict: string;
}[] = [
    { name: "GET", metadata: { method: "GET" }, firstVerdict: "may-have-run crash-suspect" },
    { name: "POST", metadata: {}, firstVerdict: "may-have-run reset" },
    { name: "POST with a new key each time", metadata: { idempotencyKey: "k" }, firstVerdict: "may-have-run reset" },
];

for (const { name, metadata, firstVerdict } of poisonCases) {
    test(`guards against a request that crashes one instance after another: ${name}, resubmitted to all entries`, t => {
        for (let seed = 0; seed < 10; seed++) {
            const cluster = makeCluster(seed, 10);
            for (let round = 0; round < 8; round++) {
                const idempotencyKey = metadata.idempotencyKey && `k${round}`;
                const id = `r${round}`;
                cluster.request(entryIds[round % 5], {
                    ...metadata,
                    id,
                    path: "/poison",
                    bodyHash: "h",
                    idempotencyKey,
                });
                cluster.run(400);
            }
            const answers = [...cluster.answers.values()].map(answer => `${answer.verdict} ${answer.reason}`);
            t.is(answers[0], firstVerdict);
            t.deepEqual(answers.slice(2), Array(6).fill("not-run crash-suspect"));
            t.is(cluster.lostUpstreams, 2);
        }
    });
}

test("guards against a third loss when resubmissions reach all entries at once after the first answer", t => {
    for (let seed = 0; seed < 30; seed++) {
        const cluster = makeCluster(seed, 10);
        cluster.request("e0", { id: "r", path: "/poison", bodyHash: "h" });
        cluster.run(100);
        entryIds.forEach(id => cluster.request(id, { id: `r-${id}`, path: "/poison", bodyHash: "h" }));
        cluster.run(3000);
        t.is(cluster.lostUpstreams, 2);
        t.is(cluster.answers.size, 6);
    }
});

test("guards against a third loss through an entry that does not receive the report of the second loss", t => {
    for (let seed = 0; seed < 10; seed++) {
        const cluster = makeCluster(seed, 10);
        for (const [index, id] of ["e0", "e1", "e4", "e4"].entries()) {
            cluster.request(id, { id: `r${index}`, path: "/poison", bodyHash: "h" });
            cluster.run(400);
            cluster.cutLinks.add("e1>e4");
        }
        const reasons = [...cluster.answers.values()].map(answer => answer.reason);
        t.deepEqual(reasons, ["reset", "reset", "crash-suspect", "crash-suspect"]);
        t.is(cluster.lostUpstreams, 2);
    }
});

test("guards against refusing harmless requests: idempotent ones on a lost instance are answered and cleared", t => {
    let trials = 0;
    for (let seed = 0; seed < 30; seed++) {
        const cluster = makeCluster(seed, 3);
        cluster.request("e0", { id: "poison", method: "GET", path: "/poison" });
        for (let index = 0; index < 30; index++) {
            const path = `/innocent${index}`;
            cluster.request(entryIds[index % 5], { id: `r${index}`, method: "GET", path });
        }
        cluster.run(1500);
        const harmlessReasons = [...cluster.answers].filter(([id]) => id !== "poison").map(([, answer]) =>
            answer.reason
        );
        t.deepEqual(harmlessReasons, Array(30).fill("forwarded"));
        t.is(cluster.answers.get("poison")?.reason, "crash-suspect");
        t.is(cluster.lostUpstreams, 2);
        trials += countTrialMessages(cluster);
        cluster.effects.length = 0;
        for (let index = 0; index < 30; index++) {
            cluster.request("e4", { id: `again${index}`, method: "GET", path: `/innocent${index}` });
        }
        cluster.run(200);
        t.is(countTrialMessages(cluster), 0);
    }
    t.true(trials > 100, `${trials} messages about trials`);
});

function countTrialMessages(cluster: FakeCluster): number {
    const isTrialMessage = (params: unknown) => String((params as { readonly key?: string; }).key).startsWith("trial");
    return cluster.effects.filter(effect => effect.kind === "send-peer" && isTrialMessage(effect.message.params))
        .length;
}

test("guards against false suspects: a reset is not a loss if its instance still accepts connections", t => {
    const cluster = makeCluster(1, 3);
    cluster.request("e0", { id: "r1", method: "GET" });
    cluster.run(10);
    cluster.upstreams.forEach(upstream => cluster.resetConnections(upstream));
    cluster.run(200);
    t.is(cluster.answers.get("r1")?.reason, "forwarded");
    t.is(countTrialMessages(cluster), 0);
    t.false(cluster.effects.some(effect => effect.kind === "send-peer" && effect.message.method === "crash.suspect"));
});

test("guards against a missed loss if the instance restarts before the check: its new incarnation reveals it", t => {
    const cluster = makeCluster(1, 5);
    cluster.request("e0", { id: "r1", path: "/slow" });
    cluster.run(10);
    cluster.upstreams.forEach(upstream => cluster.resetConnections(upstream));
    cluster.run(100);
    cluster.upstreams.forEach(upstream => upstream.incarnation++);
    cluster.run(100);
    t.is(cluster.answers.get("r1")?.reason, "reset");
    t.true(cluster.effects.some(effect => effect.kind === "send-peer" && effect.message.method === "crash.suspect"));
});

test("guards against an answer before the other entries know the suspect, and against an unbounded wait", t => {
    for (const isCut of [false, true]) {
        const cluster = makeCluster(1, 5);
        if (isCut) {
            entryIds.forEach(id => cluster.cutLinks.add(`e0>${id}`));
        }
        const startedAtMs = cluster.nowMs;
        cluster.request("e0", { id: "r1", path: "/poison" });
        let answeredAfterMs = 0;
        for (; !cluster.answers.has("r1") && answeredAfterMs < 1000; answeredAfterMs = cluster.nowMs - startedAtMs) {
            cluster.run(5);
            const acknowledged = cluster.effects.filter(effect =>
                effect.kind === "send-peer" && effect.message.method === "crash.acknowledge"
            ).length;
            t.true(isCut || !cluster.answers.has("r1") || acknowledged >= 4);
        }
        t.is(cluster.answers.get("r1")?.verdict, "may-have-run");
        t.true(answeredAfterMs <= 300);
        t.is(cluster.lostUpstreams, 1);
    }
});
