/** Lines of one text that are written in one second. */
const defaultLinesPerSecond = 25;
const windowMs = 1000;

interface Window {
    startMs: number;
    written: number;
    omitted: number;
}

/** Bounds the lines of each text per second, so that logging costs little under load. */
export class LineBudget {
    private readonly windows = new Map<string, Window>();

    constructor(private readonly linesPerSecond = defaultLinesPerSecond) {}

    /**
     * Takes one line of a text. Returns undefined when the line is to be left out, otherwise how many lines of the text
     * were left out since the last one that was written.
     */
    take(text: string, nowMs: number): number | undefined {
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
