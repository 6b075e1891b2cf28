import type { EntryId, RequestId } from "../core/ids.js";
import type { PeerMessage } from "../entry/messages.js";
import type { PeerView, UpstreamView } from "../membership/view.js";
import type { AttemptTarget, RequestMetadata } from "./model.js";
import type { Outbox } from "./outbox.js";
import { type Fingerprint, fingerprintOf, type Loss, SuspectStatus, SuspectTable } from "./suspectTable.js";

const checkTimeoutMs = 100;
const acknowledgementTimeoutMs = 150;
const resendIntervalMs = 50;
// An instance that restarts quickly accepts connections again before its new incarnation is announced.
const restartDetectionMs = 5000;

/** Methods of the messages about crash suspects. */
export const CrashMethod = {
    suspect: "crash.suspect",
    acknowledge: "crash.acknowledge",
    clear: "crash.clear",
} as const;

interface CrashCheck {
    readonly id: string;
    readonly instance: Omit<Loss, "fingerprint">;
    /** Fingerprints of the requests that were in flight on the instance, by request id. */
    readonly requests: Map<RequestId, Fingerprint>;
    state: "checking" | "notifying";
    startedAtMs: number;
    nextSendAtMs: number;
    awaited: Set<EntryId>;
}

/** Lost connection to an instance that accepted a new one; a loss if the instance turns out to have restarted. */
interface PossibleLoss {
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

/** Detects which requests were in flight on lost instances, and reports them to the other entries. */
export class CrashDetector {
    private readonly suspects = new SuspectTable();
    private readonly checks = new Map<string, CrashCheck>();
    private possibleLosses: PossibleLoss[] = [];
    private checkedIds: RequestId[] = [];

    constructor(
        private readonly peers: PeerView,
        private readonly upstreams: UpstreamView,
        private readonly outbox: Outbox,
    ) {}

    suspectStatusOf(request: RequestMetadata, nowMs: number): SuspectStatus {
        return this.suspects.size === 0
            ? SuspectStatus.clear
            : this.suspects.suspectStatusOf(fingerprintOf(request), nowMs);
    }

    /**
     * Handles the loss of an attempt's connection after bytes may have been written. `takeCheckedRequestIds` returns
     * the request id once the check of the instance has ended.
     */
    onConnectionLost(request: RequestMetadata, target: AttemptTarget, nowMs: number): void {
        const { upstreamId, incarnation } = target;
        const id = `${request.service}/${upstreamId}/${incarnation}`;
        const fingerprint = fingerprintOf(request);
        const check = this.checks.get(id);
        if (check?.state === "checking") {
            check.requests.set(request.id, fingerprint);
            return;
        }
        const instance = { service: request.service, upstreamId, incarnation };
        const newCheck: CrashCheck = {
            id,
            instance,
            requests: new Map([...check?.requests ?? [], [request.id, fingerprint]]),
            state: "checking",
            startedAtMs: nowMs,
            nextSendAtMs: nowMs,
            awaited: new Set(),
        };
        this.checks.set(id, newCheck);
        if (check !== undefined || this.isLost(instance)) {
            return this.onLost(newCheck, nowMs);
        }
        this.outbox.push({ kind: "check-connection", checkId: id, address: target.address, timeoutMs: checkTimeoutMs });
    }

    /** Handles the result of `check-connection`. */
    onConnectionChecked(checkId: string, isAccepted: boolean, nowMs: number): void {
        const check = this.checks.get(checkId);
        if (check?.state !== "checking") {
            return;
        }
        if (!isAccepted || this.isLost(check.instance)) {
            return this.onLost(check, nowMs);
        }
        for (const fingerprint of check.requests.values()) {
            this.possibleLosses.push({ loss: { ...check.instance, fingerprint }, untilMs: nowMs + restartDetectionMs });
        }
        this.endCheck(check);
    }

    /** Handles a complete response: the instance survived the request, which is therefore no longer a suspect. */
    onResponseComplete(request: RequestMetadata, nowMs: number): void {
        if (this.suspectStatusOf(request, nowMs) === SuspectStatus.clear) {
            return;
        }
        const fingerprint = fingerprintOf(request);
        this.suspects.clear(fingerprint);
        for (const peer of this.peers.livePeers(nowMs)) {
            this.outbox.send(peer.id, CrashMethod.clear, { fingerprint });
        }
    }

    /** Takes the ids of the requests whose checks have ended since the last call. */
    takeCheckedRequestIds(): readonly RequestId[] {
        const takenIds = this.checkedIds;
        this.checkedIds = [];
        return takenIds;
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
        this.detectRestarts(nowMs);
        this.suspects.tick(nowMs);
    }

    private runTimers(check: CrashCheck, nowMs: number): void {
        const elapsedMs = nowMs - check.startedAtMs;
        if (check.state === "checking") {
            if (elapsedMs >= checkTimeoutMs) {
                this.onLost(check, nowMs);
            }
        }
        else if (elapsedMs >= acknowledgementTimeoutMs) {
            this.endCheck(check);
        }
        else if (nowMs >= check.nextSendAtMs) {
            this.notify(check, nowMs);
        }
    }

    private onLost(check: CrashCheck, nowMs: number): void {
        for (const fingerprint of check.requests.values()) {
            this.suspects.add({ ...check.instance, fingerprint }, nowMs);
        }
        this.outbox.count("crash.losses", { service: check.instance.service });
        check.state = "notifying";
        check.startedAtMs = nowMs;
        check.awaited = new Set(this.peers.livePeers(nowMs).map(peer => peer.id));
        if (check.awaited.size === 0) {
            return this.endCheck(check);
        }
        this.notify(check, nowMs);
    }

    private notify(check: CrashCheck, nowMs: number): void {
        check.nextSendAtMs = nowMs + resendIntervalMs;
        const losses = [...new Set(check.requests.values())].map(fingerprint => ({ ...check.instance, fingerprint }));
        const message: SuspectMessage = { checkId: check.id, losses };
        for (const id of check.awaited) {
            this.outbox.send(id, CrashMethod.suspect, message);
        }
    }

    private endCheck(check: CrashCheck): void {
        this.checks.delete(check.id);
        this.checkedIds.push(...check.requests.keys());
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
            this.endCheck(check);
        }
    }

    private detectRestarts(nowMs: number): void {
        if (this.possibleLosses.length === 0) {
            return;
        }
        const [lost, others] = [
            this.possibleLosses.filter(possibleLoss => this.isLost(possibleLoss.loss)),
            this.possibleLosses.filter(possibleLoss => !this.isLost(possibleLoss.loss) && possibleLoss.untilMs > nowMs),
        ];
        this.possibleLosses = others;
        for (const { loss } of lost) {
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

    private isLost({ service, upstreamId, incarnation }: Omit<Loss, "fingerprint">): boolean {
        const knownUpstream = this.upstreams.findUpstream(service, upstreamId);
        return knownUpstream === undefined || knownUpstream.announcement.incarnation > incarnation;
    }
}
