import type { VoterId } from "../core/ids.js";
import type {
    Command,
    ControlEffect,
    GroupMembers,
    LogRecord,
    PersistedState,
    ReplicationMessage,
    Snapshot,
} from "./messages.js";
import { RecordList } from "./recordList.js";
import type { StateMachine } from "./stateMachine.js";

/** Sizes and times of a replica. */
export interface ReplicaLimits {
    readonly heartbeatMs: number;
    /** VMs that vote; more VMs stay learners, which take the place of lost voters. */
    readonly votersWanted: number;
    /** A member that did not answer for this long can be replaced. */
    readonly lostAfterMs: number;
    readonly minElectionMs: number;
    readonly maxElectionMs: number;
    /** Longest wait of a VM that has just started; when all start together, none has to wait for a leader to be missed. */
    readonly firstElectionMs: number;
    /** Longest wait for the answers of the others in a candidacy, before the VM asks again whether it could win. */
    readonly maxCandidacyMs: number;
    /** A leader steps down when no quorum answered for this long. */
    readonly quorumLossMs: number;
    /** Records held before a snapshot is made. */
    readonly compactAfterRecords: number;
    /** Records kept behind a snapshot for followers that are slightly behind. */
    readonly keepRecords: number;
    readonly maxRecordsPerMessage: number;
    /** A message above the channel's limit would be dropped, and the same records sent again without end. */
    readonly maxMessageBytes: number;
    readonly snapshotChunkBytes: number;
}

export const defaultReplicaLimits: ReplicaLimits = {
    heartbeatMs: 100,
    votersWanted: Infinity,
    lostAfterMs: 10_000,
    minElectionMs: 700,
    maxElectionMs: 1400,
    firstElectionMs: 1400,
    maxCandidacyMs: 1400,
    quorumLossMs: 1200,
    compactAfterRecords: 1024,
    keepRecords: 256,
    maxRecordsPerMessage: 64,
    maxMessageBytes: 2 * 1024 * 1024,
    snapshotChunkBytes: 256 * 1024,
};

/** A member that takes longer than this many snapshots to receive one starts again with a newer one. */
const maxNeededSnapshots = 8;

const noMembers: GroupMembers = { voters: [], learners: [] };

interface MembersAtIndex {
    readonly index: number;
    readonly members: GroupMembers;
}

/** A record that a majority holds, with the result of its change. */
export interface AppliedRecord {
    readonly record: LogRecord;
    readonly result: unknown;
}

/** Tables of a replica: term, vote, log, members, and the effects that the current event has caused. */
export class ReplicaState {
    term: number;
    votedFor: VoterId | undefined;
    readonly log: RecordList;
    commitIndex: number;
    snapshot: Snapshot | undefined;
    /** Records after this index are kept for a member that is receiving an older snapshot. */
    neededAfterIndex = Infinity;
    /** Member lists by index, oldest first; the last one is in force as soon as it is in the log. */
    private memberHistory: MembersAtIndex[];
    private effects: ControlEffect[] = [];

    constructor(
        readonly selfId: VoterId,
        persisted: PersistedState,
        readonly machine: StateMachine,
        readonly limits: ReplicaLimits,
    ) {
        const { snapshot, records } = persisted;
        this.term = persisted.term;
        this.votedFor = persisted.votedFor;
        this.snapshot = snapshot;
        this.commitIndex = snapshot?.index ?? 0;
        this.memberHistory = [{ index: this.commitIndex, members: snapshot?.members ?? noMembers }];
        if (snapshot !== undefined && snapshot.state.length > 0) {
            machine.restore(snapshot.state);
        }
        const first = records.at(0);
        const isConnected = first === undefined || first.index === this.commitIndex + 1;
        this.log = isConnected
            ? new RecordList(this.commitIndex, snapshot?.term ?? 0)
            : new RecordList(first.index, first.term);
        this.log.append(isConnected ? records : records.slice(1));
        this.noteMembers(records.filter(record => record.index > this.commitIndex));
    }

    get members(): GroupMembers {
        return this.memberHistory[this.memberHistory.length - 1].members;
    }

    /** Index of the record that set the members. */
    get membersIndex(): number {
        return this.memberHistory[this.memberHistory.length - 1].index;
    }

    get isVoter(): boolean {
        return this.members.voters.some(member => member.id === this.selfId);
    }

    /** Returns whether the given voters, counted with this one, are a majority of the voters. */
    isQuorum(hasVoter: (id: VoterId) => boolean): boolean {
        const { voters } = this.members;
        const count = voters.filter(member => member.id === this.selfId || hasVoter(member.id)).length;
        return count * 2 > voters.length;
    }

    emit(effect: ControlEffect): void {
        this.effects.push(effect);
    }

    send(to: VoterId, message: ReplicationMessage): void {
        this.emit({ kind: "send", to, message });
    }

    takeEffects(): readonly ControlEffect[] {
        const taken = this.effects;
        this.effects = [];
        return taken;
    }

    /** Sets term and vote and saves them. */
    saveVote(term: number, votedFor: VoterId | undefined): void {
        this.term = term;
        this.votedFor = votedFor;
        this.emit({ kind: "save-vote", term, votedFor });
    }

    /** Adds a record of this term at the end of the log and returns its index. */
    appendOwn(command: Command): number {
        const index = this.log.lastIndex + 1;
        this.append([{ index, term: this.term, command }]);
        return index;
    }

    /** Adds records; those held from the first one's index on are dropped. */
    append(records: readonly LogRecord[]): void {
        if (records.length === 0) {
            return;
        }
        const fromIndex = records[0].index;
        this.memberHistory = this.memberHistory.filter((row, position) => position === 0 || row.index < fromIndex);
        this.log.append(records);
        this.noteMembers(records);
        this.emit({ kind: "append", records });
        this.emit({ kind: "sync" });
    }

    /** Applies the records up to an index, and makes a snapshot when the log has grown long. */
    commitUpTo(index: number): readonly AppliedRecord[] {
        const applied: AppliedRecord[] = [];
        while (this.commitIndex < index) {
            this.commitIndex++;
            const record = this.log.find(this.commitIndex);
            if (record === undefined) {
                throw new Error(`record ${this.commitIndex} is committed but not held`);
            }
            const { command } = record;
            const result = command.kind === "change" ? this.machine.apply(command.change) : undefined;
            applied.push({ record, result });
        }
        if (this.commitIndex - (this.snapshot?.index ?? 0) >= this.limits.compactAfterRecords) {
            this.compact();
        }
        return applied;
    }

    /** Replaces state and log with a received snapshot. */
    install(snapshot: Snapshot): void {
        const isContinued = this.log.termAt(snapshot.index) === snapshot.term;
        this.machine.restore(snapshot.state);
        this.snapshot = snapshot;
        this.commitIndex = snapshot.index;
        if (isContinued) {
            this.log.dropUpTo(snapshot.index);
        }
        else {
            this.log.reset(snapshot.index, snapshot.term);
        }
        const later = isContinued ? this.memberHistory.filter(row => row.index > snapshot.index) : [];
        this.memberHistory = [{ index: snapshot.index, members: snapshot.members }, ...later];
        this.emit({ kind: "save-snapshot", snapshot, records: this.log.slice(this.log.base + 1) });
    }

    /** Sets the members of a new group; returns false when there is a group already. */
    found(members: GroupMembers): boolean {
        if (this.members.voters.length > 0 || this.log.lastIndex > 0) {
            return false;
        }
        this.snapshot = { index: 0, term: 0, members, state: new Uint8Array() };
        this.memberHistory = [{ index: 0, members }];
        this.emit({ kind: "save-snapshot", snapshot: this.snapshot, records: [] });
        return true;
    }

    private compact(): void {
        const index = this.commitIndex;
        const committed = this.memberHistory.filter(row => row.index <= index);
        const { members } = committed[committed.length - 1];
        const term = this.log.termAt(index);
        if (term === undefined || index === this.snapshot?.index) {
            return;
        }
        this.snapshot = { index, term, members, state: this.machine.toBytes() };
        const { keepRecords, compactAfterRecords } = this.limits;
        const neededAfter = Math.max(this.neededAfterIndex, index - maxNeededSnapshots * compactAfterRecords);
        this.log.dropUpTo(Math.max(this.log.base, Math.min(index - keepRecords, neededAfter)));
        this.memberHistory = this.memberHistory.slice(committed.length - 1);
        const records = this.log.slice(this.log.base + 1);
        this.emit({ kind: "save-snapshot", snapshot: this.snapshot, records });
    }

    private noteMembers(records: readonly LogRecord[]): void {
        for (const { index, command } of records) {
            if (command.kind === "members") {
                this.memberHistory.push({ index, members: command.members });
            }
        }
    }
}
