import type { AuditRecord, FieldDifference } from "../control/operatorApi.js";
import { ExitCode } from "./exitCode.js";

/** Result of a command: lines of text for people, JSON for programs, and the exit code. */
export interface Report {
    readonly lines: readonly string[];
    readonly json: unknown;
    readonly exitCode: ExitCode;
}

/** Creates the report of a command that succeeded. */
export function createSuccessReport(lines: readonly string[], json: unknown): Report {
    return { lines, json, exitCode: ExitCode.done };
}

/** Formats changed fields as indented lines. */
export function formatDifferences(differences: readonly FieldDifference[]): string[] {
    return differences.map(({ path, before, after }) => `  ${path}: ${before ?? "(none)"} -> ${after ?? "(none)"}`);
}

/** Formats the operator, change id, time and source address of a change. */
export function formatOrigin({ operator, changeId, at, from }: AuditRecord): string {
    return `${operator} (change ${changeId}) at ${at} from ${from}`;
}
