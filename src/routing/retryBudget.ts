const maxStoredRetries = 10;

/** Token bucket that keeps retries and hedges of a service at a share of its requests. */
export class RetryBudget {
    private tokens = 0;

    /** Counts a request's first attempt. */
    countRequest(retryRatio: number): void {
        this.tokens = Math.min(maxStoredRetries, this.tokens + retryRatio);
    }

    /** Takes one retry; false when the budget is spent. */
    take(): boolean {
        // Sums of ratios such as 0.1 fall short of 1 by rounding.
        if (this.tokens < 1 - 1e-9) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
