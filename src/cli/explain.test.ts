import test from "ava";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { collectRequestLogLines } from "./explain.js";

test("guards against missing, foreign or misordered log lines of a request", t => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-explain-"));
    const writeLog = (name: string, lines: readonly string[]) => {
        const file = path.join(folder, name);
        fs.writeFileSync(file, lines.join("\n"));
        return file;
    };
    const line = (time: string, requestId: string, text: string, extraFields: object = {}) =>
        JSON.stringify({ time, level: "info", process: "edge-1", text, requestId, ...extraFields });
    const first = writeLog("first.log", [
        `   2.1 edge-1 ${line("2026-01-01T00:00:02Z", "a1", "delivered", { status: 200 })}`,
        line("2026-01-01T00:00:01Z", "a12", "placed"),
        "not JSON, but it names a1",
    ]);
    const second = writeLog("second.log", [line("2026-01-01T00:00:01Z", "a1", "placed", { upstream: "i-1" })]);
    const lines = collectRequestLogLines("a1", [first, second]);
    t.deepEqual(lines.map(row => [row.text, row.fields]), [
        ["placed", { upstream: "i-1" }],
        ["delivered", { status: 200 }],
    ]);
    t.throws(() => collectRequestLogLines("a1", [path.join(folder, "missing.log")]), { message: /missing.log/ });
    fs.rmSync(folder, { recursive: true });
});
