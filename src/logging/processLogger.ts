import { type ILogObj, Logger } from "tslog";
import type { Clock } from "../core/clock.js";
import { LineRateLimiter } from "./lineRateLimiter.js";

/** Bytes that the stream may buffer for a slow reader; further lines are dropped, so that the process never blocks. */
const maxBufferedBytes = 256 * 1024;

/** Destination of log lines, such as `process.stdout`. */
export interface LineStream {
    readonly writableLength: number;
    write(text: string): unknown;
}

/** Options of a process logger. */
export interface ProcessLoggerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly stream: LineStream;
    readonly linesPerSecond?: number;
}

/** Creates a logger that writes one JSON object per line, limits the lines per second of each text and never blocks. */
export function createProcessLogger(options: ProcessLoggerOptions): Logger<ILogObj> {
    const { name, clock, stream } = options;
    const rateLimiter = new LineRateLimiter(options.linesPerSecond);
    let droppedLines = 0;
    const logger = new Logger<ILogObj>({ name, type: "hidden", stack: { capture: "off" } });
    logger.attachTransport(record => {
        const text = String(record[0]);
        const omittedLines = rateLimiter.tryAcquire(text, clock.monotonicMs());
        if (omittedLines === undefined) {
            return;
        }
        if (stream.writableLength > maxBufferedBytes) {
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
