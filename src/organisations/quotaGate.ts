/** Outcome of taking a request from a quota. */
export interface QuotaDecision {
    readonly isAdmitted: boolean;
    /** Time after which the caller of a refused request may return; 0 if it was admitted. */
    readonly retryAfterMs: number;
}

/** Quotas of organisations at an entry. */
export abstract class QuotaGate {
    /** Takes one request of an organisation from its quota. */
    abstract take(organisation: string): QuotaDecision;

    /** Returns a unit whose request did not reach an instance that ran it. */
    abstract giveBack(organisation: string): void;
}
