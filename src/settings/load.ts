import { readFileSync } from "node:fs";
import path from "node:path";
import type { SettingsError } from "../core/errors.js";
import { type Parsed, readDocument, type SettingsDocument } from "./document.js";
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

/** Settings and the values of the files that they name, or all problems found. */
export type Loaded<Value> =
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
export function loadEntrySettings(file: string): Loaded<LoadedEntrySettings> {
    const parsed = readDocument(file, entrySettingsSchema);
    if (!parsed.isValid) {
        return parsed;
    }
    const problems: SettingsError[] = [];
    const clusterSecret = readSecret(parsed, "clusterSecretFile", problems);
    return finish({ ...parsed.value, clusterSecret }, problems);
}

/** Reads the settings of `figwharf control`. */
export function loadControlSettings(file: string): Loaded<LoadedControlSettings> {
    const parsed = readDocument(file, controlSettingsSchema);
    if (!parsed.isValid) {
        return parsed;
    }
    const { value, document } = parsed;
    const problems = checkMembers(value, document);
    const clusterSecret = readSecret(parsed, "clusterSecretFile", problems);
    const tokens = readDocument(resolveBeside(document, value.operatorTokensFile), operatorTokensSchema);
    if (!tokens.isValid) {
        problems.push(...tokens.problems);
    }
    const operatorTokens = tokens.isValid ? tokens.value.operatorTokens : [];
    const dataFolder = resolveBeside(document, value.dataFolder);
    return finish({ ...value, dataFolder, clusterSecret, operatorTokens }, problems);
}

/** Reads the settings of the operators' commands. */
export function loadOperatorSettings(file: string): Loaded<LoadedOperatorSettings> {
    const parsed = readDocument(file, operatorSettingsSchema);
    if (!parsed.isValid) {
        return parsed;
    }
    const problems: SettingsError[] = [];
    const token = readSecret(parsed, "tokenFile", problems);
    return finish({ ...parsed.value, token }, problems);
}

function finish<Value>(value: Value, problems: readonly SettingsError[]): Loaded<Value> {
    return problems.length > 0 ? { isValid: false, problems } : { isValid: true, value };
}

function checkMembers(value: ControlSettings, document: SettingsDocument): SettingsError[] {
    const ids = value.members.map(member => member.id);
    const problems = ids.flatMap((id, index) =>
        ids.indexOf(id) === index ? [] : [document.problemAt(["members", index, "id"], "each id once")]
    );
    if (!ids.includes(value.id)) {
        problems.push(document.problemAt(["id"], `one of the members ${ids.join(", ")}`));
    }
    return problems;
}

/** Reads a file with one secret. A problem names the file and never shows its content. */
function readSecret<Field extends string>(
    parsed: Parsed<Record<Field, string>> & { isValid: true; },
    field: Field,
    problems: SettingsError[],
): string {
    const file = resolveBeside(parsed.document, parsed.value[field]);
    const secret = readTrimmed(file);
    if (secret === undefined || secret.length < minSecretLength) {
        const actual = secret === undefined ? `${file}, which cannot be read` : `${file}, which is shorter`;
        problems.push(parsed.document.problemAt([field], `file with at least ${minSecretLength} characters`, actual));
    }
    return secret ?? "";
}

function readTrimmed(file: string): string | undefined {
    try {
        return readFileSync(file, "utf8").trim();
    }
    catch {
        return undefined;
    }
}

function resolveBeside(document: SettingsDocument, file: string): string {
    return path.resolve(path.dirname(document.file), file);
}
