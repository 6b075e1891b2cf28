import type { GroupMembers, Member } from "./messages.js";

/** The leader's view of the members, on which it bases the next member change. */
export interface MembershipView {
    /** Whether a learner has all committed records and answered recently. */
    isCaughtUp(member: Member): boolean;
    /** Whether a member has stopped answering. */
    isLost(member: Member): boolean;
    /** Whether a member has announced its stop. */
    isLeaving(member: Member): boolean;
    /** Target number of voters; further VMs stay learners until a voter is lost or leaves. */
    readonly votersWanted: number;
}

/**
 * Returns the next change towards a full set of responsive voters, or undefined. Each change adds or removes at most
 * one voter: a new identity becomes a learner; once it has caught up, the former identity at its address is removed,
 * and then the learner becomes a voter. When there are enough voters, a caught-up learner replaces a lost or leaving one.
 * A lost voter is removed first, since it no longer counts towards a majority. A leaving one still does, and is removed
 * after the learner was added, so that a majority remains at each step if another VM is lost.
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
    const lostVoter = members.voters.find(member => view.isLost(member));
    const replaceableVoter = lostVoter ?? members.voters.find(member => view.isLeaving(member));
    if (members.voters.length > view.votersWanted && replaceableVoter !== undefined) {
        return removeVoter(members, replaceableVoter);
    }
    const caughtUpLearner = members.learners.find(member =>
        view.isCaughtUp(member) && !view.isLost(member) && !view.isLeaving(member)
    );
    if (caughtUpLearner === undefined) {
        return removeLostLearner(members, joining, view);
    }
    const predecessor = members.voters.find(member => member.peerAddress === caughtUpLearner.peerAddress);
    if (predecessor !== undefined) {
        return removeVoter(members, predecessor);
    }
    const isSuccessor = replaceableVoter !== undefined && lostVoter === undefined;
    if (members.voters.length < view.votersWanted || isSuccessor) {
        return {
            voters: [...members.voters, caughtUpLearner],
            learners: members.learners.filter(member => member !== caughtUpLearner),
        };
    }
    return lostVoter === undefined ? removeLostLearner(members, joining, view) : removeVoter(members, lostVoter);
}

function removeVoter(members: GroupMembers, voter: Member): GroupMembers {
    return { ...members, voters: members.voters.filter(member => member !== voter) };
}

/** Removes a lost or leaving learner, which would otherwise be sent the log forever; it joins again when it returns. */
function removeLostLearner(
    members: GroupMembers,
    joining: readonly Member[],
    view: MembershipView,
): GroupMembers | undefined {
    const lostLearner = members.learners.find(member =>
        (view.isLost(member) || view.isLeaving(member)) && !joining.some(other => other.id === member.id)
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
