import test from "ava";
import { SeededRandom } from "../core/random.js";
import { CatalogueState } from "./catalogueState.js";
import type { ChangeCommand, ControlEffect, LogRecord, PersistedState, ReplicationMessage } from "./messages.js";
import { Replica } from "./replica.js";

const members = {
    voters: ["a", "b", "c"].map(id => ({ id, peerAddress: `${id}:1` })),
    learners: [],
};

function changeRecord(index: number, term: number): LogRecord {
    const change = {
        changeId: `change-${index}`,
        baseRevision: index - 1,
        operation: {
            kind: "declare" as const,
            declarations: { services: [], entryVms: [], runbookCommands: [] },
        },
        operator: "ann",
        from: "::1",
        proposedAtMs: 0,
        groupTimeMs: 0,
        problem: undefined,
    };
    return { index, term, command: { kind: "change", change } };
}

function makeReplica(records: readonly LogRecord[], term: number) {
    const snapshot = { index: 0, term: 0, members, state: new Uint8Array() };
    const persisted: PersistedState = { term, votedFor: undefined, snapshot, records };
    const machine = new CatalogueState();
    const replica = new Replica({ selfId: "a", persisted, machine, random: new SeededRandom(1), nowMs: 0 });
    const receive = (from: string, message: ReplicationMessage, nowMs = 5000) =>
        replica.handle({ kind: "message", from, message }, nowMs);
    return { replica, machine, receive };
}

function largeRecord(index: number): LogRecord {
    const record = changeRecord(index, 1);
    const from = "x".repeat(900 * 1024);
    return record.command.kind === "change"
        ? { ...record, command: { kind: "change", change: { ...record.command.change as ChangeCommand, from } } }
        : record;
}

function listSent(effects: readonly ControlEffect[], kind: ReplicationMessage["kind"]): readonly ReplicationMessage[] {
    return effects.flatMap(effect => effect.kind === "send" && effect.message.kind === kind ? [effect.message] : []);
}

/** Makes the replica win the election of the next term with the vote of `b`. */
function elect({ replica, receive }: ReturnType<typeof makeReplica>): void {
    replica.tick(5000);
    const term = replica.term + 1;
    receive("b", { kind: "pre-vote-answer", term, isGranted: true });
    receive("b", { kind: "vote-answer", term, isGranted: true });
}

const voteCases: readonly {
    name: string;
    voteRequest: { kind: "vote" | "pre-vote"; term: number; lastIndex: number; lastTerm: number; };
    isGranted: boolean;
}[] = [
    { name: "a shorter log", voteRequest: { kind: "vote", term: 3, lastIndex: 1, lastTerm: 2 }, isGranted: false },
    {
        name: "a log of an older term",
        voteRequest: { kind: "vote", term: 3, lastIndex: 9, lastTerm: 1 },
        isGranted: false,
    },
    { name: "an equal log", voteRequest: { kind: "vote", term: 3, lastIndex: 2, lastTerm: 2 }, isGranted: true },
    { name: "a past term", voteRequest: { kind: "vote", term: 1, lastIndex: 9, lastTerm: 2 }, isGranted: false },
    { name: "a shorter log", voteRequest: { kind: "pre-vote", term: 3, lastIndex: 1, lastTerm: 2 }, isGranted: false },
    { name: "an equal log", voteRequest: { kind: "pre-vote", term: 3, lastIndex: 2, lastTerm: 2 }, isGranted: true },
];

for (const { name, voteRequest, isGranted } of voteCases) {
    test(`guards against a leader that lacks committed changes: ${voteRequest.kind} for ${name} is ${isGranted}`, t => {
        const { receive } = makeReplica([changeRecord(1, 1), changeRecord(2, 2)], 2);
        const effects = receive("b", voteRequest);
        t.like(listSent(effects, `${voteRequest.kind}-answer`)[0], { isGranted });
        const isSaved = effects.some(effect => effect.kind === "save-vote" && effect.votedFor === "b");
        t.is(isSaved, isGranted && voteRequest.kind === "vote", "a vote is saved, a pre-vote changes nothing");
    });
}

test("guards against two votes in one term", t => {
    const { receive } = makeReplica([], 2);
    const voteRequest = { kind: "vote", term: 3, lastIndex: 5, lastTerm: 2 } as const;
    t.like(listSent(receive("b", voteRequest), "vote-answer")[0], { isGranted: true });
    t.like(listSent(receive("c", voteRequest), "vote-answer")[0], { isGranted: false });
    t.like(listSent(receive("b", voteRequest), "vote-answer")[0], { isGranted: true }, "a repeated request");
});

test("guards against disruption of a leader: a pre-vote is refused during contact with a leader", t => {
    const { receive } = makeReplica([], 2);
    const heartbeat = { previousIndex: 0, previousTerm: 0, records: [], commitIndex: 0, round: 0 };
    receive("b", { kind: "append", term: 2, ...heartbeat }, 5000);
    const voteRequest = { kind: "pre-vote", term: 3, lastIndex: 5, lastTerm: 2 } as const;
    t.like(listSent(receive("c", voteRequest, 5300), "pre-vote-answer")[0], { isGranted: false });
    t.like(listSent(receive("c", voteRequest, 6000), "pre-vote-answer")[0], { isGranted: true });
});

test("guards against a reverted change: records of older terms are committed only with one of the leader's term", t => {
    const group = makeReplica([changeRecord(1, 1), changeRecord(2, 2)], 3);
    elect(group);
    t.is(group.replica.role, "leader");
    const answer = { kind: "append-answer", term: 4, isMatch: true, round: 0, revision: 0 } as const;
    group.receive("b", { ...answer, matchIndex: 2 });
    t.is(group.machine.revision, 0, "another leader could still replace record 2");
    group.receive("b", { ...answer, matchIndex: 3 });
    t.is(group.machine.revision, 2);
});

test("guards against a read or a change on a leader that lost its quorum", t => {
    const group = makeReplica([], 1);
    elect(group);
    const read = group.replica.handle({ kind: "read", requestId: 1 }, 5100);
    t.false(read.some(effect => effect.kind === "answer"), "the read waits for a quorum");
    const late = group.replica.handle({ kind: "read", requestId: 2 }, 9000);
    const answers = late.flatMap(effect => effect.kind === "answer" ? [[effect.requestId, effect.answer.kind]] : []);
    t.deepEqual(answers, [[1, "lost"], [2, "refused"]]);
    t.is(group.replica.role, "follower");
});

test("guards against messages above the channel's limit: large records are sent in several messages", t => {
    const group = makeReplica(Array.from({ length: 30 }, (_unused, position) => largeRecord(position + 1)), 1);
    elect(group);
    const mismatch = { kind: "append-answer", term: 2, isMatch: false, matchIndex: 0, round: 0, revision: 0 } as const;
    let effects = group.receive("b", mismatch);
    let receivedIndex = 0;
    while (receivedIndex < 31) {
        const batches = listSent(effects, "append").flatMap(message =>
            message.kind === "append" ? [message.records] : []
        );
        t.is(batches.length, 1);
        t.true(batches[0].length >= 1 && Buffer.byteLength(JSON.stringify(batches[0])) < 4 * 1024 * 1024);
        receivedIndex = batches[0][batches[0].length - 1].index;
        effects = group.receive("b", { ...mismatch, isMatch: true, matchIndex: receivedIndex });
    }
    t.is(receivedIndex, 31);
});

const confirmationCases: readonly {
    readonly name: string;
    readonly commitIndex: number;
    readonly changesEcho: (sentAtMs: number) => number | undefined;
    readonly confirmedAtMs: number;
}[] = [
    { name: "an echoed answer", commitIndex: 1, changesEcho: sentAtMs => sentAtMs, confirmedAtMs: 5000 },
    { name: "missing records", commitIndex: 2, changesEcho: sentAtMs => sentAtMs, confirmedAtMs: -Infinity },
    { name: "an answer of an earlier process", commitIndex: 1, changesEcho: () => 4321, confirmedAtMs: -Infinity },
    { name: "no confirmed answer", commitIndex: 1, changesEcho: () => -1, confirmedAtMs: -Infinity },
    { name: "a leader of an earlier version", commitIndex: 1, changesEcho: () => undefined, confirmedAtMs: 5400 },
];

for (const { name, commitIndex, changesEcho, confirmedAtMs } of confirmationCases) {
    test(`guards against a state that is confirmed later than a quorum answered: ${name}`, t => {
        const { replica, receive } = makeReplica([], 2);
        const heartbeat = { previousIndex: 0, previousTerm: 0, records: [changeRecord(1, 2)], round: 1 };
        const first = { kind: "append", term: 2, ...heartbeat, commitIndex: 0, confirmedAtMs: -1 } as const;
        const [answer] = listSent(receive("b", first, 5000), "append-answer");
        const sentAtMs = answer.kind === "append-answer" ? answer.sentAtMs ?? -1 : -1;
        t.is(replica.confirmedAtMs, -Infinity, "nothing was confirmed");
        receive("b", { ...first, commitIndex, confirmedAtMs: changesEcho(sentAtMs) }, 5400);
        t.is(replica.confirmedAtMs, confirmedAtMs);
    });
}

test("guards against a leader that confirms its state by answers that came before a round", t => {
    const group = makeReplica([], 1);
    elect(group);
    const answer = { kind: "append-answer", term: 2, isMatch: true, matchIndex: 1, revision: 0 } as const;
    const confirmationsTo = (effects: readonly ControlEffect[]) =>
        listSent(effects, "append").map(message => message.kind === "append" ? message.confirmedAtMs : undefined);
    t.deepEqual(confirmationsTo(group.receive("b", { ...answer, round: 1, sentAtMs: 70 }, 5010)), [-1, -1]);
    t.deepEqual(
        confirmationsTo(group.receive("b", { ...answer, round: 2, sentAtMs: 80 }, 5020)),
        [70, -1],
        "the second round confirms the answer to the first",
    );
    t.is(group.replica.confirmedAtMs, 5010, "the second round was started then");
});

test("guards against a follower that believes a leader of an earlier version, which confirms before it has committed", t => {
    const { replica, receive } = makeReplica([changeRecord(1, 1), changeRecord(2, 1)], 1);
    const message = {
        kind: "append" as const,
        term: 2,
        previousIndex: 2,
        previousTerm: 1,
        records: [],
        commitIndex: 0,
        round: 1,
        confirmedAtMs: -1,
    };
    const [answer] = listSent(receive("b", message, 5000), "append-answer");
    t.like(answer, { sentAtMs: 5000 });
    receive("b", { ...message, round: 2, confirmedAtMs: 5000 }, 5010);
    t.false(replica.isLed(5010), "the leader has committed nothing in its term");
    const records: LogRecord[] = [{ index: 3, term: 2, command: { kind: "no-op" } }];
    receive("b", { ...message, records, commitIndex: 3, round: 3, confirmedAtMs: 5000 }, 5020);
    t.true(replica.isLed(5020));
    t.is(replica.confirmedAtMs, 5000);
});

test("guards against a leader that confirms to followers of an earlier version before it has committed", t => {
    const group = makeReplica([changeRecord(1, 1), changeRecord(2, 1)], 1);
    elect(group);
    const { replica, receive } = group;
    const term = replica.term;
    const answer = { kind: "append-answer" as const, term, isMatch: false, matchIndex: 0, revision: 0, round: 0 };
    const confirmations = [1, 2, 3].flatMap(round => {
        const effects = receive("b", { ...answer, round, sentAtMs: 100 * round }, 5000 + round);
        return listSent(effects, "append").map(sent => sent.kind === "append" ? sent.confirmedAtMs : undefined);
    });
    t.true(confirmations.length > 0);
    t.deepEqual(confirmations.filter(confirmedAtMs => confirmedAtMs !== -1), []);
});
