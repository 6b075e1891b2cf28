/** Maximum number of lines with the same text that are written per second. */
const defaultLinesPerSecond = 25;
const windowMs = 1000;

interface Window {
    startMs: number;
    written: number;
    omitted: number;
}

/** Limits the lines per second of each text, which bounds the cost of logging under load. */
export class LineRateLimiter {
    private readonly windows = new Map<string, Window>();

    constructor(private readonly linesPerSecond = defaultLinesPerSecond) {}

    /**
     * Requests to write one line. Returns undefined when the line must be omitted, otherwise the number of lines with
     * this text that were omitted since the last written one.
     */
    tryAcquire(text: string, nowMs: number): number | undefined {
        const window = this.windows.get(text) ?? { startMs: nowMs, written: 0, omitted: 0 };
        this.windows.set(text, window);
        if (nowMs - window.startMs >= windowMs) {
            window.startMs = nowMs;
            window.written = 0;
        }
        if (window.written >= this.linesPerSecond) {
            window.omitted++;
            return undefined;
        }
        window.written++;
        const { omitted } = window;
        window.omitted = 0;
        return omitted;
    }
}
