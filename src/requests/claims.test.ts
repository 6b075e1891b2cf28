import test from "ava";
import { FakeCluster, makeCatalogue } from "../../test/fakeEntries.js";
import { evaluateRound, makeClaim } from "./claim.js";
import type { ClaimReply, ClaimRequest } from "./claimMessages.js";
import { ClaimTable } from "./claimTable.js";
import { ActiveEntryLists } from "./entryLists.js";
import { chooseReplicas } from "./replicaSet.js";

const fiveEntryIds = ["e0", "e1", "e2", "e3", "e4"];
const tableLimits = { retentionMs: 1000, maxStoredClaims: 3, maxRetainedBytes: 1000 };

function makeCluster(options: Partial<ConstructorParameters<typeof FakeCluster>[0]> = {}): FakeCluster {
    return new FakeCluster({ seed: 7, entryCount: 5, upstreamCount: 3, ...options });
}

function summariseAnswers(cluster: FakeCluster): Record<string, string> {
    return Object.fromEntries(
        [...cluster.answers].map(([id, answer]) => [id, `${answer.status} ${answer.verdict} ${answer.reason}`]),
    );
}

function makeClaimRequest(key: string, claimId: string, requestHash = "h"): ClaimRequest {
    return { key, claimId, holder: claimId, requestHash, lifetimeMs: 500, replicaSets: [fiveEntryIds] };
}

test("guards against replicas in one availability zone: at most two in each of three, few moves after a removal", t => {
    const ids = Array.from({ length: 16 }, (_, index) => `e${index}`);
    const [list] = makeCatalogue(1, [ids]).entryLists;
    const [smaller] = makeCatalogue(1, [ids.slice(0, 15)]).entryLists;
    const uses = new Map<string, number>();
    for (let index = 0; index < 3000; index++) {
        const set = chooseReplicas(list, `key${index}`);
        const zones = set.map(id => Number(id.slice(1)) % 3);
        t.true([0, 1, 2].every(zone => zones.filter(usedZone => usedZone === zone).length <= 2));
        set.forEach(id => uses.set(id, (uses.get(id) ?? 0) + 1));
        const moved = chooseReplicas(smaller, `key${index}`).filter(id => !set.includes(id)).length;
        t.true(moved <= (set.includes("e15") ? 2 : 0));
    }
    t.is(uses.size, 16);
    t.true(Math.max(...uses.values()) < 2 * Math.min(...uses.values()));
    t.deepEqual(
        [1, 2, 3, 4].map(count => chooseReplicas(makeCatalogue(1, [ids.slice(0, count)]).entryLists[0], "k").length),
        [
            1,
            2,
            3,
            3,
        ],
    );
});

test("guards against two holders of a key at one replica: replies of the claim table", t => {
    const table = new ClaimTable(tableLimits);
    const ask = (request: ClaimRequest, nowMs = 0) => table.request(request, false, nowMs).kind;
    t.is(ask(makeClaimRequest("k1", "a")), "granted");
    t.is(ask(makeClaimRequest("k1", "a")), "granted");
    t.is(ask(makeClaimRequest("k1", "b")), "held");
    t.is(ask(makeClaimRequest("k1", "b", "other")), "mismatch");
    table.release({ key: "k1", claimId: "b" }, 0);
    t.is(ask(makeClaimRequest("k1", "c")), "held");
    table.release({ key: "k1", claimId: "a" }, 0);
    t.is(ask(makeClaimRequest("k1", "a")), "released");
    t.is(ask(makeClaimRequest("k1", "d")), "granted");
    t.is(ask(makeClaimRequest("k2", "d")), "granted");
    t.is(ask(makeClaimRequest("k3", "d")), "granted");
    t.is(ask(makeClaimRequest("k4", "d")), "full");
    t.is(table.request(makeClaimRequest("k5", "e"), true, 0).kind, "abstain");
    table.record({ ...makeClaimRequest("k1", "d"), outcome: { kind: "verdict", verdict: "ran", reason: "x" } }, 400);
    table.release({ key: "k1", claimId: "d" }, 400);
    t.is(ask(makeClaimRequest("k1", "f"), 1399), "outcome");
    t.is(ask(makeClaimRequest("k1", "f"), 1400), "granted");
});

test("guards against unbounded memory: bodies above the limit are dropped, their outcomes are kept", t => {
    const table = new ClaimTable(tableLimits);
    for (const key of ["k1", "k2"]) {
        const response = { status: 200, headers: [], body: Buffer.alloc(600) };
        table.record({ ...makeClaimRequest(key, "a"), outcome: { kind: "response", response } }, 0);
    }
    const bodies = ["k1", "k2"].map(key => {
        const reply = table.request(makeClaimRequest(key, "b"), false, 0);
        return reply.kind === "outcome" && reply.outcome.kind === "response" ? reply.outcome.response.body?.length : -1;
    });
    t.deepEqual(bodies, [600, undefined]);
});

test("guards against a key that is freed by the release of one of two competing claims read after a restart", t => {
    const table = new ClaimTable(tableLimits);
    for (const claimId of ["a", "b", "b"]) {
        table.install({ ...makeClaimRequest("k1", claimId), outcome: undefined }, 0);
    }
    table.release({ key: "k1", claimId: "a" }, 0);
    t.is(table.request(makeClaimRequest("k1", "c"), false, 0).kind, "held");
    table.release({ key: "k1", claimId: "b" }, 0);
    t.is(table.request(makeClaimRequest("k1", "c"), false, 0).kind, "granted");
});

const granted: ClaimReply = { kind: "granted" };
const abstain: ClaimReply = { kind: "abstain" };
const held: ClaimReply = { kind: "held", holder: "e9", claimId: "x" };
const roundCases: readonly {
    readonly name: string;
    readonly sets?: readonly (readonly string[])[];
    readonly replies: Readonly<Record<string, ClaimReply>>;
    /** Incarnation of e1 that e0 reports; the grant of e1 has incarnation 1. */
    readonly incarnationOfE1AtE0?: number;
    readonly heartbeatIncarnationOfE1?: number;
    readonly expected: string;
}[] = [
    { name: "two of five", replies: { e0: granted, e1: granted }, expected: "open" },
    { name: "three of five", replies: { e0: granted, e1: granted, e2: granted }, expected: "granted" },
    { name: "another holder", replies: { e0: granted, e1: granted, e2: granted, e3: held }, expected: "held" },
    {
        name: "void grant",
        replies: { e0: granted, e1: granted, e2: granted },
        incarnationOfE1AtE0: 2,
        expected: "open",
    },
    {
        name: "newer heartbeat",
        replies: { e0: granted, e1: granted, e2: granted },
        heartbeatIncarnationOfE1: 2,
        expected: "open",
    },
    {
        name: "older heartbeat",
        replies: { e0: granted, e1: granted, e2: granted },
        heartbeatIncarnationOfE1: 0,
        expected: "granted",
    },
    { name: "three abstain", replies: { e0: abstain, e1: abstain, e2: abstain }, expected: "unavailable" },
    {
        name: "majority of the new list only",
        sets: [fiveEntryIds, ["e5", "e6", "e7", "e8", "e9"]],
        replies: { e5: granted, e6: granted, e7: granted, e0: granted },
        expected: "open",
    },
];

for (
    const { name, sets = [fiveEntryIds], replies, incarnationOfE1AtE0, heartbeatIncarnationOfE1, expected }
        of roundCases
) {
    test(`guards against two majorities: ${name}`, t => {
        const spec = {
            ownerId: "r",
            key: "k",
            requestHash: "h",
            deadlineAtMs: 1,
            lifetimeMs: 1,
            heldPolicy: "retry",
        } as const;
        const claim = makeClaim(spec, 0);
        claim.request = { ...claim.request, replicaSets: sets };
        for (const [id, reply] of Object.entries(replies)) {
            const known: Record<string, number> = id === "e0" && incarnationOfE1AtE0 !== undefined
                ? { e1: incarnationOfE1AtE0 }
                : {};
            claim.answers.set(id, { claimId: "", reply, incarnation: 1, known });
        }
        const state = evaluateRound(claim, id => id === "e1" ? heartbeatIncarnationOfE1 : undefined);
        t.is<string, string>(state.kind, expected);
    });
}

test("guards against a claim under an older entry list that is missed under a new one", t => {
    let catalogue = makeCatalogue(1, [["e0"]]);
    const lists = new ActiveEntryLists(() => catalogue, 1000);
    const revisions = (nowMs: number) => lists.listActive(nowMs).map(list => list.revision);
    t.deepEqual(revisions(0), [1]);
    catalogue = makeCatalogue(2, [["e0"], ["e1"]]);
    t.deepEqual(revisions(100), [1, 2]);
    catalogue = { ...makeCatalogue(3, [["e0"], ["e1"]]), entryLists: catalogue.entryLists.slice(1) };
    t.deepEqual(revisions(1200), [1, 2]);
    t.deepEqual(revisions(100 + 1000 + 60_000), [2]);
    catalogue = makeCatalogue(4, [["e0"], ["e1"]]);
    t.deepEqual(revisions(100_000), [2]);
});

test("guards against a second run when a resubmission reaches another entry while the first submission runs", t => {
    const cluster = makeCluster({ maxServiceMs: 200 });
    cluster.request("e0", { id: "r1", idempotencyKey: "k" });
    cluster.run(20);
    cluster.request("e1", { id: "r2", idempotencyKey: "k" });
    cluster.request("e2", { id: "r3", idempotencyKey: "k", deadlineAtMs: cluster.nowMs + 30 });
    cluster.request("e0", { id: "r4", idempotencyKey: "k" });
    cluster.run(400);
    t.deepEqual(summariseAnswers(cluster), {
        r1: "200 ran forwarded",
        r2: "200 ran replay",
        r3: "504 may-have-run deadline",
        r4: "200 ran replay",
    });
    t.is(cluster.executions.length, 1);
});

test("guards against a claim that never ends when its holder dies: resubmissions get may-have-run, none runs", t => {
    const cluster = makeCluster({ maxServiceMs: 1000 });
    cluster.request("e0", { id: "r1", idempotencyKey: "k" });
    cluster.run(20);
    cluster.kill("e0");
    cluster.request("e1", { id: "r2", idempotencyKey: "k", deadlineAtMs: cluster.nowMs + 10_000 });
    cluster.run(2000);
    cluster.startEntry("e0");
    cluster.run(600);
    cluster.request("e0", { id: "r3", idempotencyKey: "k", deadlineAtMs: cluster.nowMs + 10_000 });
    cluster.run(500);
    const unknown = "409 may-have-run outcome-unknown";
    t.deepEqual(summariseAnswers(cluster), { r2: unknown, r3: unknown });
    t.is(cluster.executions.length, 1);
});

test("guards against claimants that block each other: of five at once, one runs and four get its response", t => {
    for (let seed = 0; seed < 30; seed++) {
        const cluster = makeCluster({ seed, maxDelayMs: 10 });
        fiveEntryIds.forEach(id => cluster.request(id, { id: `r${id}`, idempotencyKey: "k" }));
        cluster.run(1500);
        t.deepEqual(Object.values(summariseAnswers(cluster)).sort(), [
            "200 ran forwarded",
            ...Array(4).fill("200 ran replay"),
        ]);
        t.is(cluster.executions.length, 1);
    }
});

test("guards against the response of another request: a key reused with another body, path or method is refused", t => {
    const cluster = makeCluster();
    cluster.request("e0", { id: "r1", idempotencyKey: "k" });
    cluster.run(50);
    cluster.request("e1", { id: "r2", idempotencyKey: "k", bodyHash: "other" });
    cluster.request("e2", { id: "r3", idempotencyKey: "k", path: "/other" });
    cluster.request("e3", { id: "r4", idempotencyKey: "k", method: "PATCH" });
    cluster.request("e3", { id: "r5", idempotencyKey: "k" });
    cluster.run(50);
    const reused = "422 not-run key-reused";
    t.deepEqual(summariseAnswers(cluster), {
        r1: "200 ran forwarded",
        r2: reused,
        r3: reused,
        r4: reused,
        r5: "200 ran replay",
    });
});

test("guards against a key that stays claimed: a request that did not run frees it, even if the release is lost", t => {
    const cluster = makeCluster();
    const allUpstreams = [...cluster.upstreams.values()];
    allUpstreams.forEach(upstream => upstream.isAlive = false);
    cluster.request("e0", { id: "r1", idempotencyKey: "k" });
    cluster.run(3);
    fiveEntryIds.forEach(id => cluster.cutLinks.add(`e0>${id}`));
    cluster.run(50);
    allUpstreams.forEach(upstream => upstream.isAlive = true);
    cluster.cutLinks.clear();
    cluster.request("e1", { id: "r2", idempotencyKey: "k" });
    cluster.run(300);
    t.deepEqual(summariseAnswers(cluster), { r1: "503 not-run connect-refused", r2: "200 ran forwarded" });
});

test("guards against a run without a majority: a claimant partitioned from three of five never dispatches", t => {
    const cluster = makeCluster();
    for (const id of ["e2", "e3", "e4"]) {
        cluster.cutLinks.add(`e0>${id}`).add(`${id}>e0`);
    }
    cluster.request("e0", { id: "r1", idempotencyKey: "k" });
    cluster.run(600);
    cluster.cutLinks.clear();
    cluster.run(600);
    t.deepEqual(summariseAnswers(cluster), { r1: "503 may-have-run no-majority" });
    t.is(cluster.executions.length, 0);
    cluster.request("e1", { id: "r2", idempotencyKey: "k" });
    cluster.run(300);
    t.is(summariseAnswers(cluster).r2, "200 ran forwarded");
});

test("guards against lost grants: entries that all restart grant nothing until the retention time has passed", t => {
    const cluster = makeCluster({ claims: { retentionMs: 2000, maxClaimAgeMs: 500 } });
    cluster.request("e0", { id: "r1", idempotencyKey: "k" });
    cluster.run(50);
    fiveEntryIds.forEach(id => {
        cluster.kill(id);
        cluster.startEntry(id);
    });
    cluster.run(500);
    cluster.request("e1", { id: "r2", idempotencyKey: "k" });
    cluster.run(2500);
    cluster.request("e1", { id: "r3", idempotencyKey: "k2" });
    cluster.run(100);
    t.deepEqual(summariseAnswers(cluster), {
        r1: "200 ran forwarded",
        r2: "503 may-have-run no-majority",
        r3: "200 ran forwarded",
    });
});
