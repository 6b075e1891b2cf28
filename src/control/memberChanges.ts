import type { GroupMembers, Member } from "./messages.js";

/** What the leader knows of a member's progress when it decides on the next change. */
export type IsCaughtUp = (member: Member) => boolean;

/**
 * Returns the next step towards having all joining VMs as voters, or undefined. Each step changes at most one voter:
 * a new identity becomes a learner; once it has caught up, the identity that had its address is removed; then it votes.
 */
export function nextMembers(
    members: GroupMembers,
    joining: readonly Member[],
    isCaughtUp: IsCaughtUp,
): GroupMembers | undefined {
    const known = [...members.voters, ...members.learners];
    const newcomer = joining.find(member => !known.some(other => other.id === member.id));
    if (newcomer !== undefined) {
        const others = members.learners.filter(other => other.peerAddress !== newcomer.peerAddress);
        return { voters: members.voters, learners: [...others, newcomer] };
    }
    const ready = members.learners.find(isCaughtUp);
    if (ready === undefined) {
        return undefined;
    }
    const former = members.voters.find(member => member.peerAddress === ready.peerAddress);
    if (former !== undefined) {
        return { ...members, voters: members.voters.filter(member => member !== former) };
    }
    return {
        voters: [...members.voters, ready],
        learners: members.learners.filter(member => member !== ready),
    };
}

/** Returns whether two member lists differ by at most one voter, so that each majority of both overlaps. */
export function isSingleStep(before: GroupMembers, after: GroupMembers): boolean {
    const beforeIds = new Set(before.voters.map(member => member.id));
    const afterIds = new Set(after.voters.map(member => member.id));
    const removed = [...beforeIds].filter(id => !afterIds.has(id)).length;
    const added = [...afterIds].filter(id => !beforeIds.has(id)).length;
    return removed + added <= 1 && afterIds.size > 0;
}
