import { readdirSync } from "node:fs";
import path from "node:path";
import type { z } from "zod";
import type { Declarations } from "../control/operatorApi.js";
import { SettingsError } from "../core/errors.js";
import { type FieldPath, type ParseResult, readDocument, type SettingsDocument } from "../settings/document.js";
import { applyDeclareOperation, type DeclareOperation } from "./declare.js";
import { emptyCatalogue, type EntryVm, type RunbookCommand, type Service } from "./model.js";
import { commandsFileSchema, entriesFileSchema, type entryVmDeclarationSchema, serviceSchema } from "./schema.js";
import { type CatalogueProblem, checkDuplicates, validateCatalogue } from "./validate.js";

const serviceFolder = "services";
const entriesFile = "entries.jsonc";
const commandsFile = "commands.jsonc";
const declarationSuffix = ".jsonc";

type EntryVmDeclaration = z.output<typeof entryVmDeclarationSchema>;

/** Content of a declarations folder whose files match their schemas. */
export interface DeclarationsFolder {
    readonly services: readonly Service[];
    readonly entryVms: readonly EntryVmDeclaration[];
    readonly runbookCommands: readonly RunbookCommand[];
}

/** Content of a declarations folder, or all problems found in it. */
export type FolderResult =
    | { readonly isValid: true; readonly folder: DeclarationsFolder; }
    | { readonly isValid: false; readonly problems: readonly SettingsError[]; };

interface FolderDocuments {
    readonly services: readonly ParseResult<Service>[];
    readonly entries: ParseResult<z.output<typeof entriesFileSchema>>;
    readonly commands: ParseResult<z.output<typeof commandsFileSchema>>;
}

/** Reads `services/*.jsonc`, `entries.jsonc` and `commands.jsonc` of a folder; checks them and their references. */
export function readDeclarationsFolder(folder: string): FolderResult {
    const serviceFiles = listServiceFiles(path.join(folder, serviceFolder));
    if (serviceFiles === undefined) {
        return {
            isValid: false,
            problems: [new SettingsError("file-missing", { file: path.join(folder, serviceFolder) })],
        };
    }
    const documents: FolderDocuments = {
        services: serviceFiles.map(file => readDocument(file, serviceSchema)),
        entries: readDocument(path.join(folder, entriesFile), entriesFileSchema),
        commands: readDocument(path.join(folder, commandsFile), commandsFileSchema),
    };
    return checkDocuments(documents);
}

/**
 * Returns the operation that applies a folder. It depends only on the folder, so that sending the same folder again
 * repeats the same operation even if the catalogue has changed in between.
 */
export function createDeclareOperation(folder: DeclarationsFolder): DeclareOperation {
    const declarations: Declarations = {
        ...folder,
        entryVms: folder.entryVms.map((entryVm): EntryVm => ({ ...entryVm, state: entryVm.state ?? "active" })),
    };
    const keepStateOf = folder.entryVms.filter(entryVm => entryVm.state === undefined).map(entryVm => entryVm.id);
    return { kind: "declare", declarations, keepStateOf };
}

function listServiceFiles(folder: string): string[] | undefined {
    try {
        const names = readdirSync(folder).filter(name => name.endsWith(declarationSuffix));
        return names.sort().map(name => path.join(folder, name));
    }
    catch {
        return undefined;
    }
}

function checkDocuments(documents: FolderDocuments): FolderResult {
    const { services, entries, commands } = documents;
    const fileProblems = [...services, entries, commands].flatMap(parsed => parsed.isValid ? [] : parsed.problems);
    if (fileProblems.length > 0 || !entries.isValid || !commands.isValid) {
        return { isValid: false, problems: fileProblems };
    }
    const folder: DeclarationsFolder = {
        services: services.flatMap(parsed => parsed.isValid ? [parsed.value] : []),
        entryVms: entries.value.entryVms,
        runbookCommands: commands.value.runbookCommands,
    };
    const problems = findReferenceProblems(folder).map(problem => locateProblem(problem, folder, documents));
    return problems.length > 0 ? { isValid: false, problems } : { isValid: true, folder };
}

function findReferenceProblems(folder: DeclarationsFolder): CatalogueProblem[] {
    const operation = createDeclareOperation(folder);
    const duplicates = checkDuplicates(operation.declarations);
    return duplicates.length > 0 ? duplicates : validateCatalogue(applyDeclareOperation(emptyCatalogue, operation));
}

/** Converts a problem at a path of the catalogue to one at the file and line that declare the field. */
function locateProblem(
    problem: CatalogueProblem,
    folder: DeclarationsFolder,
    { services, entries, commands }: FolderDocuments,
): SettingsError {
    const [collection, key, ...pathInItem] = problem.path;
    const createProblemAt = (parsed: ParseResult<unknown>, fieldPath: FieldPath) =>
        requireDocument(parsed).createProblem(fieldPath, problem.expected, problem.actual);
    if (collection === "services") {
        return createProblemAt(services[resolveIndex(key, folder.services.map(service => service.name))], pathInItem);
    }
    if (collection === "entryVms") {
        return createProblemAt(entries, [
            "entryVms",
            resolveIndex(key, folder.entryVms.map(entryVm => entryVm.id)),
            ...pathInItem,
        ]);
    }
    const names = folder.runbookCommands.map(command => command.name);
    return createProblemAt(commands, ["runbookCommands", resolveIndex(key, names), ...pathInItem]);
}

/** Returns the index of an item; the path of a problem contains either its index or its id. */
function resolveIndex(key: PropertyKey, ids: readonly string[]): number {
    return typeof key === "number" ? key : ids.indexOf(String(key));
}

function requireDocument(parsed: ParseResult<unknown>): SettingsDocument {
    if (!parsed.isValid) {
        throw parsed.problems[0];
    }
    return parsed.document;
}
