import type { ControlVmId } from "../core/ids.js";
import { isSingleVoterChange, planMemberChange } from "./memberChanges.js";
import type { Command, GroupMembers, Member, ReplicationMessage, Snapshot } from "./messages.js";
import { QuorumRounds } from "./quorumRounds.js";
import type { AppliedRecord, ReplicaState } from "./replicaState.js";

const joinRequestTtlMs = 2000;
/**
 * A member counts as leaving for this long after it announced its stop. The notice expires because a member can restart
 * without joining again; one that stays down counts as lost after `lostAfterMs` of silence.
 */
const leavingNoticeTtlMs = 8000;
/** A learner that has not answered for longer does not count as caught up. */
const maxLearnerSilenceMs = 500;
/** A snapshot chunk that is not acknowledged within this time is resent. */
const chunkResendMs = 300;
const maxUnacknowledgedRecords = 1024;
/**
 * Rounds that follow each other at once at the start of a term: the second one confirms what members sent in answer to
 * the first, and the third one tells them.
 */
const initialRounds = 3;

/** Replication progress of a member. */
interface Progress {
    matchIndex: number;
    nextIndex: number;
    /** Index after which records have been sent since the last mismatch; those up to `matchIndex` are acknowledged. */
    sentAfterIndex: number;
    lastContactAtMs: number;
    snapshot: { readonly source: Snapshot; offset: number; sentAtMs: number; } | undefined;
    /** Times of the member's answers that no quorum round has confirmed yet, one for each round. */
    unconfirmed: readonly StampedAnswer[];
    /** Time of the latest answer, by the member's clock, that a later quorum round confirmed; negative if none. */
    confirmedAtMs: number;
}

/** Time of an answer by the member's clock, with the round that had been started when it arrived. */
interface StampedAnswer {
    readonly sentAtMs: number;
    readonly round: number;
}

type AppendAnswer = Extract<ReplicationMessage, { kind: "append-answer"; }>;
type SnapshotAnswer = Extract<ReplicationMessage, { kind: "snapshot-answer"; }>;

/**
 * Leader role of a replica: replication, commitment, member changes, and the quorum rounds that confirm leadership for
 * reads (Raft's ReadIndex).
 */
export class Leader {
    private readonly progressByMember = new Map<ControlVmId, Progress>();
    private readonly rounds = new QuorumRounds(initialRounds);
    /** Request ids of pending proposals by log index. */
    private readonly proposals = new Map<number, number>();
    private readonly joining = new Map<ControlVmId, { readonly member: Member; readonly requestedAtMs: number; }>();
    /** Members that announced their stop, with the time of the announcement. */
    private readonly leaving = new Map<ControlVmId, number>();
    /** Removed members that may not know it yet, with the log index of their removal. */
    private readonly removedMembers = new Map<ControlVmId, number>();
    private readonly termStartIndex: number;
    private nextHeartbeatMs: number;

    constructor(private readonly state: ReplicaState, private nowMs: number) {
        // Only the VM that bootstrapped a new group knows its members; the first record replicates them.
        const isNewGroup = state.log.lastIndex === 0;
        this.termStartIndex = state.appendCommand(
            isNewGroup ? { kind: "members", members: state.members } : { kind: "no-op" },
        );
        this.nextHeartbeatMs = nowMs + state.limits.heartbeatMs;
        this.startRound();
    }

    /** Time as of which the state of this VM is confirmed to be current; -Infinity if it is not. */
    get confirmedAtMs(): number {
        return this.hasCommittedInTerm ? this.rounds.confirmedAtMs : -Infinity;
    }

    /** Until then, `commitIndex` may not cover the records that earlier leaders committed. */
    private get hasCommittedInTerm(): boolean {
        return this.state.commitIndex >= this.termStartIndex;
    }

    tick(nowMs: number): void {
        this.nowMs = nowMs;
        this.updateMembers();
        this.forgetRemovedMembers();
        if (nowMs >= this.nextHeartbeatMs) {
            this.nextHeartbeatMs = nowMs + this.state.limits.heartbeatMs;
            this.startRound();
        }
    }

    /** Returns whether a quorum answered within `quorumLossMs`. */
    hasQuorum(nowMs: number): boolean {
        this.nowMs = nowMs;
        const sinceMs = nowMs - this.state.limits.quorumLossMs;
        return this.state.isQuorum(id => this.progressOf(id).lastContactAtMs >= sinceMs);
    }

    propose(requestId: number, command: Command): boolean {
        if (command.kind === "members" && !this.canChangeMembers(command.members)) {
            return false;
        }
        const { log, commitIndex, limits } = this.state;
        if (command.kind === "change" && log.sizeBetween(commitIndex, log.lastIndex) >= limits.maxUncommittedBytes) {
            return false;
        }
        this.proposals.set(this.state.appendCommand(command), requestId);
        this.broadcast();
        this.advance();
        return true;
    }

    read(requestId: number): void {
        if (this.rounds.addRead(requestId, this.nowMs)) {
            this.broadcast();
        }
        this.advance();
    }

    join(member: Member): void {
        this.leaving.delete(member.id);
        this.joining.set(member.id, { member, requestedAtMs: this.nowMs });
        this.updateMembers();
    }

    /** Counts a member that announced its stop as leaving for a while, so that a caught-up learner replaces it. */
    markLeaving(id: ControlVmId): void {
        const { voters, learners } = this.state.members;
        if ([...voters, ...learners].some(member => member.id === id)) {
            this.leaving.set(id, this.nowMs);
            this.updateMembers();
        }
        else {
            // A VM that waits for its removal; an earlier leader may not have told it.
            this.removedMembers.set(id, this.state.membersIndex);
        }
    }

    handleAppendAnswer(from: ControlVmId, answer: AppendAnswer): void {
        const progress = this.recordAnswer(from, answer.round);
        this.recordStamp(progress, answer.sentAtMs ?? undefined);
        // A duplicate acknowledgement must not trigger another message, or duplicates would multiply without bound.
        // Each rejection counts as new, since the leader then retries from an earlier record.
        const isNewAnswer = !answer.isMatch || answer.matchIndex > progress.matchIndex;
        if (answer.isMatch) {
            progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
            progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
            progress.snapshot = undefined;
        }
        else {
            progress.nextIndex = Math.max(
                progress.matchIndex + 1,
                Math.min(progress.nextIndex - 1, answer.matchIndex + 1),
            );
            progress.sentAfterIndex = progress.nextIndex - 1;
        }
        this.advance();
        if (isNewAnswer && progress.nextIndex <= this.state.log.lastIndex) {
            this.replicateTo(from);
        }
    }

    handleSnapshotAnswer(from: ControlVmId, answer: SnapshotAnswer): void {
        const progress = this.recordAnswer(from, answer.round);
        if (progress.snapshot?.source.index === answer.snapshotIndex) {
            const isNewAnswer = answer.nextOffset > progress.snapshot.offset;
            progress.snapshot.offset = Math.min(answer.nextOffset, progress.snapshot.source.state.length);
            if (isNewAnswer) {
                this.sendChunk(from, progress);
            }
        }
        this.advance();
    }

    /** Answers all pending proposals and reads with `lost`; called when leadership is lost. */
    stepDown(): void {
        this.state.oldestSnapshotTransferIndex = Infinity;
        const pendingRequests = [...this.proposals.values(), ...this.rounds.takeAll()];
        pendingRequests.forEach(requestId => this.state.emit({ kind: "answer", requestId, answer: { kind: "lost" } }));
    }

    private recordAnswer(from: ControlVmId, round: number): Progress {
        const progress = this.progressOf(from);
        progress.lastContactAtMs = this.nowMs;
        this.rounds.recordAnswer(from, round);
        return progress;
    }

    private recordStamp(progress: Progress, sentAtMs: number | undefined): void {
        if (sentAtMs !== undefined) {
            const round = this.rounds.startedRound;
            progress.unconfirmed = [
                ...progress.unconfirmed.filter(answer => answer.round !== round),
                { sentAtMs, round },
            ];
        }
    }

    /** Returns `confirmedAtMs` of a member after the answers that the latest complete round confirmed. */
    private confirmAnswers(progress: Progress): number {
        if (!this.hasCommittedInTerm) {
            return progress.confirmedAtMs;
        }
        const { completedRound } = this.rounds;
        const latest = progress.unconfirmed.findLast(answer => answer.round < completedRound);
        progress.confirmedAtMs = latest?.sentAtMs ?? progress.confirmedAtMs;
        progress.unconfirmed = progress.unconfirmed.filter(answer => answer.round >= completedRound);
        return progress.confirmedAtMs;
    }

    private startRound(): void {
        this.rounds.start(this.nowMs);
        this.broadcast();
        this.advance();
    }

    private progressOf(id: ControlVmId): Progress {
        const existingProgress = this.progressByMember.get(id);
        // Replication starts at the leader's last record; at the start of a term, only the leader has that record.
        const nextIndex = Math.max(1, this.state.log.lastIndex);
        const progress = existingProgress ??
            {
                matchIndex: 0,
                nextIndex,
                sentAfterIndex: nextIndex - 1,
                lastContactAtMs: this.nowMs,
                snapshot: undefined,
                unconfirmed: [],
                confirmedAtMs: -1,
            };
        this.progressByMember.set(id, progress);
        return progress;
    }

    private broadcast(): void {
        const { voters, learners } = this.state.members;
        const ids = [...[...voters, ...learners].map(member => member.id), ...this.removedMembers.keys()];
        ids.filter(id => id !== this.state.selfId).forEach(id => this.replicateTo(id));
    }

    /** Ends the replication to removed members that have the record of their removal and know that it is committed. */
    private forgetRemovedMembers(): void {
        for (const [id, removalIndex] of this.removedMembers) {
            const isInformed = this.state.commitIndex >= removalIndex && this.progressOf(id).matchIndex >= removalIndex;
            if (isInformed || this.isLost(id)) {
                this.removedMembers.delete(id);
                // The last message carries the index up to which records are committed.
                this.replicateTo(id);
            }
        }
    }

    private replicateTo(id: ControlVmId): void {
        const { log, limits, commitIndex, term } = this.state;
        const progress = this.progressOf(id);
        const previousTerm = log.termAt(progress.nextIndex - 1);
        if (progress.snapshot !== undefined || previousTerm === undefined) {
            this.continueSnapshot(id, progress);
            return;
        }
        const acknowledgedIndex = Math.max(progress.matchIndex, progress.sentAfterIndex);
        const isWindowFull = progress.nextIndex - acknowledgedIndex > maxUnacknowledgedRecords ||
            log.sizeBetween(acknowledgedIndex, progress.nextIndex - 1) >= limits.maxUnacknowledgedBytes;
        const limit = isWindowFull ? 0 : limits.maxRecordsPerMessage;
        const records = log.sliceMessage(progress.nextIndex, limit, limits.maxMessageBytes);
        const previousIndex = progress.nextIndex - 1;
        const round = this.rounds.startedRound;
        const confirmedAtMs = this.confirmAnswers(progress);
        this.state.send(id, {
            kind: "append",
            term,
            previousIndex,
            previousTerm,
            records,
            commitIndex,
            round,
            confirmedAtMs,
        });
        progress.nextIndex += records.length;
    }

    private continueSnapshot(id: ControlVmId, progress: Progress): void {
        if (progress.snapshot === undefined) {
            const source = this.state.snapshot;
            if (source === undefined) {
                throw new Error("the log was compacted, but there is no snapshot to send");
            }
            progress.snapshot = { source, offset: 0, sentAtMs: -Infinity };
        }
        if (this.nowMs - progress.snapshot.sentAtMs >= chunkResendMs) {
            this.sendChunk(id, progress);
        }
    }

    private sendChunk(id: ControlVmId, progress: Progress): void {
        if (progress.snapshot === undefined) {
            return;
        }
        const { source, offset } = progress.snapshot;
        progress.snapshot.sentAtMs = this.nowMs;
        const endOffset = Math.min(offset + this.state.limits.snapshotChunkBytes, source.state.length);
        this.state.send(id, {
            kind: "snapshot",
            term: this.state.term,
            index: source.index,
            snapshotTerm: source.term,
            members: source.members,
            offset,
            data: source.state.subarray(offset, endOffset),
            isLast: endOffset === source.state.length,
            round: this.rounds.startedRound,
        });
    }

    /**
     * Commits the records that a majority holds, up to one of the current term, and answers proposals and reads. Starts
     * another quorum round if needed.
     */
    private advance(): void {
        const majorityIndex = this.findMajorityIndex();
        this.state.oldestSnapshotTransferIndex = this.findOldestSnapshotTransferIndex();
        if (majorityIndex > this.state.commitIndex && this.state.log.termAt(majorityIndex) === this.state.term) {
            this.state.commitUpTo(majorityIndex).forEach(applied => this.answerProposal(applied));
        }
        while (this.rounds.advance(hasAnswered => this.state.isQuorum(hasAnswered), this.nowMs)) {
            this.broadcast();
        }
        if (this.hasCommittedInTerm) {
            this.rounds.takeConfirmed().forEach(requestId =>
                this.state.emit({ kind: "answer", requestId, answer: { kind: "confirmed" } })
            );
        }
    }

    private answerProposal({ index, result }: AppliedRecord): void {
        const requestId = this.proposals.get(index);
        if (requestId !== undefined) {
            this.proposals.delete(index);
            this.state.emit({ kind: "answer", requestId, answer: { kind: "applied", index, result } });
        }
    }

    private findMajorityIndex(): number {
        const { selfId, log, members } = this.state;
        const matchIndexes = members.voters.map(member =>
            member.id === selfId ? log.lastIndex : this.progressOf(member.id).matchIndex
        );
        matchIndexes.sort((first, second) => second - first);
        return matchIndexes[Math.floor(matchIndexes.length / 2)] ?? 0;
    }

    private findOldestSnapshotTransferIndex(): number {
        return Math.min(
            ...[...this.progressByMember.values()].map(progress => progress.snapshot?.source.index ?? Infinity),
        );
    }

    private canChangeMembers(members: GroupMembers): boolean {
        const { commitIndex, membersIndex } = this.state;
        const isMembershipCommitted = this.hasCommittedInTerm && commitIndex >= membersIndex;
        return isMembershipCommitted && isSingleVoterChange(this.state.members, members);
    }

    private updateMembers(): void {
        for (const [id, joinRequest] of this.joining) {
            if (this.nowMs - joinRequest.requestedAtMs > joinRequestTtlMs) {
                this.joining.delete(id);
            }
        }
        const joining = [...this.joining.values()].map(joinRequest => joinRequest.member);
        const next = planMemberChange(this.state.members, joining, {
            isCaughtUp: member => this.isCaughtUp(member.id),
            isLost: member => this.isLost(member.id),
            isLeaving: member => this.isLeaving(member.id),
            votersWanted: this.state.limits.votersWanted,
        });
        if (next !== undefined && this.canChangeMembers(next)) {
            const voters = next.voters.map(member => member.id).join(", ");
            const learners = next.learners.map(member => member.id).join(", ");
            this.state.emit({
                kind: "log",
                level: "info",
                text: `changing voters to ${voters}; learners: ${learners}`,
            });
            const { members } = this.state;
            const index = this.state.appendCommand({ kind: "members", members: next });
            this.trackRemovedMembers(members, next, index);
            this.broadcast();
            this.advance();
        }
    }

    private trackRemovedMembers(before: GroupMembers, after: GroupMembers, index: number): void {
        const remainingIds = new Set([...after.voters, ...after.learners].map(member => member.id));
        remainingIds.forEach(id => this.removedMembers.delete(id));
        [...before.voters, ...before.learners]
            .filter(member => !remainingIds.has(member.id) && member.id !== this.state.selfId)
            .forEach(member => this.removedMembers.set(member.id, index));
    }

    private isLost(id: ControlVmId): boolean {
        const silentMs = this.nowMs - this.progressOf(id).lastContactAtMs;
        return id !== this.state.selfId && silentMs > this.state.limits.lostAfterMs;
    }

    private isLeaving(id: ControlVmId): boolean {
        return this.nowMs - (this.leaving.get(id) ?? -Infinity) < leavingNoticeTtlMs;
    }

    private isCaughtUp(id: ControlVmId): boolean {
        const progress = this.progressOf(id);
        return progress.matchIndex >= this.state.commitIndex &&
            this.nowMs - progress.lastContactAtMs <= maxLearnerSilenceMs;
    }
}
