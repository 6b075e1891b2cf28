import test from "ava";
import fs from "node:fs";
import {
    CatalogueState,
    type ControlEffect,
    ManualClock,
    type Member,
    type PersistedState,
    Replica,
    SeededRandom,
} from "../src/index.js";

// The text between the two markers is the example in docs/embedding.md.
// example-begin
function runEmbeddedControl(): readonly ControlEffect[] {
    const clock = new ManualClock();
    const self: Member = { id: "control-1", peerAddress: "10.0.0.1:9091" };
    const persisted: PersistedState = { term: 0, votedFor: undefined, snapshot: undefined, records: [] };
    const machine = new CatalogueState();
    const random = new SeededRandom(7);
    const replica = new Replica({ selfId: self.id, persisted, machine, random, nowMs: clock.monotonicMs() });

    // A new group with one member elects itself at its next tick.
    const effects = [...replica.handle({ kind: "found", members: { voters: [self], learners: [] } }, 0)];
    clock.advance(1);
    effects.push(...replica.tick(clock.monotonicMs()));

    // An operator's change. With more members, the program would carry `send` effects to the other replicas and hand
    // their answers in as `message` events before this one is applied.
    const change = {
        changeId: "first-change",
        baseRevision: 0,
        operation: { kind: "declare", declarations: { services: [], entryVms: [], runbookCommands: [] } },
        operator: "operator-1",
        from: "10.0.9.9:50000",
        proposedAtMs: clock.now().getTime(),
        groupTimeMs: clock.monotonicMs(),
        problem: undefined,
    } as const;
    const command = { kind: "change", change } as const;
    effects.push(...replica.handle({ kind: "propose", requestId: 1, command }, clock.monotonicMs()));

    // A read is confirmed by a quorum round that starts after it was asked for.
    effects.push(...replica.handle({ kind: "read", requestId: 2 }, clock.monotonicMs()));
    return effects;
}
// example-end

test("guards against an example that does not run, and a change applied before its record is on disk", t => {
    const effects = runEmbeddedControl();
    const answers = effects.flatMap(effect => effect.kind === "answer" ? [effect.answer] : []);
    t.deepEqual(answers.map(answer => answer.kind), ["applied", "confirmed"]);
    t.like(answers[0], { result: { outcome: "accepted", revision: 1 } });
    const kinds = effects.map(effect => effect.kind);
    t.true(kinds.lastIndexOf("sync") < kinds.indexOf("answer"));
});

test("guards against documentation that differs from the tested example of control", t => {
    const source = fs.readFileSync("test/embeddingControl.test.ts", "utf8");
    const example = source.split("// example-begin\n")[1].split("// example-end")[0].trim();
    t.true(fs.readFileSync("docs/embedding.md", "utf8").includes(example));
});
