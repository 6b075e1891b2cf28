import fs from "node:fs";

/** What upstream stand-ins wrote about the requests that they ran. */
export interface Executions {
    /** Number of executions by the value of `Bench-Request`. */
    readonly byTry: ReadonlyMap<string, number>;
    /** Number of executions by the name of the call. */
    readonly byCall: ReadonlyMap<string, number>;
    /** Tries that arrived and ran more than 3 s after an entry had acknowledged the drain of the upstream. */
    readonly late: readonly string[];
}

/** Appends executions to a file at once, so that they are known after a SIGKILL of the process. */
export class ExecutionLog {
    private readonly file: number | undefined;

    constructor(path: string | undefined) {
        this.file = path === undefined ? undefined : fs.openSync(path, "a");
    }

    add(name: string, isLate: boolean): void {
        if (this.file !== undefined) {
            fs.writeSync(this.file, `${JSON.stringify([name, isLate])}\n`);
        }
    }
}

/** Reads the logs of all upstream stand-ins. */
export function readExecutions(paths: readonly string[]): Executions {
    const byTry = new Map<string, number>();
    const byCall = new Map<string, number>();
    const late: string[] = [];
    for (const line of paths.filter(fs.existsSync).flatMap(path => fs.readFileSync(path, "utf8").split("\n"))) {
        if (line !== "") {
            const [name, isLate] = JSON.parse(line) as [string, boolean];
            increment(byTry, name);
            increment(byCall, name.split("#")[0]);
            if (isLate) {
                late.push(name);
            }
        }
    }
    return { byTry, byCall, late };
}

function increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
