import fs from "node:fs";
import { SettingsError } from "../core/errors.js";

/** A log line of a process about one request. */
export interface RequestLine {
    /** ISO 8601. */
    readonly time: string;
    readonly process: string;
    readonly text: string;
    /** The other fields of the line. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields of a log line that are not about the request. */
const frameFields = new Set(["time", "level", "process", "text", "requestId"]);

/** Returns the lines about a request from logs of several processes, oldest first. Throws SettingsError. */
export function collectRequestLines(requestId: string, files: readonly string[]): readonly RequestLine[] {
    const lines = files.flatMap(file => readText(file).split("\n")).flatMap(line => {
        const parsed = parseLine(line, requestId);
        return parsed === undefined ? [] : [parsed];
    });
    return lines.sort((first, second) => first.time.localeCompare(second.time));
}

function readText(file: string): string {
    try {
        return fs.readFileSync(file, "utf8");
    }
    catch (error) {
        throw new SettingsError("file-missing", { file }, { cause: error });
    }
}

/** What collects logs may put something before each line, so the line begins at its first brace. */
function parseLine(line: string, requestId: string): RequestLine | undefined {
    if (!line.includes(requestId)) {
        return undefined;
    }
    let values: Record<string, unknown>;
    try {
        values = JSON.parse(line.slice(line.indexOf("{"))) as Record<string, unknown>;
    }
    catch {
        // Logs of other programs can stand in the same file.
        return undefined;
    }
    if (values.requestId !== requestId) {
        return undefined;
    }
    const fields = Object.fromEntries(Object.entries(values).filter(([name]) => !frameFields.has(name)));
    return { time: String(values.time), process: String(values.process), text: String(values.text), fields };
}
