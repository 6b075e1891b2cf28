/** Whether a request may have run at an upstream. */
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

/** Returns the verdict of a request from the verdicts of two of its attempts. */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
    return severity[first] >= severity[second] ? first : second;
}
