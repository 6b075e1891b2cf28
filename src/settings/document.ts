import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { SettingsError } from "../core/errors.js";

/** Path of a field in a document. */
export type FieldPath = readonly PropertyKey[];

/** Value of a document, or the problems that make it unusable. */
export type Parsed<Value> =
    | { readonly isValid: true; readonly value: Value; readonly document: SettingsDocument; }
    | { readonly isValid: false; readonly problems: readonly SettingsError[]; };

const maxActualLength = 60;
/** Fields whose values appear in no message. */
const secretFields = new Set(["token"]);

/** A JSON-with-comments file and the lines of its fields. */
export class SettingsDocument {
    private readonly root: Node | undefined;
    private readonly syntaxErrors: ParseError[] = [];

    constructor(readonly file: string, private readonly source: string) {
        this.root = parseTree(source, this.syntaxErrors, { allowTrailingComma: true });
    }

    value(): unknown {
        return this.root === undefined ? undefined : getNodeValue(this.root);
    }

    /** Returns an error at a field, or at the closest enclosing field that exists. */
    problemAt(path: FieldPath, expected: string, actual?: string): SettingsError {
        const node = this.find(path);
        return new SettingsError("settings-invalid", {
            file: this.file,
            line: this.lineAt((node ?? this.findEnclosing(path))?.offset ?? 0),
            field: formatPath(path),
            expected,
            actual: actual ?? (secretFields.has(String(path.at(-1))) ? "(not shown)" : describeValue(node)),
        });
    }

    /** Errors of syntax and keys that occur twice in an object. */
    structuralProblems(): SettingsError[] {
        const problems = this.syntaxErrors.map(error => this.syntaxProblem(error));
        if (this.root !== undefined && problems.length === 0) {
            this.collectDuplicateKeys(this.root, [], problems);
        }
        return problems;
    }

    private syntaxProblem(error: ParseError): SettingsError {
        return new SettingsError("settings-invalid", {
            file: this.file,
            line: this.lineAt(error.offset),
            field: "(document)",
            expected: "JSON with comments",
            actual: printParseErrorCode(error.error),
        });
    }

    private collectDuplicateKeys(node: Node, path: FieldPath, problems: SettingsError[]): void {
        const seen = new Set<string>();
        for (const [index, child] of (node.children ?? []).entries()) {
            if (node.type === "array") {
                this.collectDuplicateKeys(child, [...path, index], problems);
                continue;
            }
            const [keyNode, valueNode] = child.children ?? [];
            const key = String(keyNode?.value);
            if (seen.has(key)) {
                problems.push(this.duplicateKeyProblem([...path, key], keyNode.offset));
            }
            seen.add(key);
            if (valueNode !== undefined) {
                this.collectDuplicateKeys(valueNode, [...path, key], problems);
            }
        }
    }

    private duplicateKeyProblem(path: FieldPath, offset: number): SettingsError {
        return new SettingsError("settings-invalid", {
            file: this.file,
            line: this.lineAt(offset),
            field: formatPath(path),
            expected: "each key once",
            actual: "a second value",
        });
    }

    private find(path: FieldPath): Node | undefined {
        return this.root === undefined ? undefined : findNodeAtLocation(this.root, path as (string | number)[]);
    }

    private findEnclosing(path: FieldPath): Node | undefined {
        for (let length = path.length - 1; length >= 0; length--) {
            const node = this.find(path.slice(0, length));
            if (node !== undefined) {
                return node;
            }
        }
        return undefined;
    }

    private lineAt(offset: number): number {
        return this.source.slice(0, offset).split("\n").length;
    }
}

/** Returns a path as operators write it, such as `limits.maxInFlight` or `entryVms[2].id`. */
export function formatPath(path: FieldPath): string {
    const formatted = path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
    return formatted === "" ? "(document)" : formatted.replace(/^\./, "");
}

/** Reads a file and checks it against a schema; a file that cannot be read is a problem like any other. */
export function readDocument<Schema extends z.ZodType>(file: string, schema: Schema): Parsed<z.output<Schema>> {
    let source: string;
    try {
        source = readFileSync(file, "utf8");
    }
    catch (error) {
        return { isValid: false, problems: [new SettingsError("file-missing", { file }, { cause: error })] };
    }
    return parseDocument(new SettingsDocument(file, source), schema);
}

/** Checks a document against a schema. */
export function parseDocument<Schema extends z.ZodType>(
    document: SettingsDocument,
    schema: Schema,
): Parsed<z.output<Schema>> {
    const structural = document.structuralProblems();
    if (structural.length > 0) {
        return { isValid: false, problems: structural };
    }
    const result = schema.safeParse(document.value());
    if (result.success) {
        return { isValid: true, value: result.data, document };
    }
    return { isValid: false, problems: result.error.issues.map(issue => issueProblem(document, issue)) };
}

function issueProblem(document: SettingsDocument, issue: z.core.$ZodIssue): SettingsError {
    if (issue.code === "unrecognized_keys") {
        return document.problemAt([...issue.path, issue.keys[0]], issue.message, `the key ${issue.keys[0]}`);
    }
    return document.problemAt(issue.path, issue.message);
}

/** Describes a value without its content when it is a list or an object, because that may hold a secret. */
function describeValue(node: Node | undefined): string {
    if (node === undefined) {
        return "nothing";
    }
    if (node.type === "object" || node.type === "array") {
        const count = node.children?.length ?? 0;
        return `${node.type === "array" ? "a list" : "an object"} of ${count}`;
    }
    const formatted = JSON.stringify(getNodeValue(node));
    return formatted.length <= maxActualLength ? formatted : `${formatted.slice(0, maxActualLength)}...`;
}
