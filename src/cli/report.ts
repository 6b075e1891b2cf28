import type { AuditRecord, FieldDifference } from "../control/operatorApi.js";
import { ExitCode } from "./exitCode.js";

/** What a command found out: for people as lines, for programs as JSON. */
export interface Report {
    readonly lines: readonly string[];
    readonly json: unknown;
    readonly exitCode: ExitCode;
}

/** Returns the report of a command that read something. */
export function readReport(lines: readonly string[], json: unknown): Report {
    return { lines, json, exitCode: ExitCode.done };
}

/** Returns changed fields as indented lines. */
export function formatDifferences(differences: readonly FieldDifference[]): string[] {
    return differences.map(({ path, before, after }) => `  ${path}: ${before ?? "(none)"} -> ${after ?? "(none)"}`);
}

/** Returns who made a change, when, from where and under which change id. */
export function formatOrigin({ operator, changeId, at, from }: AuditRecord): string {
    return `${operator} (change ${changeId}) at ${at} from ${from}`;
}
