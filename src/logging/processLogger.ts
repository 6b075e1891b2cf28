import { type ILogObj, Logger } from "tslog";
import type { Clock } from "../core/clock.js";
import { LineBudget } from "./lineBudget.js";

/** Bytes that wait for a reader of standard output; lines beyond that are dropped instead of blocking the process. */
const maxWaitingBytes = 256 * 1024;

/** Where lines go; `process.stdout` fits. */
export interface LineStream {
    readonly writableLength: number;
    write(text: string): unknown;
}

/** What a log line is written with. */
export interface ProcessLoggerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly stream: LineStream;
    readonly linesPerSecond?: number;
}

/** Makes a logger that writes one JSON object per line, within a budget per text, and never blocks. */
export function createProcessLogger(options: ProcessLoggerOptions): Logger<ILogObj> {
    const { name, clock, stream } = options;
    const budget = new LineBudget(options.linesPerSecond);
    let droppedLines = 0;
    const logger = new Logger<ILogObj>({ name, type: "hidden", stack: { capture: "off" } });
    logger.attachTransport(record => {
        const text = String(record[0]);
        const omittedLines = budget.take(text, clock.monotonicMs());
        if (omittedLines === undefined) {
            return;
        }
        if (stream.writableLength > maxWaitingBytes) {
            droppedLines++;
            return;
        }
        const { logLevelName } = record._logMeta as { readonly logLevelName: string; };
        const line = {
            time: clock.now().toISOString(),
            level: logLevelName.toLowerCase(),
            process: name,
            text,
            ...record[1] as object | undefined,
            ...omittedLines > 0 ? { omittedLines } : {},
            ...droppedLines > 0 ? { droppedLines } : {},
        };
        droppedLines = 0;
        stream.write(`${JSON.stringify(line)}\n`);
    });
    return logger;
}
