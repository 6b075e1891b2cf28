import type { GroupMembers, Member } from "./messages.js";

/** What the leader knows of the members when it decides on the next change. */
export interface MemberKnowledge {
    /** Whether a learner holds all committed records and answers. */
    isCaughtUp(member: Member): boolean;
    /** Whether a member does not answer any more, or has said that it leaves for good. */
    isLost(member: Member): boolean;
    /** VMs that want to vote; a VM above this number stays a learner until a voter is lost. */
    readonly votersWanted: number;
}

/**
 * Returns the next step towards a group of answering voters, or undefined. Each step changes at most one voter: a new
 * identity becomes a learner; once it has caught up, the identity that had its address is removed, then it votes. When
 * enough VMs vote, a learner that has caught up takes the place of a lost voter.
 */
export function nextMembers(
    members: GroupMembers,
    joining: readonly Member[],
    knowledge: MemberKnowledge,
): GroupMembers | undefined {
    const known = [...members.voters, ...members.learners];
    const newcomer = joining.find(member => !known.some(other => other.id === member.id));
    if (newcomer !== undefined) {
        const others = members.learners.filter(other => other.peerAddress !== newcomer.peerAddress);
        return { voters: members.voters, learners: [...others, newcomer] };
    }
    const ready = members.learners.find(member => knowledge.isCaughtUp(member) && !knowledge.isLost(member));
    if (ready === undefined) {
        return dropLostLearner(members, joining, knowledge);
    }
    const former = members.voters.find(member => member.peerAddress === ready.peerAddress);
    if (former !== undefined) {
        return { ...members, voters: members.voters.filter(member => member !== former) };
    }
    if (members.voters.length < knowledge.votersWanted) {
        return {
            voters: [...members.voters, ready],
            learners: members.learners.filter(member => member !== ready),
        };
    }
    const lost = members.voters.find(member => knowledge.isLost(member));
    return lost === undefined
        ? dropLostLearner(members, joining, knowledge)
        : { ...members, voters: members.voters.filter(member => member !== lost) };
}

/** A learner that is gone would be sent the log without end. It joins again when it comes back. */
function dropLostLearner(
    members: GroupMembers,
    joining: readonly Member[],
    knowledge: MemberKnowledge,
): GroupMembers | undefined {
    const lost = members.learners.find(member =>
        knowledge.isLost(member) && !joining.some(other => other.id === member.id)
    );
    return lost === undefined
        ? undefined
        : { ...members, learners: members.learners.filter(member => member !== lost) };
}

/** Returns whether two member lists differ by at most one voter, so that each majority of both overlaps. */
export function isSingleStep(before: GroupMembers, after: GroupMembers): boolean {
    const beforeIds = new Set(before.voters.map(member => member.id));
    const afterIds = new Set(after.voters.map(member => member.id));
    const removed = [...beforeIds].filter(id => !afterIds.has(id)).length;
    const added = [...afterIds].filter(id => !beforeIds.has(id)).length;
    return removed + added <= 1 && afterIds.size > 0;
}
