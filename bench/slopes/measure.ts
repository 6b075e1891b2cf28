import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { FrameDecoder } from "../../src/transport/framing.js";

const microsPerMs = 1000;
const rounds = 3;

/** Returns the shortest time of several runs in microseconds, which other processes have disturbed least. */
export function measureMicros(run: () => void): number {
    run();
    let shortestMs = Number.POSITIVE_INFINITY;
    for (let round = 0; round < rounds; round++) {
        const startedAtMs = performance.now();
        run();
        shortestMs = Math.min(shortestMs, performance.now() - startedAtMs);
    }
    return shortestMs * microsPerMs;
}

/** Returns the memory that the result of `make` retains, in bytes. */
export function measureBytes(make: () => unknown): number {
    make();
    const before = readUsedBytes();
    const retained = make();
    const bytes = readUsedBytes() - before;
    return retained === undefined ? 0 : bytes;
}

/** Returns the messages in a frame. */
export function decodeFrame(frame: Buffer): unknown[] {
    return [...new FrameDecoder(frame.length).push(frame)];
}

/** Collects garbage and returns the memory in use, in bytes. */
export function readUsedBytes(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    collect();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
