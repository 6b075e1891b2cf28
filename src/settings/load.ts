import { readFileSync } from "node:fs";
import path from "node:path";
import type { SettingsError } from "../core/errors.js";
import { type ParseResult, readDocument, type SettingsDocument } from "./document.js";
import {
    type ControlSettings,
    controlSettingsSchema,
    type EntrySettings,
    entrySettingsSchema,
    minSecretLength,
    type OperatorSettings,
    operatorSettingsSchema,
    operatorTokensSchema,
} from "./schemas.js";

/** Settings with the content of the files that they refer to, or all problems found. */
export type SettingsResult<Value> =
    | { readonly isValid: true; readonly value: Value; }
    | { readonly isValid: false; readonly problems: readonly SettingsError[]; };

/** Settings of an entry with the cluster secret. */
export interface LoadedEntrySettings extends EntrySettings {
    readonly clusterSecret: string;
}

/** Settings of a control VM with the cluster secret and the operators' tokens. */
export interface LoadedControlSettings extends ControlSettings {
    readonly clusterSecret: string;
    readonly operatorTokens: readonly { readonly operator: string; readonly token: string; }[];
}

/** Settings of the operators' commands with the token. */
export interface LoadedOperatorSettings extends OperatorSettings {
    readonly token: string;
}

/** Reads the settings of `figwharf entry`. */
export function loadEntrySettings(file: string): SettingsResult<LoadedEntrySettings> {
    const parsed = readDocument(file, entrySettingsSchema);
    if (!parsed.isValid) {
        return parsed;
    }
    const problems: SettingsError[] = [];
    const clusterSecret = readSecret(parsed, "clusterSecretFile", problems);
    return toSettingsResult({ ...parsed.value, clusterSecret }, problems);
}

/** Reads the settings of `figwharf control`. */
export function loadControlSettings(file: string): SettingsResult<LoadedControlSettings> {
    const parsed = readDocument(file, controlSettingsSchema);
    if (!parsed.isValid) {
        return parsed;
    }
    const { value, document } = parsed;
    const problems = checkMembers(value, document);
    const clusterSecret = readSecret(parsed, "clusterSecretFile", problems);
    const tokens = readDocument(resolveFromDocument(document, value.operatorTokensFile), operatorTokensSchema);
    if (!tokens.isValid) {
        problems.push(...tokens.problems);
    }
    const operatorTokens = tokens.isValid ? tokens.value.operatorTokens : [];
    const dataFolder = resolveFromDocument(document, value.dataFolder);
    return toSettingsResult({ ...value, dataFolder, clusterSecret, operatorTokens }, problems);
}

/** Reads the settings of the operators' commands. */
export function loadOperatorSettings(file: string): SettingsResult<LoadedOperatorSettings> {
    const parsed = readDocument(file, operatorSettingsSchema);
    if (!parsed.isValid) {
        return parsed;
    }
    const problems: SettingsError[] = [];
    const token = readSecret(parsed, "tokenFile", problems);
    return toSettingsResult({ ...parsed.value, token }, problems);
}

function toSettingsResult<Value>(value: Value, problems: readonly SettingsError[]): SettingsResult<Value> {
    return problems.length > 0 ? { isValid: false, problems } : { isValid: true, value };
}

function checkMembers(value: ControlSettings, document: SettingsDocument): SettingsError[] {
    const ids = value.members.map(member => member.id);
    const problems = ids.flatMap((id, index) =>
        ids.indexOf(id) === index ? [] : [document.createProblem(["members", index, "id"], "each id once")]
    );
    if (!ids.includes(value.id)) {
        problems.push(document.createProblem(["id"], `one of the members ${ids.join(", ")}`));
    }
    return problems;
}

/** Reads a file that contains one secret. Problems name the file, never its content. */
function readSecret<Field extends string>(
    parsed: ParseResult<Record<Field, string>> & { isValid: true; },
    field: Field,
    problems: SettingsError[],
): string {
    const file = resolveFromDocument(parsed.document, parsed.value[field]);
    const secret = readTrimmedFile(file);
    if (secret === undefined || secret.length < minSecretLength) {
        const actual = secret === undefined ? `${file}, which cannot be read` : `${file}, which is shorter`;
        problems.push(
            parsed.document.createProblem([field], `file with at least ${minSecretLength} characters`, actual),
        );
    }
    return secret ?? "";
}

function readTrimmedFile(file: string): string | undefined {
    try {
        return readFileSync(file, "utf8").trim();
    }
    catch {
        return undefined;
    }
}

function resolveFromDocument(document: SettingsDocument, file: string): string {
    return path.resolve(path.dirname(document.file), file);
}
