const maxRetryTokens = 10;

/** Token bucket that limits the retries and hedges of a service to a ratio of its requests. */
export class RetryBudget {
    private tokens = 0;

    /** Adds `retryRatio` tokens for a request's first attempt. */
    countRequest(retryRatio: number): void {
        this.tokens = Math.min(maxRetryTokens, this.tokens + retryRatio);
    }

    /** Consumes one token; returns false when the budget is exhausted. */
    take(): boolean {
        // Rounding leaves sums of ratios such as 0.1 slightly below 1.
        if (this.tokens < 1 - 1e-9) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
