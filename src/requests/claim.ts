import type { EntryList } from "../catalogue/model.js";
import type { EntryId } from "../core/ids.js";
import type { RandomSource } from "../core/random.js";
import type { ClaimAnswer, ClaimId, ClaimKey, ClaimOutcome, ClaimRequest } from "./claimMessages.js";
import { chooseReplicas, majorityOf } from "./replicaSet.js";

const minBackoffMs = 5;
const maxBackoffMs = 100;

/** What a claimant does when another claimant holds the claim. */
export const HeldPolicy = {
    /** Query the holder until the outcome is known. */
    awaitOutcome: "await-outcome",
    /** Retry until the key is free. */
    retry: "retry",
} as const;

export type HeldPolicy = typeof HeldPolicy[keyof typeof HeldPolicy];

/** Claim to acquire for a request. */
export interface ClaimSpec {
    /** Request id, with a suffix for the lock or claim of a trial; unique among the active claims of this entry. */
    readonly ownerId: string;
    readonly key: ClaimKey;
    readonly requestHash: string;
    readonly deadlineAtMs: number;
    /** Time for which replicas keep a granted claim whose outcome is not recorded. */
    readonly lifetimeMs: number;
    readonly heldPolicy: HeldPolicy;
}

/** Result of a claim for the claimant. */
export type ClaimResult =
    | { readonly kind: "granted"; }
    | { readonly kind: "outcome"; readonly outcome: ClaimOutcome; }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "unavailable"; readonly reason: "no-majority" | "claims-full"; }
    /** The holder may have dispatched the request and cannot be queried. */
    | { readonly kind: "unknown"; };

/** Decided claim and its result. */
export interface DecidedClaim {
    readonly spec: ClaimSpec;
    readonly result: ClaimResult;
}

/** Claim that this entry is acquiring or holds. */
export interface ActiveClaim {
    readonly spec: ClaimSpec;
    round: number;
    roundStartedAtMs: number;
    nextSendAtMs: number;
    /** Request of the current round; its claim id identifies the round. */
    request: ClaimRequest;
    replicaIds: readonly EntryId[];
    answers: Map<EntryId, ClaimAnswer>;
    state: "collecting" | "asking" | "backoff" | "granted";
    /** When the back-off ends, or when the next query to the holder is due. */
    timerDueAtMs: number;
    holder: { readonly id: EntryId; readonly claimId: ClaimId; } | undefined;
    holderLastSeenAtMs: number;
    /** Whether an earlier submission with the key may have run. */
    mayHaveRunElsewhere: boolean;
    /** Whether the holder is unreachable or has restarted, so that no round follows if the key is still held. */
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

/** State of a round, given the answers so far. */
export type RoundState =
    | ClaimResult
    | { readonly kind: "held"; readonly holder: EntryId; readonly claimId: ClaimId; }
    | { readonly kind: "open"; };

/** Returns a claim whose first round has not started. */
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

/** Returns the request of a round of a claim. */
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

/** Returns a random delay before the next round, so that claimants that split the votes do not collide again. */
export function chooseBackoffMs(round: number, random: RandomSource): number {
    return minBackoffMs + random.nextInt(Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(round, 5)));
}

/** Returns the state of a claim's current round. */
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

// A replica that restarted after a grant may have lost it, so the grant is void if any other source reports a newer
// incarnation of the replica.
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
