import type { EntryList } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { ClaimAnswer, ClaimId, ClaimKey, ClaimOutcome, ClaimRequest } from "./claimMessages.js";
import { chooseReplicas, majorityOf } from "./replicaSet.js";

const minBackoffMs = 5;
const maxBackoffMs = 100;

/** What a claimant does when another entry holds the claim. */
export const HeldPolicy = {
    /** Ask the holder and wait for the outcome. */
    awaitOutcome: "await-outcome",
    /** Try again until the claim is free. */
    retry: "retry",
} as const;

export type HeldPolicy = typeof HeldPolicy[keyof typeof HeldPolicy];

/** What a request wants to claim. */
export interface ClaimSpec {
    /** Unique among the claims in progress at this entry. */
    readonly ownerId: string;
    readonly key: ClaimKey;
    readonly requestHash: string;
    readonly deadlineAtMs: number;
    /** Time for which replicas keep a granted claim whose outcome is not recorded. */
    readonly lifetimeMs: number;
    readonly heldPolicy: HeldPolicy;
}

/** How a claim ended for the claimant. */
export type ClaimResult =
    | { readonly kind: "granted"; }
    | { readonly kind: "outcome"; readonly outcome: ClaimOutcome; }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "unavailable"; readonly reason: "no-majority" | "claims-full"; }
    /** Another entry dispatched the request, or may have, and cannot be asked. */
    | { readonly kind: "unknown"; };

/** A claim and how it ended. */
export interface DecidedClaim {
    readonly spec: ClaimSpec;
    readonly result: ClaimResult;
}

/** Row of a claim that this entry wants or holds. */
export interface ActiveClaim {
    readonly spec: ClaimSpec;
    round: number;
    roundStartedAtMs: number;
    nextSendAtMs: number;
    /** Message of the current round; its claim id names the round. */
    request: ClaimRequest;
    replicaIds: readonly EntryId[];
    answers: Map<EntryId, ClaimAnswer>;
    state: "collecting" | "asking" | "backoff" | "granted";
    /** End of the back-off, or time of the next question to the holder. */
    timerDueAtMs: number;
    holder: { readonly id: EntryId; readonly claimId: ClaimId; } | undefined;
    holderLastSeenAtMs: number;
    /** Whether an earlier request with the key may have run. */
    mayHaveRunElsewhere: boolean;
    /** Whether the holder did not answer, so that this round decides. */
    isLastRound: boolean;
}

const emptyRequest: ClaimRequest = {
    key: "",
    claimId: "",
    holder: "",
    requestHash: "",
    lifetimeMs: 0,
    replicaSets: [],
};

/** What the answers of a round amount to. */
export type RoundState =
    | ClaimResult
    | { readonly kind: "held"; readonly holder: EntryId; readonly claimId: ClaimId; }
    | { readonly kind: "open"; };

/** Returns the row of a claim that no replica has been asked for yet. */
export function makeClaim(spec: ClaimSpec, nowMs: number): ActiveClaim {
    return {
        spec,
        round: 0,
        roundStartedAtMs: nowMs,
        nextSendAtMs: nowMs,
        request: emptyRequest,
        replicaIds: [],
        answers: new Map(),
        state: "collecting",
        timerDueAtMs: nowMs,
        holder: undefined,
        holderLastSeenAtMs: nowMs,
        mayHaveRunElsewhere: false,
        isLastRound: false,
    };
}

/** Returns the message of the claim's current round. */
export function makeRoundRequest(
    { spec }: ActiveClaim,
    selfId: EntryId,
    claimId: ClaimId,
    lists: readonly EntryList[],
): ClaimRequest {
    return {
        key: spec.key,
        claimId,
        holder: selfId,
        requestHash: spec.requestHash,
        lifetimeMs: spec.lifetimeMs,
        replicaSets: lists.map(list => chooseReplicas(list, spec.key)),
    };
}

/** Returns a random delay before the next round; claimants that split the votes must not meet again. */
export function chooseBackoffMs(round: number, random: RandomSource): number {
    return minBackoffMs + random.nextInt(Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(round, 5)));
}

/** Returns what the answers of a claim's current round amount to. */
export function evaluateRound(claim: ActiveClaim, peerIncarnation: (id: EntryId) => number | undefined): RoundState {
    for (const { reply } of claim.answers.values()) {
        if (reply.kind === "mismatch" || reply.kind === "outcome") {
            return reply;
        }
    }
    for (const { reply } of claim.answers.values()) {
        if (reply.kind === "held") {
            return reply;
        }
    }
    const sets = claim.request.replicaSets;
    const isGranted = (id: EntryId) => isValidGrant(claim, id, peerIncarnation);
    if (sets.every(set => countOf(set, isGranted) >= majorityOf(set.length))) {
        return { kind: "granted" };
    }
    const isGrantPossible = (id: EntryId) => !claim.answers.has(id) || isGranted(id);
    if (sets.every(set => countOf(set, isGrantPossible) >= majorityOf(set.length))) {
        return { kind: "open" };
    }
    const isFull = [...claim.answers.values()].some(answer => answer.reply.kind === "full");
    return { kind: "unavailable", reason: isFull ? "claims-full" : "no-majority" };
}

// A replica that restarted after its grant may have forgotten it, so a grant of an older incarnation than any other
// source reports is void.
function isValidGrant(
    claim: ActiveClaim,
    id: EntryId,
    peerIncarnation: (id: EntryId) => number | undefined,
): boolean {
    const answer = claim.answers.get(id);
    if (answer?.reply.kind !== "granted" || answer.incarnation < (peerIncarnation(id) ?? answer.incarnation)) {
        return false;
    }
    for (const other of claim.answers.values()) {
        if ((other.known[id] ?? answer.incarnation) > answer.incarnation) {
            return false;
        }
    }
    return true;
}

function countOf(set: readonly EntryId[], isCounted: (id: EntryId) => boolean): number {
    return set.filter(isCounted).length;
}
