import { type Catalogue, emptyCatalogue, type Service } from "../src/catalogue/model.js";
import { type RandomSource, SeededRandom } from "../src/core/random.js";
import type { EntryEffect, EntryEvent } from "../src/entry/messages.js";
import type { PeerRow, PeerView, UpstreamRow, UpstreamView } from "../src/membership/view.js";
import type { ClaimSettings } from "../src/requests/claimProtocol.js";
import { RequestLifecycle } from "../src/requests/lifecycle.js";
import type { AttemptTarget, RequestMetadata } from "../src/requests/model.js";
import { FakeRouter, type FakeUpstream } from "./fakeRouter.js";

const tickMs = 5;
const zones = ["a", "b", "c"];

interface FakeAnswer {
    readonly verdict: string;
    readonly reason: string;
    readonly status: number;
    readonly body: string;
}

const ran = { verdict: "ran", status: 200 };

interface FakeEntry {
    readonly id: string;
    readonly lifecycle: RequestLifecycle;
    readonly router: FakeRouter;
    readonly incarnation: number;
    readonly knownPeers: Map<string, number>;
    readonly cancelled: Set<string>;
    readonly responseBodies: Map<string, string>;
    pausedUntilMs: number;
    isAlive: boolean;
}

export interface ClusterOptions {
    readonly seed: number;
    readonly entryCount: number;
    /** Number of entries in the first entry list; all by default. */
    readonly listedCount?: number;
    readonly upstreamCount: number;
    readonly claims?: Partial<ClaimSettings>;
    readonly maxServiceMs?: number;
    readonly messageFaultRate?: number;
    readonly maxDelayMs?: number;
}

/** Request lifecycles of several entries, messages that are lost, delayed or duplicated, and fake upstreams. */
export class FakeCluster {
    nowMs = 0;
    readonly upstreams = new Map<string, FakeUpstream>();
    readonly entries = new Map<string, FakeEntry>();
    readonly answers = new Map<string, FakeAnswer>();
    /** Requests answered not-run although a request with the same key had run before. */
    readonly falseNotRun: string[] = [];
    readonly executions: { requestId: string; body: string; upstreamId: string; }[] = [];
    readonly effects: EntryEffect[] = [];
    readonly cutLinks = new Set<string>();
    readonly poisonPaths = new Set<string>();
    lostUpstreams = 0;
    readonly catalogues = new Map<string, Catalogue>();
    private readonly facts = new Map<string, RequestMetadata>();
    private readonly queue: { atMs: number; run: () => void; }[] = [];
    private readonly random: RandomSource;

    constructor(private readonly options: ClusterOptions) {
        this.random = new SeededRandom(options.seed);
        for (let index = 0; index < options.upstreamCount; index++) {
            const id = `u${index}`;
            const running = new Set<() => void>();
            this.upstreams.set(id, { id, incarnation: 1, isAlive: true, isListed: true, isSilent: false, running });
        }
        const ids = Array.from({ length: options.entryCount }, (_, index) => `e${index}`);
        ids.forEach(id => this.catalogues.set(id, makeCatalogue(1, [ids.slice(0, options.listedCount)])));
        ids.forEach(id => this.startEntry(id, 0));
        this.run(50);
    }

    /** Starts or restarts an entry; control first confirms `controlRevision` to it, by default the newest. */
    startEntry(id: string, controlRevision = this.newestRevision()): void {
        const incarnation = (this.entries.get(id)?.incarnation ?? 0) + 1;
        const router = new FakeRouter(this.upstreams, this.random);
        const knownPeers = new Map<string, number>();
        const lifecycle = new RequestLifecycle({
            selfId: id,
            incarnation,
            router,
            peers: this.peersOf(id, knownPeers),
            upstreams: this.upstreamView,
            catalogue: () => this.catalogues.get(id) ?? emptyCatalogue,
            random: new SeededRandom(this.random.nextInt(1 << 30)),
            claims: this.options.claims,
            firstControlRevision: () => controlRevision,
        });
        this.entries.set(id, {
            id,
            lifecycle,
            router,
            incarnation,
            knownPeers,
            cancelled: new Set(),
            responseBodies: new Map(),
            pausedUntilMs: 0,
            isAlive: true,
        });
    }

    private newestRevision(): number {
        return Math.max(...[...this.catalogues.values()].map(catalogue => catalogue.revision));
    }

    kill(id: string): void {
        this.entry(id).isAlive = false;
    }

    entry(id: string): FakeEntry {
        return this.entries.get(id) as FakeEntry;
    }

    request(entryId: string, facts: Partial<RequestMetadata> & { id: string; }): void {
        const { idempotencyKey, bodyHash = `hash-${idempotencyKey}` } = facts;
        const request: RequestMetadata = {
            service: "orders",
            method: "POST",
            path: "/",
            callerId: "c",
            isBodyReplayable: true,
            idempotencyKey,
            bodyHash,
            deadlineAtMs: this.nowMs + 2000,
            ...facts,
        };
        this.facts.set(request.id, request);
        this.deliver(entryId, this.entry(entryId).incarnation, { kind: "request", request });
    }

    updateCatalogue(id: string, catalogue: Catalogue): void {
        if (catalogue.revision > (this.catalogues.get(id)?.revision ?? 0)) {
            this.catalogues.set(id, catalogue);
        }
    }

    isGet(requestId: string): boolean {
        return this.facts.get(requestId)?.method === "GET";
    }

    keyOf(requestId: string): string {
        return this.facts.get(requestId)?.idempotencyKey ?? requestId;
    }

    /** Advances the simulated clock and runs all that is due. */
    run(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs += tickMs;
            this.runQueue();
            for (const entry of this.entries.values()) {
                if (entry.isAlive && entry.pausedUntilMs <= this.nowMs) {
                    this.receiveHeartbeats(entry);
                    this.perform(entry, entry.lifecycle.tick(this.nowMs));
                }
            }
        }
    }

    /** Delivers an event to an entry; delays it while the entry is paused and drops it if the entry has died. */
    deliver(entryId: string, incarnation: number, event: EntryEvent): void {
        const entry = this.entry(entryId);
        if (!entry.isAlive || entry.incarnation !== incarnation) {
            return;
        }
        if (entry.pausedUntilMs > this.nowMs) {
            return this.schedule(entry.pausedUntilMs - this.nowMs, () => this.deliver(entryId, incarnation, event));
        }
        this.perform(entry, entry.lifecycle.handle(event, this.nowMs));
    }

    private runQueue(): void {
        for (;;) {
            // The sort is stable, so steps due at the same time run in the order in which they were scheduled.
            this.queue.sort((first, second) => first.atMs - second.atMs);
            if (this.queue.length === 0 || this.queue[0].atMs > this.nowMs) {
                return;
            }
            this.queue.shift()?.run();
        }
    }

    /** Schedules a step to run after a delay. */
    schedule(delayMs: number, run: () => void): void {
        this.queue.push({ atMs: this.nowMs + delayMs, run });
    }

    private perform(entry: FakeEntry, effects: readonly EntryEffect[]): void {
        for (const effect of effects) {
            this.effects.push(effect);
            switch (effect.kind) {
                case "send-peer":
                    this.send(entry, effect);
                    break;
                case "cancel-attempt":
                    entry.cancelled.add(effect.attemptId);
                    break;
                case "dispatch":
                    this.dispatch(entry, effect.requestId, effect.target);
                    break;
                case "forward":
                    this.answer(effect.requestId, {
                        ...ran,
                        reason: "forwarded",
                        body: entry.responseBodies.get(effect.attemptId) ?? "",
                    });
                    break;
                case "replay": {
                    const body = Buffer.from(effect.response.body ?? []).toString();
                    this.answer(effect.requestId, { ...ran, reason: "replay", body });
                    break;
                }
                case "answer":
                    this.answer(effect.requestId, { ...effect.answer, body: "" });
                    break;
                case "check-connection": {
                    const { checkId, address } = effect;
                    const isAccepted = this.upstreams.get(address)?.isAlive ?? false;
                    const event: EntryEvent = { kind: "connection-checked", checkId, isAccepted };
                    this.schedule(1, () => this.deliver(entry.id, entry.incarnation, event));
                }
            }
        }
    }

    private send(from: FakeEntry, { to, message }: Extract<EntryEffect, { kind: "send-peer"; }>): void {
        const copies = this.random.nextUnit() < (this.options.messageFaultRate ?? 0) ? this.random.nextInt(3) : 1;
        for (let copy = 0; copy < copies && !this.isCut(from.id, to) && this.entries.has(to); copy++) {
            const { incarnation } = this.entry(to);
            const event: EntryEvent = { kind: "peer-message", from: from.id, message: structuredClone(message) };
            const delayMs = 1 + this.random.nextInt(this.options.maxDelayMs ?? 1);
            // A frame on a connection to a dead process does not reach a restarted process with the same id.
            this.schedule(delayMs, () => this.isCut(from.id, to) || this.deliver(to, incarnation, event));
        }
    }

    private dispatch(entry: FakeEntry, requestId: string, target: AttemptTarget): void {
        const { attemptId } = target;
        const report = (event: EntryEvent) => this.deliver(entry.id, entry.incarnation, event);
        const connect = () => {
            const upstream = this.upstreams.get(target.upstreamId) as FakeUpstream;
            if (!entry.isAlive || entry.cancelled.has(attemptId)) {
                return;
            }
            if (entry.pausedUntilMs > this.nowMs) {
                return this.schedule(entry.pausedUntilMs - this.nowMs, connect);
            }
            if (!upstream.isAlive) {
                return report({ kind: "attempt-failed", attemptId, failure: "connect-refused" });
            }
            report({ kind: "attempt-sent", attemptId });
            if (!entry.cancelled.has(attemptId) && !upstream.isSilent) {
                this.execute(entry, requestId, attemptId, upstream);
            }
        };
        this.schedule(this.random.nextInt(3), connect);
    }

    private execute(entry: FakeEntry, requestId: string, attemptId: string, upstream: FakeUpstream): void {
        const facts = this.facts.get(requestId) as RequestMetadata;
        const body = facts.idempotencyKey ?? requestId;
        const report = (event: EntryEvent) => this.deliver(entry.id, entry.incarnation, event);
        const fail = () => report({ kind: "attempt-failed", attemptId, failure: "reset" });
        upstream.running.add(fail);
        this.executions.push({ requestId, body, upstreamId: upstream.id });
        this.schedule(1 + this.random.nextInt(this.options.maxServiceMs ?? 5), () => {
            if (!upstream.running.delete(fail)) {
                return;
            }
            if (this.poisonPaths.has(facts.path)) {
                upstream.running.add(fail);
                return this.crash(upstream);
            }
            entry.responseBodies.set(attemptId, body);
            const head = { status: 200, headers: [] };
            report({ kind: "attempt-head", attemptId, head, load: undefined });
            report({ kind: "attempt-complete", attemptId, retained: { ...head, body: Buffer.from(body) } });
        });
    }

    crash(upstream: FakeUpstream): void {
        this.lostUpstreams++;
        upstream.isAlive = false;
        this.resetConnections(upstream);
    }

    resetConnections(upstream: FakeUpstream): void {
        const running = [...upstream.running];
        upstream.running.clear();
        running.forEach(fail => fail());
    }

    private answer(requestId: string, answer: FakeAnswer): void {
        if (this.answers.has(requestId)) {
            throw new Error(`second answer to ${requestId}: ${answer.reason}`);
        }
        this.answers.set(requestId, answer);
        const hasRun = !this.isGet(requestId) &&
            this.executions.some(execution => execution.body === this.keyOf(requestId));
        if (answer.verdict === "not-run" && hasRun) {
            this.falseNotRun.push(
                `${requestId} was answered not-run (${answer.reason}) after a request with its key had run`,
            );
        }
    }

    private receiveHeartbeats(entry: FakeEntry): void {
        for (const peer of this.entries.values()) {
            if (peer.isAlive && !this.isCut(peer.id, entry.id) && this.random.nextUnit() < 0.1) {
                entry.knownPeers.set(peer.id, peer.incarnation);
            }
        }
    }

    isCut(from: string, to: string): boolean {
        return this.cutLinks.has(`${from}>${to}`);
    }

    private peersOf(selfId: string, knownPeers: ReadonlyMap<string, number>): PeerView {
        const rowOf = (id: string): PeerRow | undefined => {
            const incarnation = knownPeers.get(id);
            const row = { id, availabilityZone: "", revision: 1, isDraining: false, lastHeartbeatAtMs: this.nowMs };
            return incarnation === undefined ? undefined : { ...row, incarnation };
        };
        const isLive = (id: string) => id !== selfId && this.entry(id).isAlive && !this.isCut(id, selfId);
        return {
            selfId,
            availabilityZone: "a",
            findPeer: rowOf,
            livePeers: () => [...this.entries.keys()].filter(isLive).map(rowOf).filter(row => row !== undefined),
        };
    }

    private readonly upstreamView: UpstreamView = {
        eligibleUpstreams: () => [],
        findUpstream: (_service, id) => {
            const upstream = this.upstreams.get(id);
            const announcement = { id, incarnation: upstream?.incarnation ?? 0 } as UpstreamRow["announcement"];
            return upstream === undefined ? undefined : { announcement, evidenceAtMs: this.nowMs, readySinceMs: 0 };
        },
    };
}

/** Returns a catalogue with one service and these entry lists. */
export function makeCatalogue(revision: number, lists: readonly (readonly string[])[]): Catalogue {
    const service = { name: "orders", idempotentMethods: ["GET"] } as unknown as Service;
    const entryLists = lists.map((entryIds, index) => ({
        revision: index + 1,
        entryIds,
        availabilityZones: entryIds.map(id => zones[Number(id.slice(1)) % zones.length]),
    }));
    return { ...emptyCatalogue, revision, services: { orders: service }, entryLists };
}
