/** Whether an upstream ran a request. */
export const Verdict = {
    /** The request did not run and will not run. */
    notRun: "not-run",
    /** The request may have run, may be running or may still run. */
    mayHaveRun: "may-have-run",
    /** An upstream ran the request and answered it. */
    ran: "ran",
} as const;

export type Verdict = typeof Verdict[keyof typeof Verdict];

const severity: Record<Verdict, number> = { "not-run": 0, "may-have-run": 1, "ran": 2 };

/** Combines the verdicts of two attempts of a request: ran outweighs may-have-run, which outweighs not-run. */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
    return severity[first] >= severity[second] ? first : second;
}
