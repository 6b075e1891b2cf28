import fs from "node:fs";

/** Executions of requests that simulated upstreams have logged. */
export interface Executions {
    /** Number of executions by the value of `Bench-Request`. */
    readonly bySubmission: ReadonlyMap<string, number>;
    /** Number of executions by the name of the call. */
    readonly byCall: ReadonlyMap<string, number>;
    /** Executed submissions that arrived more than 3 s after an entry acknowledged the drain of the upstream. */
    readonly lateSubmissions: readonly string[];
}

/** Appends executions to a file synchronously, so that they survive a SIGKILL of the process. */
export class ExecutionLog {
    private readonly fileDescriptor: number | undefined;

    constructor(path: string | undefined) {
        this.fileDescriptor = path === undefined ? undefined : fs.openSync(path, "a");
    }

    add(name: string, isLate: boolean): void {
        if (this.fileDescriptor !== undefined) {
            fs.writeSync(this.fileDescriptor, `${JSON.stringify([name, isLate])}\n`);
        }
    }
}

/** Reads and combines the logs of simulated upstreams; skips files that do not exist. */
export function readExecutions(paths: readonly string[]): Executions {
    const bySubmission = new Map<string, number>();
    const byCall = new Map<string, number>();
    const lateSubmissions: string[] = [];
    for (const line of paths.filter(fs.existsSync).flatMap(path => fs.readFileSync(path, "utf8").split("\n"))) {
        if (line !== "") {
            const [name, isLate] = JSON.parse(line) as [string, boolean];
            increment(bySubmission, name);
            increment(byCall, name.split("#")[0]);
            if (isLate) {
                lateSubmissions.push(name);
            }
        }
    }
    return { bySubmission, byCall, lateSubmissions };
}

function increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
