import type { Clock, Instant } from "../core/clock.js";
import type { RandomSource } from "../core/random.js";
import { GrantValidity } from "../directory/grantValidity.js";
import type { Organisation } from "../directory/model.js";
import { type QuotaDecision, QuotaGate } from "../organisations/quotaGate.js";
import { fallbackLifetimeMs, FallbackTokens } from "./fallbackTokens.js";
import { listQuotas, type Quota, type QuotaBounds } from "./quotaBounds.js";
import { demandScale, shareScale } from "./quotaLedger.js";
import type { EntryQuotas as Grants, QuotaUse } from "./quotaMessages.js";
import { RateEstimate } from "./rateEstimate.js";

const msPerSecond = 1000;
/** Time over which the own demand is averaged for the fraction that applies without contact. */
const demandTimeConstantMs = 20_000;
/**
 * Organisations with this rate can exceed the bound before the next watch calls report a rise in demand, so their
 * requests are reported at once, with a minimum time between two reports.
 */
const minUrgentRatePerSecond = 2;
const minUrgentIntervalMs = 100;
/** Requests that are reported at once also after a shorter time. */
const urgentCount = 4;
/**
 * Watch calls follow each other within 400 ms. Later than this after the last answer, the next call is soon enough, except
 * at low rates, whose bound leaves few requests for a late reaction.
 */
const maxUrgentDelayMs = 180;
const alwaysUrgentRatePerSecond = 5;
/** Part of the fraction without contact that follows the demand; the rest is equal for all entries. */
const demandPart = 0.5;
/** A grant is renewed every 400 ms; after this time, contact may be lost. */
const maxContactAgeMs = 1000;
/** Time without contact after which the leader has noticed that the entry is missing. */
const missingAfterMs = 4000;

const admitted: QuotaDecision = { isAdmitted: true, retryAfterMs: 0 };

/** Dependencies of EntryQuotas. */
export interface EntryQuotasOptions {
    readonly bounds: QuotaBounds;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the number of entries attached to all control VMs. */
    readonly countEntries: () => number;
    /** Called when the control VM should learn of admitted requests before the next watch call. */
    readonly onUrgent: () => void;
    /** Called with each decision about an organisation with a rate. */
    readonly onDecision: (outcome: QuotaOutcome) => void;
}

/** Outcomes of taking a request from a quota. */
export const QuotaOutcome = {
    /** Admitted by a grant, or far from the limit. */
    admitted: "admitted",
    refused: "refused",
    /** Admitted and refused without contact to a control VM. */
    fallbackAdmitted: "fallback-admitted",
    fallbackRefused: "fallback-refused",
    /** Returned, as its request did not run. */
    returned: "returned",
} as const;

export type QuotaOutcome = typeof QuotaOutcome[keyof typeof QuotaOutcome];

interface OrganisationState {
    quota: Quota;
    /** In thousandths. */
    admittedShare: number;
    /** Sum of the admitted shares of past requests, less the admitted requests; starts from a random phase. */
    credit: number;
    /** Requests a second at all entries together; 0 if it is not known. */
    totalDemand: number;
    readonly ownDemand: RateEstimate;
    unreported: { demanded: number; admitted: number; };
    fallback: FallbackTokens | undefined;
}

/** Quotas at an entry: admits the granted share of requests, or the entry's fraction of the rate without a grant. */
export class EntryQuotas extends QuotaGate {
    private readonly states = new Map<string, OrganisationState>();
    /** States of organisations that once had a rate, for when they get one again. */
    private removedStates: ReadonlyMap<string, OrganisationState> = new Map();
    private readonly validity: GrantValidity;
    private heldVersion = 0;
    private urgentAtMs = -Infinity;
    private contactAtMs = -Infinity;
    private appliedAtMs = -Infinity;

    constructor(private readonly options: EntryQuotasOptions) {
        super();
        this.validity = new GrantValidity(options.clock);
    }

    /** Version of the quotas received from the control VM in use; undefined while no organisation has a rate. */
    get version(): number | undefined {
        return this.states.size === 0 ? undefined : this.heldVersion;
    }

    /** Applies the organisations of a configuration. */
    configure(organisations: readonly Organisation[] | undefined): void {
        const previous = new Map([...this.removedStates, ...this.states]);
        this.states.clear();
        for (const quota of listQuotas(organisations)) {
            const state = previous.get(quota.organisation);
            if (state !== undefined) {
                previous.delete(quota.organisation);
                this.states.set(quota.organisation, Object.assign(state, { quota, fallback: undefined }));
                continue;
            }
            this.states.set(quota.organisation, {
                quota,
                admittedShare: shareScale,
                credit: this.options.random.nextUnit(),
                totalDemand: 0,
                ownDemand: new RateEstimate(demandTimeConstantMs, this.nowMs()),
                unreported: { demanded: 0, admitted: 0 },
                fallback: undefined,
            });
        }
        this.removedStates = previous;
    }

    take(organisation: string): QuotaDecision {
        const state = this.states.get(organisation);
        if (state === undefined) {
            return admitted;
        }
        const nowMs = this.nowMs();
        state.unreported.demanded++;
        if (this.validity.remainingMs <= 0) {
            return this.takeFallback(state, nowMs);
        }
        state.ownDemand.add(1, nowMs);
        state.fallback = undefined;
        state.credit += this.findAdmittedShare(state, nowMs);
        if (state.admittedShare < shareScale && state.credit < 1) {
            return this.refuse(state, QuotaOutcome.refused);
        }
        state.credit--;
        state.unreported.admitted++;
        this.options.onDecision(QuotaOutcome.admitted);
        if (this.isUrgent(state, nowMs)) {
            this.urgentAtMs = nowMs;
            this.options.onUrgent();
        }
        return admitted;
    }

    giveBack(organisation: string): void {
        const state = this.states.get(organisation);
        if (state !== undefined) {
            state.unreported.demanded--;
            state.unreported.admitted--;
            this.options.onDecision(QuotaOutcome.returned);
        }
    }

    /** Returns the requests since the last report; no field without any, since an undefined one takes bytes. */
    takeReport(): { readonly quotas?: readonly QuotaUse[]; } {
        const uses = [...this.states.values()].flatMap(({ quota: { organisation }, unreported }) => {
            const { demanded, admitted: admittedCount } = unreported;
            unreported.demanded = 0;
            unreported.admitted = 0;
            return demanded === 0 && admittedCount === 0 ? [] : [[organisation, demanded, admittedCount] as const];
        });
        return uses.length === 0 ? {} : { quotas: uses };
    }

    /** Keeps the requests of a report that may not have arrived, for the next report. */
    returnUses(uses: readonly QuotaUse[] | undefined): void {
        for (const [organisation, demanded, admittedCount] of uses ?? []) {
            const unreported = this.states.get(organisation)?.unreported;
            if (unreported !== undefined) {
                unreported.demanded += demanded;
                unreported.admitted += admittedCount;
            }
        }
    }

    /** Applies an answer of the control VM; `sentAt` is when the call was sent. */
    apply([version, validMs, rows]: Grants, sentAt: Instant): void {
        if (validMs <= 0) {
            // The control VM has no valid grant itself; grants of the previous one stay valid.
            return;
        }
        this.heldVersion = version;
        this.validity.renew(sentAt, validMs);
        this.contactAtMs = sentAt.monotonicMs;
        this.appliedAtMs = this.nowMs();
        for (const [organisation, admittedShare, demand] of rows) {
            const state = this.states.get(organisation);
            if (state !== undefined) {
                state.admittedShare = admittedShare;
                state.totalDemand = demand / demandScale;
            }
        }
    }

    /** Requests all rows anew; called when the entry turns to another control VM. */
    resetVersion(): void {
        this.heldVersion = 0;
    }

    private isUrgent({ quota, admittedShare, unreported }: OrganisationState, nowMs: number): boolean {
        if (quota.ratePerSecond < minUrgentRatePerSecond || admittedShare < shareScale) {
            return false;
        }
        const isNextCallLate = nowMs - this.appliedAtMs < maxUrgentDelayMs ||
            quota.ratePerSecond < alwaysUrgentRatePerSecond;
        return unreported.admitted >= urgentCount ||
            (isNextCallLate && nowMs - this.urgentAtMs >= minUrgentIntervalMs);
    }

    /** Without renewal, the level of the bucket is spent, so only the rate's share of the demand is admitted. */
    private findAdmittedShare({ admittedShare, quota, totalDemand }: OrganisationState, nowMs: number): number {
        const share = admittedShare / shareScale;
        const isStale = nowMs - this.contactAtMs > maxContactAgeMs;
        return isStale && share < 1 && totalDemand > 0
            ? Math.min(share, quota.ratePerSecond / totalDemand)
            : share;
    }

    /**
     * Admits the entry's last known fraction of the rate. These requests are not reported, as the leader keeps that
     * part of the rate back while the entry is missing, unless the grant ended early because the VM was suspended.
     */
    private takeFallback(state: OrganisationState, nowMs: number): QuotaDecision {
        const { quota, totalDemand, ownDemand } = state;
        const { bounds, random, countEntries, onDecision } = this.options;
        if (state.fallback === undefined) {
            const equal = 1 / Math.max(1, countEntries());
            const byDemand = totalDemand > 0 ? Math.min(1, ownDemand.get(nowMs) / totalDemand) : equal;
            const fraction = demandPart * byDemand + (1 - demandPart) * equal;
            const lifetimeMs = fallbackLifetimeMs(quota, bounds);
            // Without a first grant, nothing of the burst has been used by this entry.
            const startCount = this.hadGrant ? 0 : Math.floor(quota.burst * equal);
            state.fallback = new FallbackTokens(quota, fraction, lifetimeMs, random.nextUnit(), nowMs, startCount);
        }
        if (!state.fallback.take(nowMs)) {
            return this.refuse(state, QuotaOutcome.fallbackRefused);
        }
        // The leader keeps nothing back for an entry that it has not heard of.
        if (!this.hadGrant || nowMs - this.contactAtMs < missingAfterMs) {
            state.unreported.admitted++;
        }
        onDecision(QuotaOutcome.fallbackAdmitted);
        return admitted;
    }

    /** Refused callers return over about the time in which the quota admits as many as were refused. */
    private refuse({ quota, admittedShare }: OrganisationState, outcome: QuotaOutcome): QuotaDecision {
        const { random, bounds, onDecision } = this.options;
        onDecision(outcome);
        const meanSeconds = Math.max(1 / quota.ratePerSecond, shareScale / (admittedShare + 1));
        const meanMs = Math.min(bounds.windowMs, meanSeconds * msPerSecond);
        return { isAdmitted: false, retryAfterMs: Math.round(meanMs * (0.5 + random.nextUnit())) };
    }

    private get hadGrant(): boolean {
        return this.contactAtMs > -Infinity;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}
