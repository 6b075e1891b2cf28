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

/** A valid document and its value, or the problems found in it. */
export type ParseResult<Value> =
    | { readonly isValid: true; readonly value: Value; readonly document: SettingsDocument; }
    | { readonly isValid: false; readonly problems: readonly SettingsError[]; };

const maxShownLength = 60;
/** Fields whose values must not appear in messages. */
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

    /** Returns an error with the line of a field, or of the closest enclosing field that exists. */
    createProblem(path: FieldPath, expected: string, actual?: string): SettingsError {
        const node = this.findNode(path);
        return new SettingsError("settings-invalid", {
            file: this.file,
            line: this.findLine((node ?? this.findEnclosingNode(path))?.offset ?? 0),
            field: formatPath(path),
            expected,
            actual: actual ?? (secretFields.has(String(path.at(-1))) ? "(not shown)" : describeValue(node)),
        });
    }

    /** Returns syntax errors, or, when there are none, keys that occur twice in an object. */
    findStructuralProblems(): SettingsError[] {
        const problems = this.syntaxErrors.map(error => this.createSyntaxProblem(error));
        if (this.root !== undefined && problems.length === 0) {
            this.collectDuplicateKeys(this.root, [], problems);
        }
        return problems;
    }

    private createSyntaxProblem(error: ParseError): SettingsError {
        return new SettingsError("settings-invalid", {
            file: this.file,
            line: this.findLine(error.offset),
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
                problems.push(this.createDuplicateKeyProblem([...path, key], keyNode.offset));
            }
            seen.add(key);
            if (valueNode !== undefined) {
                this.collectDuplicateKeys(valueNode, [...path, key], problems);
            }
        }
    }

    private createDuplicateKeyProblem(path: FieldPath, offset: number): SettingsError {
        return new SettingsError("settings-invalid", {
            file: this.file,
            line: this.findLine(offset),
            field: formatPath(path),
            expected: "each key once",
            actual: "a second value",
        });
    }

    private findNode(path: FieldPath): Node | undefined {
        return this.root === undefined ? undefined : findNodeAtLocation(this.root, path as (string | number)[]);
    }

    private findEnclosingNode(path: FieldPath): Node | undefined {
        for (let length = path.length - 1; length >= 0; length--) {
            const node = this.findNode(path.slice(0, length));
            if (node !== undefined) {
                return node;
            }
        }
        return undefined;
    }

    private findLine(offset: number): number {
        return this.source.slice(0, offset).split("\n").length;
    }
}

/** Formats a path for messages, such as `limits.maxInFlight` or `entryVms[2].id`. */
export function formatPath(path: FieldPath): string {
    const formatted = path.map(fieldKey => typeof fieldKey === "number" ? `[${fieldKey}]` : `.${String(fieldKey)}`)
        .join("");
    return formatted === "" ? "(document)" : formatted.replace(/^\./, "");
}

/** Reads a file and checks it against a schema; an unreadable file is returned as a problem. */
export function readDocument<Schema extends z.ZodType>(file: string, schema: Schema): ParseResult<z.output<Schema>> {
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
): ParseResult<z.output<Schema>> {
    const structuralProblems = document.findStructuralProblems();
    if (structuralProblems.length > 0) {
        return { isValid: false, problems: structuralProblems };
    }
    const result = schema.safeParse(document.value());
    if (result.success) {
        return { isValid: true, value: result.data, document };
    }
    return { isValid: false, problems: result.error.issues.map(issue => createSchemaProblem(document, issue)) };
}

function createSchemaProblem(document: SettingsDocument, issue: z.core.$ZodIssue): SettingsError {
    if (issue.code === "unrecognized_keys") {
        return document.createProblem([...issue.path, issue.keys[0]], issue.message, `the key ${issue.keys[0]}`);
    }
    return document.createProblem(issue.path, issue.message);
}

/** Describes a value; of a list or an object only the size, because its content may include a secret. */
function describeValue(node: Node | undefined): string {
    if (node === undefined) {
        return "nothing";
    }
    if (node.type === "object" || node.type === "array") {
        const count = node.children?.length ?? 0;
        return `${node.type === "array" ? "a list" : "an object"} of ${count}`;
    }
    const formatted = JSON.stringify(getNodeValue(node));
    return formatted.length <= maxShownLength ? formatted : `${formatted.slice(0, maxShownLength)}...`;
}
