import type { ControlVmId } from "../core/ids.js";
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

/** Size limits and timeouts of a replica. */
export interface ReplicaLimits {
    readonly heartbeatMs: number;
    /** Target number of voters; further VMs stay learners, which replace lost voters. */
    readonly votersWanted: number;
    /** A member that has not answered for this long counts as lost and can be replaced. */
    readonly lostAfterMs: number;
    readonly minElectionMs: number;
    readonly maxElectionMs: number;
    /**
     * Maximum delay of the first election. The delay may be below `minElectionMs`, since VMs that start together have
     * no leader to wait for.
     */
    readonly firstElectionMs: number;
    /** Maximum time that a candidate waits for votes before it starts over with a pre-vote. */
    readonly maxCandidacyMs: number;
    /** A leader steps down when no quorum has answered for this long. */
    readonly quorumLossMs: number;
    /** A snapshot is made once this many records were committed after the previous one. */
    readonly compactAfterRecords: number;
    /** A snapshot is also made once the records that were committed after the previous one have this size. */
    readonly compactAfterBytes: number;
    /** Maximum number of records retained up to a snapshot's index, so that slightly lagging followers need no snapshot. */
    readonly keepRecords: number;
    /** Maximum size of these records. */
    readonly keepBytes: number;
    /** A leader refuses further changes while the records that are not committed have this size. */
    readonly maxUncommittedBytes: number;
    /** A leader sends a member no further records while those that the member has not acknowledged have this size. */
    readonly maxUnacknowledgedBytes: number;
    readonly maxRecordsPerMessage: number;
    /**
     * Maximum size of the records in a message; a larger record is sent alone. Must be below the frame limit of the
     * peer channel: a larger message would be dropped and resent forever.
     */
    readonly maxMessageBytes: number;
    readonly snapshotChunkBytes: number;
}

/** Limits of a replica whose options set none. */
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
    compactAfterBytes: 4 * 1024 * 1024,
    keepRecords: 256,
    keepBytes: 2 * 1024 * 1024,
    maxUncommittedBytes: 16 * 1024 * 1024,
    maxUnacknowledgedBytes: 4 * 1024 * 1024,
    maxRecordsPerMessage: 64,
    maxMessageBytes: 2 * 1024 * 1024,
    snapshotChunkBytes: 256 * 1024,
};

/**
 * During a snapshot transfer, the records after that snapshot are retained, but at most this many times
 * `compactAfterRecords` and `compactAfterBytes`. After a longer transfer, the member needs a newer snapshot.
 */
const transferRetentionFactor = 8;

const noMembers: GroupMembers = { voters: [], learners: [] };

interface MembersAtIndex {
    readonly index: number;
    readonly members: GroupMembers;
}

/** The index of a committed record with the result of its change. */
export interface AppliedRecord {
    readonly index: number;
    readonly result: unknown;
}

/** State of a replica that all roles share: term, vote, log, members and the effects of the current event. */
export class ReplicaState {
    term: number;
    votedFor: ControlVmId | undefined;
    readonly log: RecordList;
    commitIndex: number;
    snapshot: Snapshot | undefined;
    /** Index of the oldest snapshot that the leader is sending, or Infinity; the records after it are retained. */
    oldestSnapshotTransferIndex = Infinity;
    /** Member lists with their log index, oldest first; the last one is in effect as soon as it is appended. */
    private memberHistory: MembersAtIndex[];
    private effects: ControlEffect[] = [];

    constructor(
        readonly selfId: ControlVmId,
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
        // If records up to the snapshot's index were retained, the first one becomes the base of the log.
        const isContiguous = first === undefined || first.index === this.commitIndex + 1;
        this.log = isContiguous
            ? new RecordList(this.commitIndex, snapshot?.term ?? 0)
            : new RecordList(first.index, first.term);
        this.log.append(isContiguous ? records : records.slice(1));
        this.addToMemberHistory(records.filter(record => record.index > this.commitIndex));
    }

    get members(): GroupMembers {
        return this.memberHistory[this.memberHistory.length - 1].members;
    }

    /** Log index of the current member list. */
    get membersIndex(): number {
        return this.memberHistory[this.memberHistory.length - 1].index;
    }

    get isVoter(): boolean {
        return this.members.voters.some(member => member.id === this.selfId);
    }

    /** Returns whether the voters that satisfy `isCounted`, and this VM if it is a voter, are a majority. */
    isQuorum(isCounted: (id: ControlVmId) => boolean): boolean {
        const { voters } = this.members;
        const count = voters.filter(member => member.id === this.selfId || isCounted(member.id)).length;
        return count * 2 > voters.length;
    }

    emit(effect: ControlEffect): void {
        this.effects.push(effect);
    }

    send(to: ControlVmId, message: ReplicationMessage): void {
        this.emit({ kind: "send", to, message });
    }

    takeEffects(): readonly ControlEffect[] {
        const taken = this.effects;
        this.effects = [];
        return taken;
    }

    /** Sets and saves term and vote. */
    saveVote(term: number, votedFor: ControlVmId | undefined): void {
        this.term = term;
        this.votedFor = votedFor;
        this.emit({ kind: "save-vote", term, votedFor });
    }

    /** Appends a record of the current term and returns its index. */
    appendCommand(command: Command): number {
        const index = this.log.lastIndex + 1;
        this.append([{ index, term: this.term, command }]);
        return index;
    }

    /** Appends records, replacing existing ones from the first record's index on. */
    append(records: readonly LogRecord[]): void {
        if (records.length === 0) {
            return;
        }
        const fromIndex = records[0].index;
        // Drops the member lists of replaced records. The first list is part of the snapshot and always stays.
        this.memberHistory = this.memberHistory.filter((memberList, position) =>
            position === 0 || memberList.index < fromIndex
        );
        this.log.append(records);
        this.addToMemberHistory(records);
        this.emit({ kind: "append", records });
        this.emit({ kind: "sync" });
    }

    /** Commits and applies the records up to an index, and makes a snapshot when one is due. */
    commitUpTo(index: number): readonly AppliedRecord[] {
        const applied: AppliedRecord[] = [];
        while (this.commitIndex < index) {
            this.commitIndex++;
            const record = this.log.find(this.commitIndex);
            if (record === undefined) {
                throw new Error(`record ${this.commitIndex} is committed but missing from the log`);
            }
            const { command } = record;
            const result = command.kind === "change" ? this.machine.apply(command.change) : undefined;
            applied.push({ index: this.commitIndex, result });
        }
        if (this.isSnapshotDue()) {
            this.compact();
        }
        return applied;
    }

    /** Installs a received snapshot; records after it are retained if the log contains the snapshot's last record. */
    install(snapshot: Snapshot): void {
        const isLogConsistent = this.log.termAt(snapshot.index) === snapshot.term;
        this.machine.restore(snapshot.state);
        this.snapshot = snapshot;
        this.commitIndex = snapshot.index;
        if (isLogConsistent) {
            this.log.dropUpTo(snapshot.index);
        }
        else {
            this.log.reset(snapshot.index, snapshot.term);
        }
        const laterLists = isLogConsistent
            ? this.memberHistory.filter(memberList => memberList.index > snapshot.index)
            : [];
        this.memberHistory = [{ index: snapshot.index, members: snapshot.members }, ...laterLists];
        this.emit({ kind: "save-snapshot", snapshot, records: this.log.slice(this.log.base + 1) });
    }

    /** Sets the members of a new group; returns false when there already is a group. */
    bootstrap(members: GroupMembers): boolean {
        if (this.members.voters.length > 0 || this.log.lastIndex > 0) {
            return false;
        }
        this.snapshot = { index: 0, term: 0, members, state: new Uint8Array() };
        this.memberHistory = [{ index: 0, members }];
        this.emit({ kind: "save-snapshot", snapshot: this.snapshot, records: [] });
        return true;
    }

    private isSnapshotDue(): boolean {
        const { compactAfterRecords, compactAfterBytes } = this.limits;
        const snapshotIndex = this.snapshot?.index ?? 0;
        return this.commitIndex - snapshotIndex >= compactAfterRecords ||
            this.log.sizeBetween(snapshotIndex, this.commitIndex) >= compactAfterBytes;
    }

    private compact(): void {
        const index = this.commitIndex;
        const committedLists = this.memberHistory.filter(memberList => memberList.index <= index);
        const { members } = committedLists[committedLists.length - 1];
        const term = this.log.termAt(index);
        if (term === undefined || index === this.snapshot?.index) {
            return;
        }
        this.snapshot = { index, term, members, state: this.machine.toBytes() };
        this.log.dropUpTo(this.findLastDroppable(index));
        this.memberHistory = this.memberHistory.slice(committedLists.length - 1);
        const records = this.log.slice(this.log.base + 1);
        this.emit({ kind: "save-snapshot", snapshot: this.snapshot, records });
    }

    /** Returns the index up to which records are dropped after a snapshot. */
    private findLastDroppable(snapshotIndex: number): number {
        const { keepRecords, keepBytes, compactAfterRecords, compactAfterBytes } = this.limits;
        const transferStart = Math.max(
            this.oldestSnapshotTransferIndex,
            this.log.findTailStart(
                snapshotIndex,
                transferRetentionFactor * compactAfterRecords,
                transferRetentionFactor * compactAfterBytes,
            ),
        );
        return Math.min(this.log.findTailStart(snapshotIndex, keepRecords, keepBytes), transferStart);
    }

    private addToMemberHistory(records: readonly LogRecord[]): void {
        for (const { index, command } of records) {
            if (command.kind === "members") {
                this.memberHistory.push({ index, members: command.members });
            }
        }
    }
}
