import type { Clock } from "../core/clock.js";
import { StorageError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import type { ControlStore } from "../storage/controlStore.js";
import { performDiskEffect } from "./diskEffects.js";
import type { ControlAnswer, ControlEffect, ControlEvent, GroupMembers } from "./messages.js";
import type { VoterStatus } from "./operatorApi.js";
import type { ControlLogger } from "./options.js";
import type { PeerLinks } from "./peerLinks.js";
import { Replica } from "./replica.js";
import { defaultReplicaLimits, type ReplicaLimits } from "./replicaState.js";
import { type ProposalOutcome, ReplicatedLog } from "./replicatedLog.js";
import type { StateMachine } from "./stateMachine.js";

const tickMs = 50;
const proposalTimeoutMs = 5000;
const confirmTimeoutMs = 1500;
const silentAfterMs = 2000;

/** Options of a replica host. */
export interface ReplicaHostOptions<Machine extends StateMachine> {
    readonly selfId: string;
    /** State machine to which committed changes are applied. */
    readonly machine: Machine;
    readonly limits?: ReplicaLimits;
    readonly store: ControlStore;
    readonly links: PeerLinks;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: ControlLogger;
    /** Called once, after the host has stopped because the disk failed or the replica found an inconsistency. */
    readonly onFailed: (error: Error) => void;
}

/** Effects of one `run` call, and the remaining disk operations that must succeed before the other effects. */
interface EffectBatch {
    readonly diskSteps: (() => void)[];
    readonly hasRecords: boolean;
    readonly effects: readonly ControlEffect[];
}

type Settle = (answer: ControlAnswer | undefined) => void;

/** Runs a replica: connects it to its disk, its peers and the clock. */
export class ReplicaHost<Machine extends StateMachine, Change, Result> extends ReplicatedLog<Machine, Change, Result> {
    readonly state: Machine;
    /** Called when `isLed` has changed. */
    onContactChange: () => void = () => undefined;
    private readonly replica: Replica;
    private readonly startedAtMs: number;
    private readonly tickTimer: NodeJS.Timeout;
    private readonly pendingRequests = new Map<number, Settle>();
    private nextRequestId = 1;
    private queue: ControlEvent[] = [];
    /** Batch that a full disk delays; the replica handles no events until it is performed. */
    private delayedBatch: EffectBatch | undefined;
    private isStopped = false;
    private wasLed = false;

    constructor(private readonly options: ReplicaHostOptions<Machine>) {
        super();
        const { selfId, store, random, clock, machine, limits = defaultReplicaLimits } = options;
        this.state = machine;
        this.startedAtMs = clock.monotonicMs();
        const persisted = store.load();
        this.replica = new Replica({ selfId, persisted, machine, random, limits, nowMs: this.startedAtMs });
        this.tickTimer = setInterval(() => this.run(), tickMs);
        this.recordMemberAddresses();
    }

    get selfId(): string {
        return this.options.selfId;
    }

    get isLeader(): boolean {
        return this.replica.role === "leader" && !this.isSuspended;
    }

    get leaderAddress(): string | undefined {
        const leader = this.replica.knownLeader;
        return leader === undefined || leader === this.selfId ? undefined : this.options.links.addressOf(leader);
    }

    get members(): GroupMembers {
        return this.replica.members;
    }

    /** Time as of which a quorum confirmed the state of this VM to be current; -Infinity if it is not confirmed. */
    get confirmedAtMs(): number {
        return this.isSuspended ? -Infinity : this.replica.confirmedAtMs;
    }

    /** Returns whether the state of this VM was confirmed to be current within the maximum election timeout. */
    get isLed(): boolean {
        return !this.isSuspended && this.replica.isLed(this.options.clock.monotonicMs());
    }

    /** Whether the member list that this VM knows is committed. */
    get isSettled(): boolean {
        return this.replica.isSettled;
    }

    /** Returns whether this VM should ask members to add it to the group. */
    get needsToJoin(): boolean {
        return !this.isSuspended && this.replica.needsToJoin(this.options.clock.monotonicMs());
    }

    /** Returns whether this VM is a voter or learner of the group that it knows. */
    get isMember(): boolean {
        const { voters, learners } = this.replica.members;
        return [...voters, ...learners].some(member => member.id === this.selfId);
    }

    /** Queues an event, unless the VM is suspended. All events of one turn of the event loop are handled together. */
    submit(event: ControlEvent): void {
        if (this.isSuspended) {
            // Peers resend lost messages, and callers are told that the outcome is unknown.
            return;
        }
        if (this.queue.length === 0) {
            setImmediate(() => this.run());
        }
        this.queue.push(event);
    }

    /** Handles the queued events and a tick. One sync covers all their records. */
    run(): void {
        if (this.isStopped) {
            return;
        }
        try {
            if (this.delayedBatch !== undefined) {
                this.performBatch(this.delayedBatch);
                return;
            }
            const nowMs = this.options.clock.monotonicMs();
            const events = this.queue;
            this.queue = [];
            const effects = events.flatMap(event => this.replica.handle(event, nowMs));
            this.perform([...effects, ...this.replica.tick(nowMs)]);
            this.checkLeaderContact();
        }
        catch (error) {
            this.fail(error as Error);
        }
    }

    async propose(change: Change): Promise<ProposalOutcome<Result>> {
        const answer = await this.requestAnswer(proposalTimeoutMs, requestId => ({
            kind: "propose",
            requestId,
            command: { kind: "change", change },
        }));
        if (answer?.kind === "applied" && answer.result !== undefined) {
            return { kind: "applied", result: answer.result as Result };
        }
        return { kind: answer?.kind === "refused" ? "refused" : "unknown" };
    }

    async confirmLeadership(): Promise<boolean> {
        const answer = await this.requestAnswer(confirmTimeoutMs, requestId => ({ kind: "read", requestId }));
        return answer?.kind === "confirmed";
    }

    listVoters(): readonly VoterStatus[] {
        const { voters, learners } = this.replica.members;
        return [...voters, ...learners].map(member => this.describe(member.id));
    }

    close(): void {
        this.isStopped = true;
        clearInterval(this.tickTimer);
        this.pendingRequests.forEach(settle => settle(undefined));
        this.options.store.close();
    }

    private checkLeaderContact(): void {
        const { isLed } = this;
        if (isLed !== this.wasLed) {
            this.wasLed = isLed;
            const leader = this.replica.knownLeader;
            this.options.logger.info(isLed ? "in contact with a leader" : "lost contact with the leader", { leader });
            this.onContactChange();
        }
    }

    private requestAnswer(
        timeoutMs: number,
        makeEvent: (requestId: number) => ControlEvent,
    ): Promise<ControlAnswer | undefined> {
        if (this.isStopped || this.isSuspended) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const requestId = this.nextRequestId++;
            const settle: Settle = answer => {
                clearTimeout(timer);
                this.pendingRequests.delete(requestId);
                resolve(answer);
            };
            const timer = setTimeout(() => settle(undefined), timeoutMs);
            this.pendingRequests.set(requestId, settle);
            this.submit(makeEvent(requestId));
        });
    }

    private get isSuspended(): boolean {
        return this.delayedBatch !== undefined;
    }

    private perform(effects: readonly ControlEffect[]): void {
        const { store } = this.options;
        const diskSteps = effects.map(effect => () => performDiskEffect(store, effect));
        const hasRecords = effects.some(effect => effect.kind === "append" || effect.kind === "save-snapshot");
        if (hasRecords) {
            diskSteps.push(() => store.sync());
        }
        this.performBatch({ diskSteps, hasRecords, effects });
    }

    /** Performs the disk effects, then the others. A full disk suspends the VM and delays all, like a slow disk. */
    private performBatch(batch: EffectBatch): void {
        const { diskSteps, hasRecords, effects } = batch;
        try {
            for (let step = diskSteps.at(0); step !== undefined; step = diskSteps.at(0)) {
                step();
                diskSteps.shift();
            }
        }
        catch (error) {
            if (!(error instanceof StorageError) || error.code !== "storage-full") {
                throw error;
            }
            this.suspendUntilWritable(batch, error);
            return;
        }
        if (this.isSuspended) {
            this.delayedBatch = undefined;
            this.options.logger.info("control VM resumed: the disk accepts writes again");
        }
        if (hasRecords) {
            this.recordMemberAddresses();
        }
        effects.forEach(effect => this.performNonDiskEffect(effect));
    }

    private suspendUntilWritable(batch: EffectBatch, error: StorageError): void {
        if (!this.isSuspended) {
            this.options.logger.warn(`control VM suspended: ${error.message}`);
        }
        this.delayedBatch = batch;
        this.pendingRequests.forEach(settle => settle(undefined));
    }

    private performNonDiskEffect(effect: ControlEffect): void {
        switch (effect.kind) {
            case "send":
                this.options.links.send(effect.to, effect.message);
                break;
            case "answer":
                this.pendingRequests.get(effect.requestId)?.(effect.answer);
                break;
            case "log":
                this.options.logger[effect.level](effect.text);
                break;
        }
    }

    private recordMemberAddresses(): void {
        const { voters, learners } = this.replica.members;
        [...voters, ...learners].forEach(member => this.options.links.recordAddress(member));
    }

    private fail(error: Error): void {
        this.options.logger.error(`control VM stops: ${error.message}`);
        this.close();
        this.options.onFailed(error);
    }

    private describe(id: string): VoterStatus {
        const { replica } = this;
        const nowMs = this.options.clock.monotonicMs();
        const isSelf = id === this.selfId;
        const contact = replica.heard.get(id);
        const heardAgoMs = isSelf ? 0 : Math.round(nowMs - (contact?.atMs ?? this.startedAtMs));
        return {
            id,
            role: isSelf ? replica.role : this.inferRole(id),
            term: replica.term,
            revision: isSelf ? this.state.revision : contact?.revision ?? 0,
            heardAgoMs,
            problems: isSelf ? this.listOwnProblems(nowMs) : this.listPeerProblems(heardAgoMs),
        };
    }

    private inferRole(id: string): VoterStatus["role"] {
        if (id === this.replica.knownLeader) {
            return "leader";
        }
        if (this.replica.members.learners.some(member => member.id === id)) {
            return "learner";
        }
        return this.isLeader ? "follower" : "unknown";
    }

    private listOwnProblems(nowMs: number): readonly string[] {
        return this.replica.isLed(nowMs) ? [] : ["does not hear a leader"];
    }

    /** Only the leader receives messages from all members continuously. */
    private listPeerProblems(heardAgoMs: number): readonly string[] {
        return this.isLeader && heardAgoMs > silentAfterMs ? [`not heard for ${heardAgoMs} ms`] : [];
    }
}
