import type { CallResult, Submission } from "./caller.js";
import type { Executions } from "./executionLog.js";
import { FaultKind, type FaultRecord } from "./faults.js";

/** Violations of the invariants by kind, one line each. */
export interface Violations {
    readonly incompleteOrForeign: readonly string[];
    readonly falseNotRun: readonly string[];
    readonly doubled: readonly string[];
    readonly cutByShutdown: readonly string[];
    readonly lateWork: readonly string[];
}

/** Faults of an entry during which it may drop connections of callers. */
const connectionDroppingKinds: readonly FaultKind[] = [FaultKind.killEntry, FaultKind.pauseEntry];

/** Checks the outcomes that callers received against the executions that upstreams logged. */
export function findViolations(
    results: readonly CallResult[],
    executions: Executions,
    history: readonly FaultRecord[],
): Violations {
    const submissions = results.flatMap(result => result.submissions);
    return {
        incompleteOrForeign: submissions.filter(it => it.outcome === "incomplete" || it.outcome === "foreign").map(
            describeSubmission,
        ),
        falseNotRun: [
            ...submissions.filter(it => it.outcome === "not-run" && executions.bySubmission.has(it.name)).map(
                describeSubmission,
            ),
            ...results.filter(result => isReportedNotRun(result) && executions.byCall.has(result.call.name))
                .map(result => result.submissions.map(describeSubmission).join("; ")),
        ],
        doubled: results.filter(result => result.call.method === "POST")
            .filter(result => (executions.byCall.get(result.call.name) ?? 0) > 1)
            .map(result => result.submissions.map(describeSubmission).join("; ")),
        cutByShutdown: submissions.filter(it => isCutByShutdown(it, history)).map(describeSubmission),
        lateWork: executions.lateSubmissions.map(name => `${name} arrived more than 3 s after the drain`),
    };
}

/** Whether the last answer to a write says that no submission of it has run. */
function isReportedNotRun(result: CallResult): boolean {
    return result.call.method === "POST" && result.submissions[result.submissions.length - 1].verdict === "not-run";
}

/** Formats the history of faults, one per line. */
export function describeHistory(history: readonly FaultRecord[]): string {
    return history.map(fault => `${fault.fromMs.toFixed(0)}..${fault.toMs.toFixed(0)} ms ${fault.kind} ${fault.target}`)
        .join("\n");
}

/** Whether a draining entry without another fault dropped the connection. A refused connection does not count. */
function isCutByShutdown(it: Submission, history: readonly FaultRecord[]): boolean {
    if (it.outcome !== "dropped" || /ECONNREFUSED|UND_ERR_CONNECT_TIMEOUT/.test(it.detail)) {
        return false;
    }
    const overlappingFaults = history.filter(fault =>
        fault.target === it.entryAddress && fault.fromMs <= it.endedAtMs && fault.toMs >= it.startedAtMs
    );
    const isDropExpected = overlappingFaults.some(fault => connectionDroppingKinds.includes(fault.kind));
    return !isDropExpected && overlappingFaults.some(fault => fault.kind === FaultKind.drainEntry);
}

function describeSubmission(it: Submission): string {
    const times = `${it.startedAtMs.toFixed(0)}..${it.endedAtMs.toFixed(0)} ms`;
    return `${it.name} at ${it.entryAddress}, ${times}: ${it.outcome} ${it.detail}`;
}
