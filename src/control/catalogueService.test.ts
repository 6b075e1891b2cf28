import test from "ava";
import type { EntryVm, Service } from "../catalogue/model.js";
import { ManualClock } from "../core/clock.js";
import { CatalogueLog } from "./catalogueLog.js";
import { CatalogueService } from "./catalogueService.js";
import { CatalogueState } from "./catalogueState.js";
import { EntryTable } from "./entryTable.js";
import type { ChangeCommand, ChangeResult } from "./messages.js";
import type { ApplyAnswer, ChangeOperation, ConfigSyncParams, VoterStatus } from "./operatorApi.js";
import type { ProposalOutcome } from "./replicatedLog.js";

/** Log that answers with the next of `nextOutcomes`, or else `applied`; it applies each change that is not refused. */
class FakeLog extends CatalogueLog {
    readonly state = new CatalogueState();
    readonly selfId = "a1";
    isLeader = true;
    leaderAddress: string | undefined;
    nextOutcomes: ProposalOutcome<ChangeResult>["kind"][] = [];
    confirmations = 0;

    propose(change: ChangeCommand): Promise<ProposalOutcome<ChangeResult>> {
        const kind = this.nextOutcomes.shift() ?? "applied";
        const result = kind === "refused" ? undefined : this.state.apply(change);
        return Promise.resolve(
            kind === "applied" && result !== undefined ? { kind, result } : { kind } as ProposalOutcome<ChangeResult>,
        );
    }

    confirmLeadership(): Promise<boolean> {
        this.confirmations++;
        return Promise.resolve(this.isLeader);
    }

    listVoters(): readonly VoterStatus[] {
        return [];
    }
}

const service: Service = {
    name: "orders",
    owner: "ann",
    class: "interactive",
    limits: {
        maxInFlight: 100,
        requestsPerSecond: 100,
        maxQueuedPerEntry: 10,
        maxPerCallerPerEntry: 10,
        maxBodyBytes: 1024,
        defaultDeadlineMs: 1000,
    },
    policy: "random",
    measuringBudgetMsPerSecond: 10,
    probeCostMs: 1,
    retryRatio: 0.1,
    hedging: { enabled: false, afterQuantile: 0.99 },
    idempotentMethods: ["GET"],
    rampMs: 0,
};

function makeVm(id: string, region: string): EntryVm {
    const port = 2000 + [...id].reduce((sum, letter) => sum * 2 + letter.charCodeAt(0), 0);
    const availabilityZone = `${region}-1`;
    const address = `127.0.0.1:${port}`;
    return { id, region, availabilityZone, address, peerAddress: `127.0.0.2:${port}`, state: "active" };
}

function declare(...entryVms: readonly EntryVm[]): ChangeOperation {
    return { kind: "declare", declarations: { services: [service], entryVms, runbookCommands: [] } };
}

function setLimit(value: number): ChangeOperation {
    return { kind: "set-service-limit", service: "orders", limit: "maxInFlight", value };
}

function syncParams(entryId: string, revision: number): ConfigSyncParams {
    return {
        entryId,
        availabilityZone: "east-1",
        region: "east",
        incarnation: 1,
        revision,
        isDraining: false,
        isConfirmed: true,
        measuringSpentMsPerSecond: {},
        upstreams: [],
        problems: [],
    };
}

const eastVms = ["e1", "e2", "e3"].map(id => makeVm(id, "east"));
const westVms = ["w1", "w2", "w3"].map(id => makeVm(id, "west"));

function setUp() {
    const log = new FakeLog();
    const entries = new EntryTable();
    const service = new CatalogueService(log, entries, new ManualClock(), 50);
    const apply = (changeId: string, baseRevision: number, operation: ChangeOperation, operator = "ann") =>
        service.answer("catalogue.apply", { changeId, baseRevision, operation }, { operator, from: "::1" }) as Promise<
            ApplyAnswer
        >;
    const markHeld = (ids: readonly string[], revision: number) =>
        ids.forEach(id => entries.record(syncParams(id, revision), 0));
    return { log, entries, service, apply, markHeld };
}

/** Entries that hold the change, and the outcome that the operator gets. */
const holdingCases: readonly { name: string; holding: readonly string[]; expected: ApplyAnswer["outcome"]; }[] = [
    { name: "no entry", holding: [], expected: "pending" },
    { name: "a majority of one region only", holding: ["e1", "e2", "e3", "w1"], expected: "pending" },
    { name: "a majority of all entries but not of each region", holding: ["e1", "e2", "e3"], expected: "pending" },
    { name: "a majority of each region", holding: ["e1", "e2", "w2", "w3"], expected: "accepted" },
];

for (const { name, holding, expected } of holdingCases) {
    test(`guards against acceptance before the entries hold the change: ${name}`, async t => {
        const { apply, markHeld } = setUp();
        t.is(
            (await apply("first", 0, declare(...eastVms, ...westVms))).outcome,
            "accepted",
            "the previous entry list was empty",
        );
        const answer = apply("second", 1, setLimit(7));
        markHeld(holding, 2);
        const { outcome, revision, entriesTotal } = await answer;
        t.deepEqual([outcome, revision, entriesTotal], [expected, 2, 6]);
    });
}

test("a resend of a pending change returns its final outcome and original revision", async t => {
    const { log, apply, markHeld } = setUp();
    await apply("first", 0, declare(...eastVms));
    t.is((await apply("second", 1, setLimit(7))).outcome, "pending");
    markHeld(["e1", "e2"], 3);
    await apply("third", 2, setLimit(8));
    const resendAnswer = await apply("second", 1, setLimit(7));
    t.deepEqual([resendAnswer.outcome, resendAnswer.revision], ["accepted", 2]);
    t.is(log.state.revision, 3);
});

test("guards against a wrong majority when a change adds or removes entries", async t => {
    const { apply, markHeld } = setUp();
    await apply("first", 0, declare(...eastVms));
    const additionAnswer = apply("second", 1, declare(...eastVms, makeVm("e4", "east"), makeVm("e5", "east")));
    markHeld(["e1", "e2"], 2);
    t.is((await additionAnswer).outcome, "accepted", "added entries are not waited for");
    const removalAnswer = apply("third", 2, declare(eastVms[0]));
    markHeld(["e1"], 3);
    t.is((await removalAnswer).outcome, "pending", "removed entries still confirm the old revision with each other");
});

/** Commands that follow a change by another operator, and their outcomes. */
const raceCases: readonly {
    name: string;
    changeId: string;
    base: number;
    operation: ChangeOperation;
    expected: ApplyAnswer["outcome"];
    winner?: string;
}[] = [
    { name: "a concurrent change", changeId: "b", base: 0, operation: setLimit(1), expected: "conflict", winner: "a" },
    { name: "a resend", changeId: "a", base: 0, operation: declare(), expected: "accepted" },
    { name: "a reused change id", changeId: "a", base: 1, operation: setLimit(1), expected: "rejected" },
    { name: "a future base revision", changeId: "c", base: 9, operation: setLimit(1), expected: "conflict" },
    { name: "an invalid value", changeId: "d", base: 1, operation: setLimit(-1), expected: "rejected" },
    {
        name: "an unknown entry",
        changeId: "e",
        base: 1,
        operation: { kind: "set-entry-vm-state", entryId: "x", state: "draining" },
        expected: "rejected",
    },
    { name: "a malformed operation", changeId: "f", base: 1, operation: { kind: "x" } as never, expected: "rejected" },
];

for (const { name, changeId, base, operation, expected, winner } of raceCases) {
    test(`guards against a lost update: ${name} is ${expected}`, async t => {
        const { log, apply } = setUp();
        t.is((await apply("a", 0, declare())).outcome, "accepted");
        const answer = await apply(changeId, base, operation, "bob");
        t.is(answer.outcome, expected, answer.detail);
        t.is(answer.winner?.changeId, winner);
        t.is(answer.winner?.operator, winner === undefined ? undefined : "ann");
        t.is(log.state.revision, 1);
        t.deepEqual(await apply(changeId, base, operation, "bob"), answer, "a resend gets the same answer");
    });
}

test("guards against a change applied twice: a resend determines an unknown outcome", async t => {
    const { log, apply } = setUp();
    log.nextOutcomes = ["unknown"];
    t.is((await apply("a", 0, declare())).outcome, "unknown");
    t.is((await apply("a", 0, declare())).outcome, "accepted");
    t.is(log.state.revision, 1);
    log.nextOutcomes = ["refused"];
    await t.throwsAsync(apply("b", 1, setLimit(3)), { message: /no control VM leads/ });
    t.is(log.state.revision, 1);
});

test("config.sync sends the catalogue to an outdated entry, and the leader's address on a follower", async t => {
    const { log, service, apply } = setUp();
    await apply("a", 0, declare());
    const outdatedAnswer = await service.sync(syncParams("e1", 0));
    t.deepEqual([outdatedAnswer.isQuorumConfirmed, outdatedAnswer.revision, outdatedAnswer.catalogue?.revision], [
        true,
        1,
        1,
    ]);
    t.is((await service.sync(syncParams("e1", 1))).catalogue, undefined);
    log.isLeader = false;
    log.leaderAddress = "127.0.0.1:7";
    const followerAnswer = await service.sync(syncParams("e1", 1));
    t.deepEqual([followerAnswer.isQuorumConfirmed, followerAnswer.leaderAddress], [false, "127.0.0.1:7"]);
});

test("guards against lost claims of a replaced entry list: entry lists are retained for 11 min of group time", t => {
    const state = new CatalogueState();
    const minuteMs = 60_000;
    const apply = (minute: number, operation: ChangeOperation) =>
        state.apply({
            changeId: `at-${minute}`,
            baseRevision: state.revision,
            operation,
            operator: "ann",
            from: "::1",
            proposedAtMs: 0,
            groupTimeMs: minute * minuteMs,
            problem: undefined,
        });
    apply(0, declare(eastVms[0]));
    apply(1, declare(eastVms[0], eastVms[1]));
    apply(12, declare(...eastVms));
    t.deepEqual(state.current.entryLists.map(list => list.revision), [1, 2, 3]);
    const restored = new CatalogueState();
    restored.restore(state.toBytes());
    t.deepEqual(restored.toBytes(), state.toBytes(), "a snapshot contains the whole state");
    apply(13, setLimit(5));
    t.deepEqual(state.current.entryLists.map(list => list.revision), [2, 3]);
    apply(3, setLimit(6));
    t.deepEqual(state.current.entryLists.map(list => list.revision), [2, 3], "a leader whose group time is behind");
});
