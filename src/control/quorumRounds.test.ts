import test from "ava";
import { QuorumRounds } from "./quorumRounds.js";

const isMajority = (hasAnswered: (id: string) => boolean) => hasAnswered("b") || hasAnswered("c");

test("guards against a stale read: a read that arrives during a round waits for the next one", t => {
    const rounds = new QuorumRounds();
    t.true(rounds.addRead(1, 0), "the first read starts a round");
    t.false(rounds.addRead(2, 0), "a round is running");
    rounds.recordAnswer("b", 1);
    t.true(rounds.advance(isMajority, 0), "the next round is needed");
    t.deepEqual(rounds.takeConfirmed(), [1]);
    rounds.recordAnswer("c", 1);
    t.false(rounds.advance(isMajority, 0), "a late answer to the first round does not complete the second one");
    t.deepEqual(rounds.takeConfirmed(), []);
    rounds.recordAnswer("c", 2);
    t.false(rounds.advance(isMajority, 0), "no read waits for a third round");
    t.deepEqual(rounds.takeConfirmed(), [2]);
});
