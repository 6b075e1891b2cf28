import type { VoterId } from "../core/ids.js";
import { isSingleStep, nextMembers } from "./memberChanges.js";
import type { Command, GroupMembers, Member, ReplicationMessage, Snapshot } from "./messages.js";
import { QuorumRounds } from "./quorumRounds.js";
import type { AppliedRecord, ReplicaState } from "./replicaState.js";

const joinValidMs = 2000;
/** A member that said it leaves counts as lost for this long; after that it has restarted or does not answer. */
const leavingValidMs = 8000;
const caughtUpWithinMs = 500;
/** A part of a snapshot that was not answered for this long is sent again. */
const chunkResendMs = 300;
const maxUnansweredRecords = 1024;

/** How far a member's log is known to match the leader's. */
interface Progress {
    matchIndex: number;
    nextIndex: number;
    heardAtMs: number;
    snapshot: { readonly source: Snapshot; offset: number; sentAtMs: number; } | undefined;
}

type AppendAnswer = Extract<ReplicationMessage, { kind: "append-answer"; }>;
type SnapshotAnswer = Extract<ReplicationMessage, { kind: "snapshot-answer"; }>;

/** Duties of a replica while it leads: replication, commitment, quorum rounds, member changes. */
export class Leader {
    private readonly progress = new Map<VoterId, Progress>();
    private readonly rounds = new QuorumRounds();
    /** Waiting proposals by log index. */
    private readonly proposals = new Map<number, number>();
    private readonly joining = new Map<VoterId, { readonly member: Member; readonly askedAtMs: number; }>();
    /** Members that are about to stop, with the time of their message. */
    private readonly leaving = new Map<VoterId, number>();
    private readonly termStartIndex: number;
    private nextHeartbeatMs: number;

    constructor(private readonly state: ReplicaState, private nowMs: number) {
        // The members of a new group are in no log yet.
        const isNewGroup = state.log.lastIndex === 0;
        this.termStartIndex = state.appendOwn(
            isNewGroup ? { kind: "members", members: state.members } : { kind: "no-op" },
        );
        this.nextHeartbeatMs = nowMs + state.limits.heartbeatMs;
        this.broadcast();
        this.advance();
    }

    tick(nowMs: number): void {
        this.nowMs = nowMs;
        this.reviewMembers();
        if (nowMs >= this.nextHeartbeatMs) {
            this.nextHeartbeatMs = nowMs + this.state.limits.heartbeatMs;
            this.broadcast();
        }
    }

    /** Returns whether a quorum answered within the limit. */
    hasQuorum(nowMs: number): boolean {
        this.nowMs = nowMs;
        const sinceMs = nowMs - this.state.limits.quorumLossMs;
        return this.state.isQuorum(id => this.progressOf(id).heardAtMs >= sinceMs);
    }

    propose(requestId: number, command: Command): boolean {
        if (command.kind === "members" && !this.canChangeMembers(command.members)) {
            return false;
        }
        this.proposals.set(this.state.appendOwn(command), requestId);
        this.broadcast();
        this.advance();
        return true;
    }

    read(requestId: number): void {
        if (this.rounds.addRead(requestId)) {
            this.broadcast();
        }
        this.advance();
    }

    join(member: Member): void {
        this.leaving.delete(member.id);
        this.joining.set(member.id, { member, askedAtMs: this.nowMs });
        this.reviewMembers();
    }

    /** Takes note that a member stops for good or for a restart; a learner that has caught up takes its place. */
    noteLeaving(id: VoterId): void {
        this.leaving.set(id, this.nowMs);
        this.reviewMembers();
    }

    noteAppendAnswer(from: VoterId, answer: AppendAnswer): void {
        const row = this.noteAnswer(from, answer.round);
        // A repeated answer must not cause another message, or duplicated messages would multiply without end.
        const isNews = !answer.isMatch || answer.matchIndex > row.matchIndex;
        if (answer.isMatch) {
            row.matchIndex = Math.max(row.matchIndex, answer.matchIndex);
            row.nextIndex = Math.max(row.nextIndex, row.matchIndex + 1);
            row.snapshot = undefined;
        }
        else {
            row.nextIndex = Math.max(row.matchIndex + 1, Math.min(row.nextIndex - 1, answer.matchIndex + 1));
        }
        this.advance();
        if (isNews && row.nextIndex <= this.state.log.lastIndex) {
            this.replicateTo(from);
        }
    }

    noteSnapshotAnswer(from: VoterId, answer: SnapshotAnswer): void {
        const row = this.noteAnswer(from, answer.round);
        if (row.snapshot?.source.index === answer.snapshotIndex) {
            const isNews = answer.nextOffset > row.snapshot.offset;
            row.snapshot.offset = Math.min(answer.nextOffset, row.snapshot.source.state.length);
            if (isNews) {
                this.sendChunk(from, row);
            }
        }
        this.advance();
    }

    /** Answers everything that waits, when leadership is lost. */
    resign(): void {
        this.state.neededAfterIndex = Infinity;
        const waiting = [...this.proposals.values(), ...this.rounds.takeAll()];
        waiting.forEach(requestId => this.state.emit({ kind: "answer", requestId, answer: { kind: "lost" } }));
    }

    private noteAnswer(from: VoterId, round: number): Progress {
        const row = this.progressOf(from);
        row.heardAtMs = this.nowMs;
        this.rounds.noteAnswer(from, round);
        return row;
    }

    private progressOf(id: VoterId): Progress {
        const known = this.progress.get(id);
        // Starts with the leader's last record, which in a new term is not held elsewhere.
        const nextIndex = Math.max(1, this.state.log.lastIndex);
        const row = known ?? { matchIndex: 0, nextIndex, heardAtMs: this.nowMs, snapshot: undefined };
        this.progress.set(id, row);
        return row;
    }

    private broadcast(): void {
        const { voters, learners } = this.state.members;
        [...voters, ...learners].filter(member => member.id !== this.state.selfId).forEach(member =>
            this.replicateTo(member.id)
        );
    }

    private replicateTo(id: VoterId): void {
        const { log, limits, commitIndex, term } = this.state;
        const row = this.progressOf(id);
        const previousTerm = log.termAt(row.nextIndex - 1);
        if (row.snapshot !== undefined || previousTerm === undefined) {
            this.continueSnapshot(id, row);
            return;
        }
        const isFull = row.nextIndex - row.matchIndex > maxUnansweredRecords;
        const limit = isFull ? 0 : limits.maxRecordsPerMessage;
        const records = log.sliceMessage(row.nextIndex, limit, limits.maxMessageBytes);
        const previousIndex = row.nextIndex - 1;
        const round = this.rounds.started;
        this.state.send(id, { kind: "append", term, previousIndex, previousTerm, records, commitIndex, round });
        row.nextIndex += records.length;
    }

    private continueSnapshot(id: VoterId, row: Progress): void {
        if (row.snapshot === undefined) {
            const source = this.state.snapshot;
            if (source === undefined) {
                throw new Error("records were dropped without a snapshot");
            }
            row.snapshot = { source, offset: 0, sentAtMs: -Infinity };
        }
        if (this.nowMs - row.snapshot.sentAtMs >= chunkResendMs) {
            this.sendChunk(id, row);
        }
    }

    private sendChunk(id: VoterId, row: Progress): void {
        if (row.snapshot === undefined) {
            return;
        }
        const { source, offset } = row.snapshot;
        row.snapshot.sentAtMs = this.nowMs;
        const end = Math.min(offset + this.state.limits.snapshotChunkBytes, source.state.length);
        this.state.send(id, {
            kind: "snapshot",
            term: this.state.term,
            index: source.index,
            snapshotTerm: source.term,
            members: source.members,
            offset,
            data: source.state.subarray(offset, end),
            isLast: end === source.state.length,
            round: this.rounds.started,
        });
    }

    /** Commits what a majority holds, and answers proposals and reads. Sends again while that makes rounds necessary. */
    private advance(): void {
        const index = this.findMajorityIndex();
        this.state.neededAfterIndex = this.findNeededIndex();
        if (index > this.state.commitIndex && this.state.log.termAt(index) === this.state.term) {
            this.state.commitUpTo(index).forEach(applied => this.answerProposal(applied));
        }
        while (this.rounds.advance(hasAnswered => this.state.isQuorum(hasAnswered))) {
            this.broadcast();
        }
        if (this.state.commitIndex >= this.termStartIndex) {
            this.rounds.takeConfirmed().forEach(requestId =>
                this.state.emit({ kind: "answer", requestId, answer: { kind: "confirmed" } })
            );
        }
    }

    private answerProposal({ record, result }: AppliedRecord): void {
        const requestId = this.proposals.get(record.index);
        if (requestId !== undefined) {
            this.proposals.delete(record.index);
            this.state.emit({ kind: "answer", requestId, answer: { kind: "applied", index: record.index, result } });
        }
    }

    private findMajorityIndex(): number {
        const { selfId, log, members } = this.state;
        const matches = members.voters.map(member =>
            member.id === selfId ? log.lastIndex : this.progressOf(member.id).matchIndex
        );
        matches.sort((first, second) => second - first);
        return matches[Math.floor(matches.length / 2)] ?? 0;
    }

    private findNeededIndex(): number {
        return Math.min(...[...this.progress.values()].map(row => row.snapshot?.source.index ?? Infinity));
    }

    private canChangeMembers(members: GroupMembers): boolean {
        const { commitIndex, membersIndex } = this.state;
        const isSettled = commitIndex >= this.termStartIndex && commitIndex >= membersIndex;
        return isSettled && isSingleStep(this.state.members, members);
    }

    private reviewMembers(): void {
        for (const [id, row] of this.joining) {
            if (this.nowMs - row.askedAtMs > joinValidMs) {
                this.joining.delete(id);
            }
        }
        const joining = [...this.joining.values()].map(row => row.member);
        const next = nextMembers(this.state.members, joining, {
            isCaughtUp: member => this.isCaughtUp(member.id),
            isLost: member => this.isLost(member.id),
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
            this.state.appendOwn({ kind: "members", members: next });
            this.broadcast();
            this.advance();
        }
    }

    private isLost(id: VoterId): boolean {
        const silentMs = this.nowMs - this.progressOf(id).heardAtMs;
        const isLeaving = this.nowMs - (this.leaving.get(id) ?? -Infinity) < leavingValidMs;
        return isLeaving || (id !== this.state.selfId && silentMs > this.state.limits.lostAfterMs);
    }

    private isCaughtUp(id: VoterId): boolean {
        const row = this.progressOf(id);
        return row.matchIndex >= this.state.commitIndex && this.nowMs - row.heardAtMs <= caughtUpWithinMs;
    }
}
