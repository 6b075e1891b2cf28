import test from "ava";
import { ManualClock } from "../core/clock.js";
import { createProcessLogger } from "./processLogger.js";

function makeLogger(linesPerSecond: number) {
    const lines: Record<string, unknown>[] = [];
    const stream = { writableLength: 0, write: (text: string) => lines.push(JSON.parse(text)) };
    const clock = new ManualClock();
    return { lines, stream, clock, logger: createProcessLogger({ name: "entry-1", clock, stream, linesPerSecond }) };
}

test("guards against log volume that grows with load: lines are rate-limited by text and omissions counted", t => {
    const { lines, clock, logger } = makeLogger(2);
    for (let count = 0; count < 5; count++) {
        logger.info("placed", { count });
    }
    logger.info("refused", {});
    clock.advance(1000);
    logger.info("placed", { count: 9 });
    t.deepEqual(lines.map(line => [line.text, line.count, line.omittedLines]), [
        ["placed", 0, undefined],
        ["placed", 1, undefined],
        ["refused", undefined, undefined],
        ["placed", 9, 3],
    ]);
});

test("guards against a process that blocks on a slow reader of its log: lines are dropped and counted", t => {
    const { lines, stream, logger } = makeLogger(10);
    stream.writableLength = 10_000_000;
    logger.info("lost", {});
    stream.writableLength = 0;
    logger.warn("kept", { reason: "x" });
    t.deepEqual(lines.map(line => [line.level, line.text, line.reason, line.droppedLines]), [["warn", "kept", "x", 1]]);
});
