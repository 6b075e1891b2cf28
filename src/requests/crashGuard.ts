import type { EntryId, RequestId } from "../core/ids.js";
import type { PeerMessage } from "../entry/messages.js";
import type { PeerView, UpstreamView } from "../membership/view.js";
import type { AttemptTarget, RequestFacts } from "./model.js";
import type { Outbox } from "./outbox.js";
import { type Fingerprint, fingerprintOf, type Loss, Standing, SuspectTable } from "./suspectTable.js";

const checkTimeoutMs = 100;
const acknowledgementTimeoutMs = 150;
const resendIntervalMs = 50;
// An instance that restarts at once accepts connections again before its new incarnation is announced.
const lateEvidenceMs = 5000;

/** Methods of the messages about crash suspects. */
export const CrashMethod = {
    suspect: "crash.suspect",
    acknowledge: "crash.acknowledge",
    clear: "crash.clear",
} as const;

interface CheckRow {
    readonly id: string;
    readonly instance: Omit<Loss, "fingerprint">;
    /** Requests that were in flight on the instance, with their fingerprints. */
    readonly requests: Map<RequestId, Fingerprint>;
    state: "checking" | "notifying";
    startedAtMs: number;
    nextSendAtMs: number;
    awaited: Set<EntryId>;
}

interface SurvivorRow {
    readonly loss: Loss;
    readonly untilMs: number;
}

interface Acknowledgement {
    readonly checkId: string;
}

interface SuspectMessage {
    readonly checkId: string;
    readonly losses: readonly Loss[];
}

/** Finds out which requests were in flight on instances that were lost, and tells the other entries. */
export class CrashGuard {
    private readonly suspects = new SuspectTable();
    private readonly checks = new Map<string, CheckRow>();
    private survivors: SurvivorRow[] = [];
    private settled: RequestId[] = [];

    constructor(
        private readonly peers: PeerView,
        private readonly upstreams: UpstreamView,
        private readonly outbox: Outbox,
    ) {}

    standingOf(request: RequestFacts, nowMs: number): Standing {
        return this.suspects.size === 0 ? Standing.clear : this.suspects.standingOf(fingerprintOf(request), nowMs);
    }

    /** The connection of an attempt was reset. The request is settled when `takeSettled` names it. */
    onReset(request: RequestFacts, target: AttemptTarget, nowMs: number): void {
        const { upstreamId, incarnation } = target;
        const id = `${request.service}/${upstreamId}/${incarnation}`;
        const fingerprint = fingerprintOf(request);
        const check = this.checks.get(id);
        if (check?.state === "checking") {
            check.requests.set(request.id, fingerprint);
            return;
        }
        const instance = { service: request.service, upstreamId, incarnation };
        const row: CheckRow = {
            id,
            instance,
            requests: new Map([...check?.requests ?? [], [request.id, fingerprint]]),
            state: "checking",
            startedAtMs: nowMs,
            nextSendAtMs: nowMs,
            awaited: new Set(),
        };
        this.checks.set(id, row);
        if (check !== undefined || this.isGone(instance)) {
            return this.onLost(row, nowMs);
        }
        this.outbox.push({ kind: "check-connection", checkId: id, address: target.address, timeoutMs: checkTimeoutMs });
    }

    /** The shell has tried to connect to an instance. */
    onChecked(checkId: string, isAccepted: boolean, nowMs: number): void {
        const check = this.checks.get(checkId);
        if (check?.state !== "checking") {
            return;
        }
        if (!isAccepted || this.isGone(check.instance)) {
            return this.onLost(check, nowMs);
        }
        for (const fingerprint of check.requests.values()) {
            this.survivors.push({ loss: { ...check.instance, fingerprint }, untilMs: nowMs + lateEvidenceMs });
        }
        this.settle(check);
    }

    /** A response of the request is complete: the instance has survived it. */
    onSurvived(request: RequestFacts, nowMs: number): void {
        if (this.standingOf(request, nowMs) === Standing.clear) {
            return;
        }
        const fingerprint = fingerprintOf(request);
        this.suspects.clear(fingerprint);
        for (const peer of this.peers.livePeers(nowMs)) {
            this.outbox.send(peer.id, CrashMethod.clear, { fingerprint });
        }
    }

    /** Takes the requests whose checks have ended since the last call. */
    takeSettled(): readonly RequestId[] {
        const settled = this.settled;
        this.settled = [];
        return settled;
    }

    /** Handles a message of another entry; ignores other methods. */
    handle(from: EntryId, message: PeerMessage, nowMs: number): void {
        switch (message.method) {
            case CrashMethod.suspect:
                return this.onSuspect(from, message.params as SuspectMessage, nowMs);
            case CrashMethod.acknowledge:
                return this.onAcknowledged(from, message.params as Acknowledgement);
            case CrashMethod.clear:
                this.suspects.clear((message.params as { readonly fingerprint: Fingerprint; }).fingerprint);
        }
    }

    tick(nowMs: number): void {
        for (const check of [...this.checks.values()]) {
            this.runTimers(check, nowMs);
        }
        this.findLateEvidence(nowMs);
        this.suspects.tick(nowMs);
    }

    private runTimers(check: CheckRow, nowMs: number): void {
        const elapsedMs = nowMs - check.startedAtMs;
        if (check.state === "checking") {
            if (elapsedMs >= checkTimeoutMs) {
                this.onLost(check, nowMs);
            }
        }
        else if (elapsedMs >= acknowledgementTimeoutMs) {
            this.settle(check);
        }
        else if (nowMs >= check.nextSendAtMs) {
            this.notify(check, nowMs);
        }
    }

    private onLost(check: CheckRow, nowMs: number): void {
        for (const fingerprint of check.requests.values()) {
            this.suspects.add({ ...check.instance, fingerprint }, nowMs);
        }
        this.outbox.count("crash.losses", { service: check.instance.service });
        check.state = "notifying";
        check.startedAtMs = nowMs;
        check.awaited = new Set(this.peers.livePeers(nowMs).map(peer => peer.id));
        if (check.awaited.size === 0) {
            return this.settle(check);
        }
        this.notify(check, nowMs);
    }

    private notify(check: CheckRow, nowMs: number): void {
        check.nextSendAtMs = nowMs + resendIntervalMs;
        const losses = [...new Set(check.requests.values())].map(fingerprint => ({ ...check.instance, fingerprint }));
        const message: SuspectMessage = { checkId: check.id, losses };
        for (const id of check.awaited) {
            this.outbox.send(id, CrashMethod.suspect, message);
        }
    }

    private settle(check: CheckRow): void {
        this.checks.delete(check.id);
        this.settled.push(...check.requests.keys());
    }

    private onSuspect(from: EntryId, message: SuspectMessage, nowMs: number): void {
        for (const loss of message.losses) {
            this.suspects.add(loss, nowMs);
        }
        const acknowledgement: Acknowledgement = { checkId: message.checkId };
        this.outbox.send(from, CrashMethod.acknowledge, acknowledgement);
    }

    private onAcknowledged(from: EntryId, { checkId }: Acknowledgement): void {
        const check = this.checks.get(checkId);
        if (check?.state !== "notifying") {
            return;
        }
        check.awaited.delete(from);
        if (check.awaited.size === 0) {
            this.settle(check);
        }
    }

    private findLateEvidence(nowMs: number): void {
        if (this.survivors.length === 0) {
            return;
        }
        const [gone, others] = [
            this.survivors.filter(it => this.isGone(it.loss)),
            this.survivors.filter(it => !this.isGone(it.loss) && it.untilMs > nowMs),
        ];
        this.survivors = others;
        for (const { loss } of gone) {
            if (this.suspects.add(loss, nowMs)) {
                this.broadcast(loss, nowMs);
            }
        }
    }

    private broadcast(loss: Loss, nowMs: number): void {
        const message: SuspectMessage = { checkId: "", losses: [loss] };
        for (const peer of this.peers.livePeers(nowMs)) {
            this.outbox.send(peer.id, CrashMethod.suspect, message);
        }
    }

    private isGone({ service, upstreamId, incarnation }: Omit<Loss, "fingerprint">): boolean {
        const row = this.upstreams.findUpstream(service, upstreamId);
        return row === undefined || row.announcement.incarnation > incarnation;
    }
}
