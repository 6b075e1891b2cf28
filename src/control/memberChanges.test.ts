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
    readonly leaving?: string;
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
        name: "a new identity at the old address after a disk loss",
        voters: "a1 b1 c1",
        joining: "a2",
        caughtUp: "a2",
        steps: ["a1 b1 c1 + a2", "b1 c1 + a2", "b1 c1 a2 + "],
    },
    {
        name: "a new VM in a full group stays a learner",
        voters: "a1 b1 c1",
        joining: "d1",
        caughtUp: "d1",
        steps: ["a1 b1 c1 + d1"],
    },
    {
        name: "a new VM replaces a lost voter",
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
    { name: "a lost voter without a replacement stays", voters: "a1 b1 c1", lost: "b1", steps: [] },
    {
        name: "a group that grows to the target size",
        voters: "a1 b1 c1",
        joining: "d1 e1",
        caughtUp: "d1 e1",
        votersWanted: 5,
        steps: ["a1 b1 c1 + d1", "a1 b1 c1 + d1 e1", "a1 b1 c1 d1 + e1", "a1 b1 c1 d1 e1 + "],
    },
    {
        name: "a new VM replaces a leaving voter, which votes until then",
        voters: "a1 b1 c1",
        learners: "d1",
        caughtUp: "d1",
        leaving: "b1",
        steps: ["a1 b1 c1 d1 + ", "a1 c1 d1 + "],
    },
    {
        name: "a leaving voter without a replacement stays",
        voters: "a1 b1 c1",
        leaving: "b1",
        steps: [],
    },
    {
        name: "a leaving voter that has fallen silent is removed first",
        voters: "a1 b1 c1",
        learners: "d1",
        caughtUp: "d1",
        leaving: "b1",
        lost: "b1",
        steps: ["a1 c1 + d1", "a1 c1 d1 + "],
    },
    {
        name: "a lost voter is replaced before a leaving one",
        voters: "a1 b1 c1",
        learners: "d1 e1",
        caughtUp: "d1 e1",
        leaving: "b1",
        lost: "c1",
        steps: ["a1 b1 + d1 e1", "a1 b1 d1 + e1", "a1 b1 d1 e1 + ", "a1 d1 e1 + "],
    },
    {
        name: "a surplus voter is removed once it is lost",
        voters: "a1 b1 c1 d1",
        lost: "c1",
        steps: ["a1 b1 d1 + "],
    },
    { name: "a surplus voter that answers stays", voters: "a1 b1 c1 d1", steps: [] },
    {
        name: "a leaving learner does not become a voter",
        voters: "a1 b1 c1",
        learners: "d1",
        caughtUp: "d1",
        leaving: "b1 d1",
        steps: ["a1 b1 c1 + "],
    },
    {
        name: "a lost learner is removed",
        voters: "a1 b1 c1",
        learners: "d1",
        lost: "d1",
        steps: ["a1 b1 c1 + "],
    },
];

for (const { name, voters, learners, joining, caughtUp, lost, leaving, votersWanted = 3, steps } of cases) {
    test(`guards against a second loss before the first one is repaired: ${name}`, t => {
        const isListedIn = (text: string | undefined) => (member: Member) =>
            (text ?? "").split(" ").includes(member.id);
        const view: MembershipView = {
            isCaughtUp: isListedIn(caughtUp),
            isLost: isListedIn(lost),
            isLeaving: isListedIn(leaving),
            votersWanted,
        };
        let members: GroupMembers = { voters: toMembers(voters), learners: toMembers(learners) };
        const actualSteps: string[] = [];
        for (let count = 0; count <= steps.length; count++) {
            const next = planMemberChange(members, toMembers(joining), view);
            if (next === undefined) {
                break;
            }
            t.true(isSingleVoterChange(members, next));
            members = next;
            actualSteps.push(`${next.voters.map(m => m.id).join(" ")} + ${next.learners.map(m => m.id).join(" ")}`);
        }
        t.deepEqual(actualSteps, steps);
    });
}
