import type { ControlVmId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Follower } from "./follower.js";
import { Leader } from "./leader.js";
import type { ControlEffect, ControlEvent, GroupMembers, ReplicationMessage } from "./messages.js";
import { type PeerContact, type ReplicaOptions, ReplicaRole } from "./replicaModel.js";
import { defaultReplicaLimits, ReplicaState } from "./replicaState.js";

type Candidacy = { readonly phase: "pre-vote" | "vote"; readonly granted: Set<ControlVmId>; };
type VoteRequest = Extract<ReplicationMessage, { kind: "pre-vote" | "vote"; }>;
type VoteAnswer = Extract<ReplicationMessage, { kind: "pre-vote-answer" | "vote-answer"; }>;
type LeaderMessage = Extract<ReplicationMessage, { kind: "append" | "snapshot"; }>;

/**
 * Raft replica without I/O. The caller performs the returned effects, disk effects first, before it passes the next
 * event.
 */
export class Replica {
    readonly heard = new Map<ControlVmId, PeerContact>();
    private readonly state: ReplicaState;
    private readonly follower: Follower;
    private readonly random: RandomSource;
    private leader: Leader | undefined;
    private candidacy: Candidacy | undefined;
    private leaderId: ControlVmId | undefined;
    private electionAtMs = 0;
    private lastLeaderContactAtMs = -Infinity;
    private readonly startedAtMs: number;
    private nowMs: number;

    constructor(options: ReplicaOptions) {
        const limits = options.limits ?? defaultReplicaLimits;
        this.random = options.random;
        this.startedAtMs = options.nowMs;
        this.nowMs = options.nowMs;
        this.state = new ReplicaState(options.selfId, options.persisted, options.machine, limits);
        this.follower = new Follower(this.state);
        this.electionAtMs = options.nowMs + (this.state.isQuorum(() => false) ? 0 : this.drawFirstElectionDelayMs());
    }

    get role(): ReplicaRole {
        if (this.leader !== undefined) {
            return ReplicaRole.leader;
        }
        if (!this.state.isVoter) {
            return ReplicaRole.learner;
        }
        return this.candidacy === undefined ? ReplicaRole.follower : ReplicaRole.candidate;
    }

    get term(): number {
        return this.state.term;
    }

    /** Id of the leader, if known. */
    get knownLeader(): ControlVmId | undefined {
        return this.leader === undefined ? this.leaderId : this.state.selfId;
    }

    get members(): GroupMembers {
        return this.state.members;
    }

    /** Returns whether the current member list is committed. */
    get isSettled(): boolean {
        return this.state.commitIndex >= this.state.membersIndex;
    }

    get commitIndex(): number {
        return this.state.commitIndex;
    }

    /** Returns whether the state of this VM was confirmed to be current within the maximum election timeout. */
    isLed(nowMs: number): boolean {
        return nowMs - this.confirmedAtMs < this.state.limits.maxElectionMs;
    }

    /**
     * Time as of which the state of this VM is confirmed to be current: a quorum answered the leader after it. -Infinity
     * if it is not.
     */
    get confirmedAtMs(): number {
        return Math.max(this.leader?.confirmedAtMs ?? -Infinity, this.follower.confirmedAtMs);
    }

    /**
     * Returns whether this VM should ask members to add it: it is not a member, or no leader has contacted it for so long
     * that it may have been removed. A removed member is not told, as it did not answer.
     */
    needsToJoin(nowMs: number): boolean {
        const { voters, learners } = this.members;
        const isMember = [...voters, ...learners].some(member => member.id === this.state.selfId);
        const silentMs = nowMs - Math.max(this.startedAtMs, this.lastLeaderContactAtMs);
        return !isMember || (this.leader === undefined && silentMs > this.state.limits.maxElectionMs);
    }

    handle(event: ControlEvent, nowMs: number): readonly ControlEffect[] {
        this.advanceTime(nowMs);
        switch (event.kind) {
            case "message":
                this.receive(event.from, event.message);
                break;
            case "propose":
                if (this.leader?.propose(event.requestId, event.command) !== true) {
                    this.refuse(event.requestId);
                }
                break;
            case "read":
                if (this.leader === undefined) {
                    this.refuse(event.requestId);
                }
                this.leader?.read(event.requestId);
                break;
            case "found":
                if (this.state.bootstrap(event.members)) {
                    this.electionAtMs = nowMs;
                }
                break;
            case "join":
                this.leader?.join(event.member);
                break;
            case "leaving":
                this.leader?.markLeaving(event.memberId);
                break;
        }
        this.stepDownIfRemoved();
        return this.state.takeEffects();
    }

    tick(nowMs: number): readonly ControlEffect[] {
        this.advanceTime(nowMs);
        this.leader?.tick(nowMs);
        if (this.leader === undefined && this.state.isVoter && nowMs >= this.electionAtMs) {
            this.startElection("pre-vote");
        }
        this.stepDownIfRemoved();
        return this.state.takeEffects();
    }

    /** Runs before every event, so that a leader that was paused does not act on an outdated quorum. */
    private advanceTime(nowMs: number): void {
        this.nowMs = nowMs;
        if (this.leader !== undefined && !this.leader.hasQuorum(nowMs)) {
            this.log("stepping down: lost contact with the quorum");
            this.becomeFollower(this.state.term, undefined);
        }
    }

    private stepDownIfRemoved(): void {
        if (this.leader !== undefined && !this.state.isVoter && this.state.commitIndex >= this.state.membersIndex) {
            this.becomeFollower(this.state.term, undefined);
        }
    }

    private refuse(requestId: number): void {
        this.state.emit({ kind: "answer", requestId, answer: { kind: "refused", leaderId: this.leaderId } });
    }

    private receive(from: ControlVmId, message: ReplicationMessage): void {
        this.recordContact(from, message);
        const isProspectiveTerm = message.kind === "pre-vote" ||
            (message.kind === "pre-vote-answer" && message.isGranted);
        if (message.term > this.state.term && !isProspectiveTerm) {
            this.becomeFollower(message.term, undefined);
        }
        switch (message.kind) {
            case "pre-vote":
            case "vote":
                this.answerVote(from, message);
                break;
            case "pre-vote-answer":
            case "vote-answer":
                this.countVote(from, message);
                break;
            case "append":
            case "snapshot":
                this.handleLeaderMessage(from, message);
                break;
            case "append-answer":
                if (message.term === this.state.term) {
                    this.leader?.handleAppendAnswer(from, message);
                }
                break;
            case "snapshot-answer":
                if (message.term === this.state.term) {
                    this.leader?.handleSnapshotAnswer(from, message);
                }
                break;
        }
    }

    /** Vote requests do not count as contact, since a VM that receives no messages also sends them. */
    private recordContact(from: ControlVmId, message: ReplicationMessage): void {
        const isVoteRequest = message.kind === "pre-vote" || message.kind === "vote";
        if (!isVoteRequest && message.term >= this.state.term) {
            const revision = message.kind === "append-answer" ? message.revision : this.heard.get(from)?.revision;
            this.heard.set(from, { atMs: this.nowMs, revision });
        }
    }

    private handleLeaderMessage(from: ControlVmId, message: LeaderMessage): void {
        const { term, machine } = this.state;
        if (message.term < term) {
            const { revision } = machine;
            const answer = { isMatch: false, matchIndex: 0, round: 0, term, revision };
            this.state.send(from, { kind: "append-answer", ...answer });
            return;
        }
        this.candidacy = undefined;
        this.leaderId = from;
        this.lastLeaderContactAtMs = this.nowMs;
        this.postponeElection();
        if (message.kind === "append") {
            this.follower.append(from, message, this.nowMs);
        }
        else {
            this.follower.receiveChunk(from, message, this.nowMs);
        }
    }

    private answerVote(from: ControlVmId, message: VoteRequest): void {
        const isCandidateUpToDate = this.state.log.isUpToDate(message.lastIndex, message.lastTerm);
        if (message.kind === "pre-vote") {
            const isGranted = isCandidateUpToDate && message.term > this.state.term && !this.isLeaderActive();
            const term = isGranted ? message.term : this.state.term;
            this.state.send(from, { kind: "pre-vote-answer", term, isGranted });
            return;
        }
        const { term, votedFor } = this.state;
        const isVoteAvailable = votedFor === undefined || votedFor === from;
        const isGranted = isCandidateUpToDate && isVoteAvailable && message.term === term && this.leader === undefined;
        if (isGranted) {
            this.postponeElection();
            if (votedFor === undefined) {
                this.state.saveVote(term, from);
            }
        }
        this.state.send(from, { kind: "vote-answer", term, isGranted });
    }

    private isLeaderActive(): boolean {
        return this.leader !== undefined || this.nowMs - this.lastLeaderContactAtMs < this.state.limits.minElectionMs;
    }

    private startElection(phase: Candidacy["phase"]): void {
        this.postponeElection();
        // Retries before the full election timeout: a split or lost vote is evident by then, and the retry starts with a
        // pre-vote, which changes no state.
        this.electionAtMs = Math.min(this.electionAtMs, this.nowMs + this.drawRetryDelayMs());
        this.leaderId = undefined;
        this.candidacy = { phase, granted: new Set() };
        const isVote = phase === "vote";
        if (isVote) {
            this.state.saveVote(this.state.term + 1, this.state.selfId);
        }
        const { lastIndex, lastTerm } = this.state.log;
        const term = isVote ? this.state.term : this.state.term + 1;
        this.state.members.voters.filter(member => member.id !== this.state.selfId).forEach(member =>
            this.state.send(member.id, { kind: phase, term, lastIndex, lastTerm })
        );
        this.advanceElection();
    }

    private countVote(from: ControlVmId, message: VoteAnswer): void {
        const isPreVote = message.kind === "pre-vote-answer";
        const expectedTerm = isPreVote ? this.state.term + 1 : this.state.term;
        const isExpected = this.candidacy?.phase === (isPreVote ? "pre-vote" : "vote") && message.term === expectedTerm;
        if (isExpected && message.isGranted) {
            this.candidacy?.granted.add(from);
            this.advanceElection();
        }
    }

    private advanceElection(): void {
        const candidacy = this.candidacy;
        if (candidacy === undefined || !this.state.isQuorum(id => candidacy.granted.has(id))) {
            return;
        }
        if (candidacy.phase === "pre-vote") {
            this.startElection("vote");
            return;
        }
        this.candidacy = undefined;
        this.log(`became leader in term ${this.state.term}`);
        this.leader = new Leader(this.state, this.nowMs);
    }

    private becomeFollower(term: number, leaderId: ControlVmId | undefined): void {
        if (this.leader !== undefined) {
            this.leader.stepDown();
            this.follower.confirmedAtMs = this.confirmedAtMs;
        }
        this.leader = undefined;
        this.candidacy = undefined;
        this.leaderId = leaderId;
        if (term > this.state.term) {
            this.state.saveVote(term, undefined);
        }
        this.postponeElection();
    }

    private postponeElection(): void {
        const { minElectionMs, maxElectionMs } = this.state.limits;
        this.electionAtMs = this.nowMs + minElectionMs + this.random.nextInt(maxElectionMs - minElectionMs);
    }

    /**
     * Staggers the first elections of VMs that start together by the order of their ids, so that votes are not split.
     * An election starts in the middle half of the VM's window; the first VM waits too, since the others may not be
     * listening yet.
     */
    private drawFirstElectionDelayMs(): number {
        const { firstElectionMs } = this.state.limits;
        const ids = this.state.members.voters.map(member => member.id).sort();
        const windowMs = firstElectionMs / Math.max(1, ids.length);
        const windowIndex = ids.indexOf(this.state.selfId);
        return windowIndex < 0
            ? this.random.nextInt(firstElectionMs)
            : windowMs * (windowIndex + 0.25 + this.random.nextUnit() / 2);
    }

    private drawRetryDelayMs(): number {
        const { maxCandidacyMs } = this.state.limits;
        return maxCandidacyMs / 2 + this.random.nextInt(Math.ceil(maxCandidacyMs / 2));
    }

    private log(text: string): void {
        this.state.emit({ kind: "log", level: "info", text });
    }
}
