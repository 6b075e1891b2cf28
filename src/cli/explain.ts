import fs from "node:fs";
import { SettingsError } from "../core/errors.js";

/** A log line about one request. */
export interface RequestLogLine {
    /** ISO 8601. */
    readonly time: string;
    readonly process: string;
    readonly text: string;
    /** Fields specific to the message. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every log line about a request has. */
const commonFields = new Set(["time", "level", "process", "text", "requestId"]);

/** Returns the log lines of all files about a request, oldest first. Throws SettingsError if a file is unreadable. */
export function collectRequestLogLines(requestId: string, files: readonly string[]): readonly RequestLogLine[] {
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

/** Log collectors may prefix each line, so the JSON starts at the first brace. */
function parseLine(line: string, requestId: string): RequestLogLine | undefined {
    if (!line.includes(requestId)) {
        return undefined;
    }
    let values: Record<string, unknown>;
    try {
        values = JSON.parse(line.slice(line.indexOf("{"))) as Record<string, unknown>;
    }
    catch {
        // The file may also contain log lines of other programs.
        return undefined;
    }
    if (values.requestId !== requestId) {
        return undefined;
    }
    const fields = Object.fromEntries(Object.entries(values).filter(([name]) => !commonFields.has(name)));
    return { time: String(values.time), process: String(values.process), text: String(values.text), fields };
}
