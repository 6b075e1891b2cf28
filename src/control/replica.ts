import type { VoterId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import { Follower } from "./follower.js";
import { Leader } from "./leader.js";
import type { ControlEffect, ControlEvent, GroupMembers, ReplicationMessage } from "./messages.js";
import { type HeardMember, type ReplicaOptions, ReplicaRole } from "./replicaModel.js";
import { defaultReplicaLimits, ReplicaState } from "./replicaState.js";

type Candidacy = { readonly phase: "pre-vote" | "vote"; readonly granted: Set<VoterId>; };
type VoteQuestion = Extract<ReplicationMessage, { kind: "pre-vote" | "vote"; }>;
type VoteAnswer = Extract<ReplicationMessage, { kind: "pre-vote-answer" | "vote-answer"; }>;
type Part = Extract<ReplicationMessage, { kind: "append" | "snapshot"; }>;

/**
 * Replicated log of the catalogue, without I/O. The caller does the returned effects, disk effects first, before it
 * hands in the next event.
 */
export class Replica {
    readonly heard = new Map<VoterId, HeardMember>();
    private readonly state: ReplicaState;
    private readonly follower: Follower;
    private readonly random: RandomSource;
    private leader: Leader | undefined;
    private candidacy: Candidacy | undefined;
    private leaderId: VoterId | undefined;
    private electionAtMs = 0;
    private leaderHeardAtMs = -Infinity;
    private nowMs: number;

    constructor(options: ReplicaOptions) {
        const limits = options.limits ?? defaultReplicaLimits;
        this.random = options.random;
        this.nowMs = options.nowMs;
        this.state = new ReplicaState(options.selfId, options.persisted, options.machine, limits);
        this.follower = new Follower(this.state);
        this.electionAtMs = options.nowMs + (this.state.isQuorum(() => false) ? 0 : this.drawFirstElectionMs());
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

    /** Id of the leader, as far as known. */
    get knownLeader(): VoterId | undefined {
        return this.leader === undefined ? this.leaderId : this.state.selfId;
    }

    get members(): GroupMembers {
        return this.state.members;
    }

    /** Returns whether the member list in force is held by a majority. */
    get isSettled(): boolean {
        return this.state.commitIndex >= this.state.membersIndex;
    }

    get commitIndex(): number {
        return this.state.commitIndex;
    }

    /** Returns whether a leader was heard within the longest election timeout. */
    isLed(nowMs: number): boolean {
        return this.leader !== undefined || nowMs - this.leaderHeardAtMs < this.state.limits.maxElectionMs;
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
                if (this.state.found(event.members)) {
                    this.electionAtMs = nowMs;
                }
                break;
            case "join":
                this.leader?.join(event.member);
                break;
            case "leaving":
                this.leader?.noteLeaving(event.memberId);
                break;
        }
        this.resignIfRemoved();
        return this.state.takeEffects();
    }

    tick(nowMs: number): readonly ControlEffect[] {
        this.advanceTime(nowMs);
        this.leader?.tick(nowMs);
        if (this.leader === undefined && this.state.isVoter && nowMs >= this.electionAtMs) {
            this.startCandidacy("pre-vote");
        }
        this.resignIfRemoved();
        return this.state.takeEffects();
    }

    /** A leader that was paused must not act on its old quorum, so this comes before any event. */
    private advanceTime(nowMs: number): void {
        this.nowMs = nowMs;
        if (this.leader !== undefined && !this.leader.hasQuorum(nowMs)) {
            this.log("stepping down: no quorum answers");
            this.follow(this.state.term, undefined);
        }
    }

    private resignIfRemoved(): void {
        if (this.leader !== undefined && !this.state.isVoter && this.state.commitIndex >= this.state.membersIndex) {
            this.follow(this.state.term, undefined);
        }
    }

    private refuse(requestId: number): void {
        this.state.emit({ kind: "answer", requestId, answer: { kind: "refused", leaderId: this.leaderId } });
    }

    private receive(from: VoterId, message: ReplicationMessage): void {
        this.noteHeard(from, message);
        const isHypothetical = message.kind === "pre-vote" || (message.kind === "pre-vote-answer" && message.isGranted);
        if (message.term > this.state.term && !isHypothetical) {
            this.follow(message.term, undefined);
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
                this.takePart(from, message);
                break;
            case "append-answer":
                if (message.term === this.state.term) {
                    this.leader?.noteAppendAnswer(from, message);
                }
                break;
            case "snapshot-answer":
                if (message.term === this.state.term) {
                    this.leader?.noteSnapshotAnswer(from, message);
                }
                break;
        }
    }

    /** Questions for votes do not count: a VM that hears nobody sends them without end. */
    private noteHeard(from: VoterId, message: ReplicationMessage): void {
        const isQuestion = message.kind === "pre-vote" || message.kind === "vote";
        if (!isQuestion && message.term >= this.state.term) {
            const revision = message.kind === "append-answer" ? message.revision : this.heard.get(from)?.revision;
            this.heard.set(from, { atMs: this.nowMs, revision });
        }
    }

    private takePart(from: VoterId, message: Part): void {
        const { term, machine } = this.state;
        if (message.term < term) {
            const { revision } = machine;
            const answer = { isMatch: false, matchIndex: 0, round: 0, term, revision };
            this.state.send(from, { kind: "append-answer", ...answer });
            return;
        }
        this.candidacy = undefined;
        this.leaderId = from;
        this.leaderHeardAtMs = this.nowMs;
        this.postponeElection();
        if (message.kind === "append") {
            this.follower.append(from, message);
        }
        else {
            this.follower.installPart(from, message);
        }
    }

    private answerVote(from: VoterId, message: VoteQuestion): void {
        const isCovered = this.state.log.isCoveredBy(message.lastIndex, message.lastTerm);
        if (message.kind === "pre-vote") {
            const isGranted = isCovered && message.term > this.state.term && !this.isLeaderRecent();
            const term = isGranted ? message.term : this.state.term;
            this.state.send(from, { kind: "pre-vote-answer", term, isGranted });
            return;
        }
        const { term, votedFor } = this.state;
        const isFree = votedFor === undefined || votedFor === from;
        const isGranted = isCovered && isFree && message.term === term && this.leader === undefined;
        if (isGranted) {
            this.postponeElection();
            if (votedFor === undefined) {
                this.state.saveVote(term, from);
            }
        }
        this.state.send(from, { kind: "vote-answer", term, isGranted });
    }

    private isLeaderRecent(): boolean {
        return this.leader !== undefined || this.nowMs - this.leaderHeardAtMs < this.state.limits.minElectionMs;
    }

    private startCandidacy(phase: Candidacy["phase"]): void {
        this.postponeElection();
        // A vote that is split or lost is known by the same time; the next question for it changes no state either.
        this.electionAtMs = Math.min(this.electionAtMs, this.nowMs + this.drawRetryMs());
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
        this.finishPhase();
    }

    private countVote(from: VoterId, message: VoteAnswer): void {
        const isPreVote = message.kind === "pre-vote-answer";
        const expectedTerm = isPreVote ? this.state.term + 1 : this.state.term;
        const isExpected = this.candidacy?.phase === (isPreVote ? "pre-vote" : "vote") && message.term === expectedTerm;
        if (isExpected && message.isGranted) {
            this.candidacy?.granted.add(from);
            this.finishPhase();
        }
    }

    private finishPhase(): void {
        const candidacy = this.candidacy;
        if (candidacy === undefined || !this.state.isQuorum(id => candidacy.granted.has(id))) {
            return;
        }
        if (candidacy.phase === "pre-vote") {
            this.startCandidacy("vote");
            return;
        }
        this.candidacy = undefined;
        this.log(`leading in term ${this.state.term}`);
        this.leader = new Leader(this.state, this.nowMs);
    }

    private follow(term: number, leaderId: VoterId | undefined): void {
        this.leader?.resign();
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
     * VMs that start together begin their elections one after the other, by the order of their ids, so that votes are
     * not split. An election begins in the middle half of a turn; the first VM waits too, since the others may not
     * listen yet.
     */
    private drawFirstElectionMs(): number {
        const { firstElectionMs } = this.state.limits;
        const ids = this.state.members.voters.map(member => member.id).sort();
        const turnMs = firstElectionMs / Math.max(1, ids.length);
        const turn = ids.indexOf(this.state.selfId);
        return turn < 0 ? this.random.nextInt(firstElectionMs) : turnMs * (turn + 0.25 + this.random.nextUnit() / 2);
    }

    private drawRetryMs(): number {
        const { maxCandidacyMs } = this.state.limits;
        return maxCandidacyMs / 2 + this.random.nextInt(Math.ceil(maxCandidacyMs / 2));
    }

    private log(text: string): void {
        this.state.emit({ kind: "log", level: "info", text });
    }
}
