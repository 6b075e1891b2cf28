import type { EntryId } from "../core/ids.js";
import type { PeerMessage } from "../entry/messages.js";
import { ActiveClaims, makeOutcomeAnswer } from "./activeClaims.js";
import {
    type ActiveClaim,
    chooseBackoffMs,
    type ClaimResult,
    type ClaimSpec,
    type DecidedClaim,
    evaluateRound,
    HeldPolicy,
    makeClaim,
    makeRoundRequest,
} from "./claim.js";
import type { ClaimCoordinatorOptions } from "./claimCoordinatorOptions.js";
import {
    type ClaimAnswer,
    type ClaimId,
    ClaimMethod,
    type ClaimOutcome,
    type ClaimReference,
    type OutcomeAnswer,
} from "./claimMessages.js";
import { ClaimSender } from "./claimSender.js";

const resendIntervalMs = 100;
const roundTimeoutMs = 400;
const holderQueryIntervalMs = 50;
const holderTimeoutMs = 1000;

/** Claimant side of the claim protocol: acquires and holds claims for this entry's requests. */
export class ClaimCoordinator {
    private readonly claims = new ActiveClaims();
    private decided: DecidedClaim[] = [];

    private readonly sender: ClaimSender;
    private readonly claimIdPrefix: string;
    private lastClaimNumber = 0;

    constructor(private readonly options: ClaimCoordinatorOptions) {
        this.claimIdPrefix = `${options.selfId}:${options.incarnation}:`;
        this.sender = new ClaimSender(options.selfId, options.table, options.outbox);
    }

    /** Starts the first round of a claim. Decides it as unavailable without a round if the recorder is full. */
    start(spec: ClaimSpec, nowMs: number): void {
        const claim = makeClaim(spec, nowMs);
        this.claims.add(claim);
        if (this.options.recorder.size >= this.options.maxFinishedClaims) {
            return this.decide(claim, { kind: "unavailable", reason: "claims-full" });
        }
        this.startRound(claim, nowMs);
    }

    /** Takes the claims that were decided since the last call. */
    takeDecided(): readonly DecidedClaim[] {
        const decided = this.decided;
        this.decided = [];
        return decided;
    }

    /** Whether the owner's claim is granted and recent enough for a dispatch. */
    isDispatchable(ownerId: string, nowMs: number): boolean {
        const claim = this.claims.find(ownerId);
        return claim?.state === "granted" && nowMs - claim.roundStartedAtMs <= this.options.maxClaimAgeMs;
    }

    /**
     * Whether an earlier submission with the key may have run. An answer at the deadline then has the verdict
     * `may-have-run`.
     */
    mayHaveRunElsewhere(ownerId: string): boolean {
        return this.claims.find(ownerId)?.mayHaveRunElsewhere ?? false;
    }

    /** Releases the owner's claim, if any. Only valid if the request was not and will not be dispatched. */
    release(ownerId: string, nowMs: number): void {
        const claim = this.claims.find(ownerId);
        if (claim !== undefined) {
            this.releaseRound(claim, nowMs);
            this.claims.remove(claim);
        }
    }

    /** Drops a claim whose request was dispatched and has no known outcome; replicas keep it until it expires. */
    drop(ownerId: string): void {
        const claim = this.claims.find(ownerId);
        if (claim !== undefined) {
            this.claims.remove(claim);
        }
    }

    /** Records the outcome of a claim whose request was dispatched. */
    finish(ownerId: string, outcome: ClaimOutcome, nowMs: number): void {
        const claim = this.claims.find(ownerId);
        if (claim?.state !== "granted") {
            return;
        }
        this.claims.remove(claim);
        const record = { ...claim.request, outcome };
        if (claim.replicaIds.includes(this.options.selfId)) {
            this.options.table.record(record, nowMs);
        }
        this.options.recorder.start(record, this.sender.remoteReplicas(claim), nowMs);
    }

    /** Handles a replica's answer, a claimant's outcome query or a holder's answer to one; ignores other methods. */
    handle(from: EntryId, message: PeerMessage, nowMs: number): void {
        switch (message.method) {
            case ClaimMethod.answer:
                return this.onAnswer(from, message.params as ClaimAnswer, nowMs);
            case ClaimMethod.recorded:
                return this.options.recorder.acknowledge(from, (message.params as ClaimReference).claimId);
            case ClaimMethod.outcome:
                return this.options.outbox.send(
                    from,
                    ClaimMethod.outcomeAnswer,
                    this.answerOutcomeQuery(message.params as ClaimReference),
                );
            case ClaimMethod.outcomeAnswer:
                return this.onOutcomeAnswer(message.params as OutcomeAnswer, nowMs);
        }
    }

    /** Runs timers: resends, round timeouts, back-off, queries to holders. */
    tick(nowMs: number): void {
        for (const claim of this.claims.list()) {
            this.runTimers(claim, nowMs);
        }
    }

    private runTimers(claim: ActiveClaim, nowMs: number): void {
        switch (claim.state) {
            case "collecting":
                if (nowMs - claim.roundStartedAtMs >= roundTimeoutMs) {
                    this.onUnavailable(claim, "no-majority", nowMs);
                }
                else if (nowMs >= claim.nextSendAtMs) {
                    this.sendRound(claim, nowMs);
                }
                return;
            case "backoff":
                if (nowMs >= claim.timerDueAtMs) {
                    this.startRound(claim, nowMs);
                }
                return;
            case "asking":
                if (nowMs - claim.holderLastSeenAtMs >= holderTimeoutMs) {
                    this.startLastRound(claim, nowMs);
                }
                else if (nowMs >= claim.timerDueAtMs) {
                    this.queryHolder(claim, nowMs);
                }
        }
    }

    private startRound(claim: ActiveClaim, nowMs: number): void {
        const { selfId, lists } = this.options;
        claim.round++;
        claim.state = "collecting";
        claim.roundStartedAtMs = nowMs;
        claim.answers = new Map();
        claim.request = makeRoundRequest(claim, selfId, this.nextClaimId(), lists.listActive(nowMs));
        claim.replicaIds = [...new Set(claim.request.replicaSets.flat())];
        this.claims.indexRound(claim);
        if (claim.replicaIds.length === 0) {
            return this.onUnavailable(claim, "no-majority", nowMs);
        }
        this.sendRound(claim, nowMs);
        if (claim.replicaIds.includes(selfId)) {
            this.onAnswer(selfId, this.options.replica.answer(claim.request, nowMs), nowMs);
        }
    }

    // A claim id identifies one round. Replicas reject the ids of released rounds, so no id is reused, not even by
    // another claim of the same request.
    private nextClaimId(): ClaimId {
        this.lastClaimNumber++;
        return `${this.claimIdPrefix}${this.lastClaimNumber}`;
    }

    // The holder cannot tell the outcome, so if the key is still held after this round, the result is unknown.
    private startLastRound(claim: ActiveClaim, nowMs: number): void {
        claim.isLastRound = true;
        this.startRound(claim, nowMs);
    }

    private sendRound(claim: ActiveClaim, nowMs: number): void {
        claim.nextSendAtMs = nowMs + resendIntervalMs;
        this.sender.request(claim);
    }

    private onAnswer(from: EntryId, answer: ClaimAnswer, nowMs: number): void {
        const claim = this.claims.findByRound(answer.claimId);
        if (claim?.state !== "collecting") {
            return;
        }
        claim.answers.set(from, answer);
        const roundState = evaluateRound(claim, this.options.peerIncarnation);
        switch (roundState.kind) {
            case "open":
                return;
            case "held":
                return this.onHeld(claim, roundState.holder, roundState.claimId, nowMs);
            case "unavailable":
                return this.onUnavailable(claim, roundState.reason, nowMs);
            case "granted":
                claim.state = "granted";
                this.decided.push({ spec: claim.spec, result: roundState });
                return;
            default:
                this.releaseRound(claim, nowMs);
                return this.decide(claim, roundState);
        }
    }

    private onHeld(claim: ActiveClaim, holder: EntryId, claimId: ClaimId, nowMs: number): void {
        this.releaseRound(claim, nowMs);
        if (claim.spec.heldPolicy === HeldPolicy.retry) {
            return this.backOff(claim, nowMs);
        }
        claim.mayHaveRunElsewhere = true;
        if (claim.isLastRound) {
            return this.decide(claim, { kind: "unknown" });
        }
        if (claim.holder?.claimId !== claimId) {
            claim.holder = { id: holder, claimId };
            claim.holderLastSeenAtMs = nowMs;
        }
        claim.state = "asking";
        this.queryHolder(claim, nowMs);
    }

    private queryHolder(claim: ActiveClaim, nowMs: number): void {
        claim.timerDueAtMs = nowMs + holderQueryIntervalMs;
        const holder = claim.holder;
        if (holder === undefined) {
            return;
        }
        const outcomeQuery: ClaimReference = { key: claim.spec.key, claimId: holder.claimId };
        if (holder.id === this.options.selfId) {
            this.onOutcomeAnswer(this.answerOutcomeQuery(outcomeQuery), nowMs);
        }
        else {
            this.options.outbox.send(holder.id, ClaimMethod.outcome, outcomeQuery);
        }
    }

    private answerOutcomeQuery(reference: ClaimReference): OutcomeAnswer {
        return makeOutcomeAnswer(reference, this.claimIdPrefix, this.claims, this.options.recorder);
    }

    private onOutcomeAnswer(answer: OutcomeAnswer, nowMs: number): void {
        for (const claim of this.claims.list()) {
            if (claim.state === "asking" && claim.holder?.claimId === answer.claimId) {
                this.applyOutcomeAnswer(claim, answer, nowMs);
            }
        }
    }

    private applyOutcomeAnswer(claim: ActiveClaim, answer: OutcomeAnswer, nowMs: number): void {
        claim.holderLastSeenAtMs = nowMs;
        switch (answer.state) {
            case "running":
                return;
            case "outcome":
                return this.decide(claim, { kind: "outcome", outcome: answer.outcome });
            case "finished":
            case "undecided":
                return this.backOff(claim, nowMs);
            case "released":
                // The holder's release may be lost or arrive after this answer. Replicas accept a release from any
                // entry, so it is sent again.
                this.sender.release(claim, answer, nowMs);
                claim.mayHaveRunElsewhere = false;
                return this.backOff(claim, nowMs);
            case "lost":
                return this.startLastRound(claim, nowMs);
        }
    }

    private backOff(claim: ActiveClaim, nowMs: number): void {
        claim.state = "backoff";
        claim.timerDueAtMs = nowMs + chooseBackoffMs(claim.round, this.options.random);
    }

    private onUnavailable(claim: ActiveClaim, reason: "no-majority" | "claims-full", nowMs: number): void {
        this.releaseRound(claim, nowMs);
        this.decide(claim, claim.mayHaveRunElsewhere ? { kind: "unknown" } : { kind: "unavailable", reason });
    }

    private decide(claim: ActiveClaim, result: ClaimResult): void {
        this.claims.remove(claim);
        this.decided.push({ spec: claim.spec, result });
    }

    private releaseRound(claim: ActiveClaim, nowMs: number): void {
        this.claims.unindexRound(claim);
        if (claim.state === "collecting" || claim.state === "granted") {
            this.sender.release(claim, claim.request, nowMs);
        }
    }
}
