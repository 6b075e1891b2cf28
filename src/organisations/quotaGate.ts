/** Decision on one request of an organisation. */
export interface QuotaDecision {
    readonly isAdmitted: boolean;
    /** Delay after which a rejected caller may retry; 0 if admitted. */
    readonly retryAfterMs: number;
}

/** Quotas of organisations at one entry. */
export abstract class QuotaGate {
    /** Takes one request of an organisation from its quota. */
    abstract take(organisation: string): QuotaDecision;
    /** Returns a unit whose request did not reach an instance that ran it. */
    abstract giveBack(organisation: string): void;
}

const admitted: QuotaDecision = { isAdmitted: true, retryAfterMs: 0 };

/** Admits all requests; for deployments without quotas. */
export class UnlimitedQuotaGate extends QuotaGate {
    take(): QuotaDecision {
        return admitted;
    }

    giveBack(): void {
        // Nothing was taken.
    }
}
