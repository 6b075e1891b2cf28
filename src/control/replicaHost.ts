import type { Clock } from "../core/clock.js";
import { StorageError } from "../core/errors.js";
import type { RandomSource } from "../core/random.js";
import type { ControlStore } from "../storage/controlStore.js";
import { performOnDisk } from "./diskEffects.js";
import type { ControlAnswer, ControlEffect, ControlEvent, GroupMembers } from "./messages.js";
import type { VoterStatus } from "./operatorApi.js";
import type { ControlLogger } from "./options.js";
import type { PeerLinks } from "./peerLinks.js";
import { Replica } from "./replica.js";
import { defaultReplicaLimits, type ReplicaLimits } from "./replicaState.js";
import { type ProposalEnd, ReplicatedLog } from "./replicatedLog.js";
import type { StateMachine } from "./stateMachine.js";

const tickMs = 50;
const proposalTimeoutMs = 5000;
const confirmTimeoutMs = 1500;
const silentAfterMs = 2000;

/** What a replica host works with. */
export interface ReplicaHostOptions<Machine extends StateMachine> {
    readonly selfId: string;
    /** The state that the log drives. */
    readonly machine: Machine;
    readonly limits?: ReplicaLimits;
    readonly store: ControlStore;
    readonly links: PeerLinks;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: ControlLogger;
    /** Called once, when the disk fails or the replica finds a contradiction; the host has stopped. */
    readonly onFailed: (error: Error) => void;
}

/** Effects of one turn, with the part of them that the disk has to do first. */
interface UnfinishedWork {
    readonly diskSteps: (() => void)[];
    readonly hasRecords: boolean;
    readonly effects: readonly ControlEffect[];
}

type Settle = (answer: ControlAnswer | undefined) => void;

/** Drives a replica with its disk, its peers and the time. */
export class ReplicaHost<Machine extends StateMachine, Change, Result> extends ReplicatedLog<Machine, Change, Result> {
    readonly state: Machine;
    private readonly replica: Replica;
    private readonly startedAtMs: number;
    private readonly ticker: NodeJS.Timeout;
    private readonly waiting = new Map<number, Settle>();
    private nextRequestId = 1;
    private queue: ControlEvent[] = [];
    /** What a full disk delays; the replica does nothing else before it is done. */
    private unfinished: UnfinishedWork | undefined;
    private isStopped = false;

    constructor(private readonly options: ReplicaHostOptions<Machine>) {
        super();
        const { selfId, store, random, clock, machine, limits = defaultReplicaLimits } = options;
        this.state = machine;
        this.startedAtMs = clock.monotonicMs();
        const persisted = store.load();
        this.replica = new Replica({ selfId, persisted, machine, random, limits, nowMs: this.startedAtMs });
        this.ticker = setInterval(() => this.run(), tickMs);
        this.learnMembers();
    }

    get selfId(): string {
        return this.options.selfId;
    }

    get isLeader(): boolean {
        return this.replica.role === "leader" && !this.isBlocked;
    }

    get leaderAddress(): string | undefined {
        const leader = this.replica.knownLeader;
        return leader === undefined || leader === this.selfId ? undefined : this.options.links.addressOf(leader);
    }

    get members(): GroupMembers {
        return this.replica.members;
    }

    /** Returns whether this VM leads or heard the leader within the longest election timeout. */
    get isLed(): boolean {
        return !this.isBlocked && this.replica.isLed(this.options.clock.monotonicMs());
    }

    /** Returns whether this VM votes or learns in the group it knows. */
    get isMember(): boolean {
        const { voters, learners } = this.replica.members;
        return [...voters, ...learners].some(member => member.id === this.selfId);
    }

    /** Hands in an event; it is handled together with the others of this turn of the event loop. */
    submit(event: ControlEvent): void {
        if (this.isBlocked) {
            // Peers send again what is lost; callers are told that the outcome is not known.
            return;
        }
        if (this.queue.length === 0) {
            setImmediate(() => this.run());
        }
        this.queue.push(event);
    }

    /** Handles the waiting events and the time. The records of all of them are synced at once. */
    run(): void {
        if (this.isStopped) {
            return;
        }
        try {
            if (this.unfinished !== undefined) {
                this.finish(this.unfinished);
                return;
            }
            const nowMs = this.options.clock.monotonicMs();
            const events = this.queue;
            this.queue = [];
            const effects = events.flatMap(event => this.replica.handle(event, nowMs));
            this.perform([...effects, ...this.replica.tick(nowMs)]);
        }
        catch (error) {
            this.fail(error as Error);
        }
    }

    async propose(change: Change): Promise<ProposalEnd<Result>> {
        const answer = await this.ask(proposalTimeoutMs, requestId => ({
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
        const answer = await this.ask(confirmTimeoutMs, requestId => ({ kind: "read", requestId }));
        return answer?.kind === "confirmed";
    }

    listVoters(): readonly VoterStatus[] {
        const { voters, learners } = this.replica.members;
        return [...voters, ...learners].map(member => this.describe(member.id));
    }

    close(): void {
        this.isStopped = true;
        clearInterval(this.ticker);
        this.waiting.forEach(settle => settle(undefined));
        this.options.store.close();
    }

    private ask(timeoutMs: number, makeEvent: (requestId: number) => ControlEvent): Promise<ControlAnswer | undefined> {
        if (this.isStopped || this.isBlocked) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const requestId = this.nextRequestId++;
            const settle: Settle = answer => {
                clearTimeout(timer);
                this.waiting.delete(requestId);
                resolve(answer);
            };
            const timer = setTimeout(() => settle(undefined), timeoutMs);
            this.waiting.set(requestId, settle);
            this.submit(makeEvent(requestId));
        });
    }

    private get isBlocked(): boolean {
        return this.unfinished !== undefined;
    }

    private perform(effects: readonly ControlEffect[]): void {
        const { store } = this.options;
        const diskSteps = effects.map(effect => () => performOnDisk(store, effect));
        const hasRecords = effects.some(effect => effect.kind === "append" || effect.kind === "save-snapshot");
        if (hasRecords) {
            diskSteps.push(() => store.sync());
        }
        this.finish({ diskSteps, hasRecords, effects });
    }

    /** Does the disk's part of the effects, then the others. A full disk delays all of them, as a slow disk would. */
    private finish(work: UnfinishedWork): void {
        const { diskSteps, hasRecords, effects } = work;
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
            this.block(work, error);
            return;
        }
        if (this.isBlocked) {
            this.unfinished = undefined;
            this.options.logger.info("the disk takes records again");
        }
        if (hasRecords) {
            this.learnMembers();
        }
        effects.forEach(effect => this.performElsewhere(effect));
    }

    private block(work: UnfinishedWork, error: StorageError): void {
        if (!this.isBlocked) {
            this.options.logger.warn(`the control VM takes no part in the group: ${error.message}`);
        }
        this.unfinished = work;
        this.waiting.forEach(settle => settle(undefined));
    }

    private performElsewhere(effect: ControlEffect): void {
        switch (effect.kind) {
            case "send":
                this.options.links.send(effect.to, effect.message);
                break;
            case "answer":
                this.waiting.get(effect.requestId)?.(effect.answer);
                break;
            case "log":
                this.options.logger[effect.level](effect.text);
                break;
        }
    }

    private learnMembers(): void {
        const { voters, learners } = this.replica.members;
        [...voters, ...learners].forEach(member => this.options.links.learn(member));
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
        const heard = replica.heard.get(id);
        const heardAgoMs = isSelf ? 0 : Math.round(nowMs - (heard?.atMs ?? this.startedAtMs));
        return {
            id,
            role: isSelf ? replica.role : this.guessRole(id),
            term: replica.term,
            revision: isSelf ? this.state.revision : heard?.revision ?? 0,
            heardAgoMs,
            problems: isSelf ? this.listOwnProblems(nowMs) : this.listPeerProblems(heardAgoMs),
        };
    }

    private guessRole(id: string): VoterStatus["role"] {
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

    /** Only the leader hears all members all the time. */
    private listPeerProblems(heardAgoMs: number): readonly string[] {
        return this.isLeader && heardAgoMs > silentAfterMs ? [`not heard for ${heardAgoMs} ms`] : [];
    }
}
