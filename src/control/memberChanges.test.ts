import test from "ava";
import { isSingleVoterChange, type MembershipView, planMemberChange } from "./memberChanges.js";
import type { GroupMembers, Member } from "./messages.js";

interface StepCase {
    readonly name: string;
    readonly voters: string;
    readonly learners?: string;
    readonly joining?: string;
    readonly caughtUp?: string;
    readonly lost?: string;
    readonly votersWanted?: number;
    /** Voters and learners after each step. */
    readonly steps: readonly string[];
}

/** `a1` is the first identity at address `a`. */
function toMembers(text = ""): readonly Member[] {
    return text.split(" ").filter(id => id !== "").map(id => ({ id, peerAddress: id.slice(0, 1) }));
}

const cases: readonly StepCase[] = [
    {
        name: "a wiped disk at the old address",
        voters: "a1 b1 c1",
        joining: "a2",
        caughtUp: "a2",
        steps: ["a1 b1 c1 + a2", "b1 c1 + a2", "b1 c1 a2 + "],
    },
    {
        name: "a new VM beside a full group stays a learner",
        voters: "a1 b1 c1",
        joining: "d1",
        caughtUp: "d1",
        steps: ["a1 b1 c1 + d1"],
    },
    {
        name: "a new VM takes the place of a lost voter",
        voters: "a1 b1 c1",
        learners: "d1",
        caughtUp: "d1",
        lost: "b1",
        steps: ["a1 c1 + d1", "a1 c1 d1 + "],
    },
    {
        name: "a learner that has not caught up changes nothing",
        voters: "a1 b1 c1",
        learners: "d1",
        lost: "b1",
        steps: [],
    },
    { name: "a lost voter without a successor stays", voters: "a1 b1 c1", lost: "b1", steps: [] },
    {
        name: "a group that grows to the wanted size",
        voters: "a1 b1 c1",
        joining: "d1 e1",
        caughtUp: "d1 e1",
        votersWanted: 5,
        steps: ["a1 b1 c1 + d1", "a1 b1 c1 + d1 e1", "a1 b1 c1 d1 + e1", "a1 b1 c1 d1 e1 + "],
    },
    {
        name: "a learner that is gone is dropped",
        voters: "a1 b1 c1",
        learners: "d1",
        lost: "d1",
        steps: ["a1 b1 c1 + "],
    },
];

for (const { name, voters, learners, joining, caughtUp, lost, votersWanted = 3, steps } of cases) {
    test(`guards against a second loss that finds the group unhealed: ${name}`, t => {
        const has = (text: string | undefined) => (member: Member) => (text ?? "").split(" ").includes(member.id);
        const knowledge: MembershipView = { isCaughtUp: has(caughtUp), isLost: has(lost), votersWanted };
        let members: GroupMembers = { voters: toMembers(voters), learners: toMembers(learners) };
        const seen: string[] = [];
        for (let count = 0; count <= steps.length; count++) {
            const next = planMemberChange(members, toMembers(joining), knowledge);
            if (next === undefined) {
                break;
            }
            t.true(isSingleVoterChange(members, next));
            members = next;
            seen.push(`${next.voters.map(row => row.id).join(" ")} + ${next.learners.map(row => row.id).join(" ")}`);
        }
        t.deepEqual(seen, steps);
    });
}
