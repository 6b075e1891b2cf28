import type { GroupMembers, Member } from "./messages.js";

/** The leader's view of the members, on which it bases the next member change. */
export interface MembershipView {
    /** Whether a learner has all committed records and answered recently. */
    isCaughtUp(member: Member): boolean;
    /** Whether a member has stopped answering or announced its stop. */
    isLost(member: Member): boolean;
    /** Target number of voters; further VMs stay learners until a voter is lost. */
    readonly votersWanted: number;
}

/**
 * Returns the next change towards a full set of responsive voters, or undefined. Each change adds or removes at most
 * one voter: a new identity becomes a learner; once it has caught up, the former identity at its address is removed,
 * and then the learner becomes a voter. When there are enough voters, a caught-up learner replaces a lost one.
 */
export function planMemberChange(
    members: GroupMembers,
    joining: readonly Member[],
    view: MembershipView,
): GroupMembers | undefined {
    const currentMembers = [...members.voters, ...members.learners];
    const newMember = joining.find(member => !currentMembers.some(other => other.id === member.id));
    if (newMember !== undefined) {
        const otherLearners = members.learners.filter(other => other.peerAddress !== newMember.peerAddress);
        return { voters: members.voters, learners: [...otherLearners, newMember] };
    }
    const caughtUpLearner = members.learners.find(member => view.isCaughtUp(member) && !view.isLost(member));
    if (caughtUpLearner === undefined) {
        return removeLostLearner(members, joining, view);
    }
    const predecessor = members.voters.find(member => member.peerAddress === caughtUpLearner.peerAddress);
    if (predecessor !== undefined) {
        return { ...members, voters: members.voters.filter(member => member !== predecessor) };
    }
    if (members.voters.length < view.votersWanted) {
        return {
            voters: [...members.voters, caughtUpLearner],
            learners: members.learners.filter(member => member !== caughtUpLearner),
        };
    }
    const lostVoter = members.voters.find(member => view.isLost(member));
    return lostVoter === undefined
        ? removeLostLearner(members, joining, view)
        : { ...members, voters: members.voters.filter(member => member !== lostVoter) };
}

/** Removes a lost learner, which would otherwise be sent the log forever; it joins again when it returns. */
function removeLostLearner(
    members: GroupMembers,
    joining: readonly Member[],
    view: MembershipView,
): GroupMembers | undefined {
    const lostLearner = members.learners.find(member =>
        view.isLost(member) && !joining.some(other => other.id === member.id)
    );
    return lostLearner === undefined
        ? undefined
        : { ...members, learners: members.learners.filter(member => member !== lostLearner) };
}

/** Returns whether two member lists differ by at most one voter, so that any majorities of the two overlap. */
export function isSingleVoterChange(before: GroupMembers, after: GroupMembers): boolean {
    const beforeIds = new Set(before.voters.map(member => member.id));
    const afterIds = new Set(after.voters.map(member => member.id));
    const removed = [...beforeIds].filter(id => !afterIds.has(id)).length;
    const added = [...afterIds].filter(id => !beforeIds.has(id)).length;
    return removed + added <= 1 && afterIds.size > 0;
}
