import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const readyTimeoutMs = 10_000;

/** A child process of a benchmark. */
export interface BenchProcess {
    readonly name: string;
    readonly child: ChildProcess;
    /** JSON object from the `ready` line of the process. */
    readonly ready: Readonly<Record<string, string>>;
    readonly pid: number;
}

/** Starts child processes, and kills those still running when this process exits. */
export class Processes {
    /** Child processes that have not exited, including those that are not ready. */
    private readonly children = new Set<ChildProcess>();

    constructor() {
        process.on("exit", () => this.killAll());
        for (const signal of ["SIGINT", "SIGTERM"] as const) {
            process.on(signal, () => process.exit(1));
        }
    }

    /**
     * Starts a module of this folder with its options as JSON, and waits for its `ready` line on stdout. Rejects when
     * the process exits first or is not ready in time.
     */
    async start(module: string, name: string, options: object): Promise<BenchProcess> {
        const path = fileURLToPath(new URL(module, import.meta.url));
        const child = spawn(process.execPath, [path, JSON.stringify(options)], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.children.add(child);
        child.once("exit", () => this.children.delete(child));
        const ready = await waitForReady(child, name);
        return { name, child, ready, pid: child.pid as number };
    }

    signal(target: BenchProcess, signal: NodeJS.Signals): void {
        if (target.child.exitCode === null && target.child.signalCode === null) {
            target.child.kill(signal);
        }
    }

    /** Waits until a process exits and returns its exit code; undefined when a signal terminated it. */
    async waitForExit(target: BenchProcess): Promise<number | undefined> {
        await waitForChildExit(target.child);
        return target.child.exitCode ?? undefined;
    }

    async kill(target: BenchProcess): Promise<void> {
        this.signal(target, "SIGKILL");
        await this.waitForExit(target);
    }

    async stopAll(): Promise<void> {
        const exits = [...this.children].map(waitForChildExit);
        this.killAll();
        await Promise.all(exits);
    }

    private killAll(): void {
        this.children.forEach(child => child.kill("SIGKILL"));
    }
}

async function waitForChildExit(child: ChildProcess): Promise<void> {
    if (child.exitCode === null && child.signalCode === null) {
        await once(child, "exit");
    }
}

function waitForReady(child: ChildProcess, name: string): Promise<Record<string, string>> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
            child.kill("SIGKILL");
            reject(new Error(`${name} was not ready within ${readyTimeoutMs} ms`));
        }, readyTimeoutMs);
        child.once("exit", code => reject(new Error(`${name} exited with code ${code} before it was ready`)));
        createInterface({ input: child.stdout as NodeJS.ReadableStream }).on("line", line => {
            if (line.startsWith("ready ")) {
                clearTimeout(timer);
                resolve(JSON.parse(line.slice("ready ".length)) as Record<string, string>);
            }
        });
    });
}
