import http from "node:http";
import type { AddressInfo } from "node:net";
import { SeededRandom } from "../src/core/random.js";
import { AnnouncementLoop } from "./announcementLoop.js";
import { ExecutionLog } from "./executionLog.js";
import { ServiceModel } from "./serviceModel.js";

/** Options of a simulated upstream's process; passed as JSON in the first argument. */
export interface UpstreamProcessOptions {
    readonly service: string;
    readonly id: string;
    readonly availabilityZone: string;
    readonly slots: number;
    /** Mean service time. Half of it is fixed; the other half is the mean of an exponential distribution. */
    readonly meanServiceMs: number;
    readonly seed: number;
    /** `host:port` of entries. */
    readonly entryAddresses: readonly string[];
    readonly incarnation: number;
    /** 0 chooses a free port. */
    readonly port?: number;
    /** Address in announcements; the listening address by default. Set when clients connect through a relay. */
    readonly announcedAddress?: string;
    /** Time for which a probe occupies a slot. */
    readonly probeMs?: number;
    /** Time in the state `starting` after the process starts. */
    readonly startingMs?: number;
    /** File that records executions; not recorded when undefined. */
    readonly executionLog?: string;
}

/** Commands of `POST /stand-in/command`. */
export interface SimulatedUpstreamCommand {
    /** Multiplies service times. */
    readonly slowFactor?: number;
    /** Answers every request immediately with status 500. */
    readonly failsFast?: boolean;
    /** Path that makes the process exit when a request for it starts to run. */
    readonly crashPath?: string;
    /** Announces draining to one entry. */
    readonly drain?: boolean;
    /** Returns to `starting` for this time, with service times multiplied by ten. */
    readonly coldMs?: number;
}

/** Answer of `GET /stand-in/counts`. */
export interface SimulatedUpstreamCounts {
    readonly service: string;
    readonly id: string;
    readonly incarnation: number;
    /** Executions by the value of the header `Bench-Request`. */
    readonly executions: Readonly<Record<string, number>>;
    readonly probes: number;
    readonly probeMs: number;
    readonly connections: number;
    readonly refused: number;
    /** Executed requests that arrived more than 3 s after an entry acknowledged the drain. */
    readonly lateExecutions: number;
}

const lateThresholdMs = 3000;
const coldStartSlowFactor = 10;
const maxQueued = 200;

class SimulatedUpstream {
    private readonly model: ServiceModel;
    private readonly announcementLoop: AnnouncementLoop;
    private readonly server: http.Server;
    private readonly log: ExecutionLog;
    private readonly executions = new Map<string, number>();
    private probes = 0;
    private connections = 0;
    private refused = 0;
    private lateExecutions = 0;
    private drainedAtMs = Number.POSITIVE_INFINITY;
    private failsFast = false;
    private crashPath: string | undefined;

    constructor(private readonly options: UpstreamProcessOptions) {
        this.model = new ServiceModel(options.slots, options.meanServiceMs, new SeededRandom(options.seed), maxQueued);
        this.announcementLoop = new AnnouncementLoop(options);
        this.log = new ExecutionLog(options.executionLog);
        this.server = http.createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", () => this.connections++);
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(this.options.port ?? 0, "127.0.0.1", resolve));
        const { port } = this.server.address() as AddressInfo;
        this.announcementLoop.start(this.options.announcedAddress ?? `127.0.0.1:${port}`);
        console.log(`ready ${JSON.stringify({ address: `127.0.0.1:${port}`, port: String(port) })}`);
    }

    private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
        const path = (request.url ?? "/").split("?")[0];
        switch (path) {
            case "/figwharf/load":
                return this.answerProbe(response);
            case "/stand-in/counts":
                return this.answerCounts(response);
            case "/stand-in/command":
                return this.readCommand(request, response);
            default:
                return this.readRequest(request, response, path);
        }
    }

    private readRequest(request: http.IncomingMessage, response: http.ServerResponse, path: string): void {
        const isLate = performance.now() - this.drainedAtMs > lateThresholdMs;
        let bodyBytes = 0;
        request.on("data", (chunk: Buffer) => bodyBytes += chunk.length);
        request.on("end", () => this.serve(request, response, path, bodyBytes, isLate));
    }

    private serve(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        path: string,
        bodyBytes: number,
        isLate: boolean,
    ): void {
        const key = String(request.headers["bench-request"] ?? "");
        if (this.model.isFull) {
            this.refused++;
            response.writeHead(503, { "Figwharf-Verdict": "not-run", "Figwharf-Load": this.formatLoadHeader() });
            response.end();
            return;
        }
        const workHandle = this.model.run(
            () => this.begin(key, path, isLate),
            workMs => this.finish(response, key, bodyBytes, workMs),
        );
        response.on("close", () => response.writableFinished || workHandle.cancel());
    }

    /** Called when a request gets a slot; returns whether it fails immediately. */
    private begin(key: string, path: string, isLate: boolean): boolean {
        this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
        this.lateExecutions += isLate ? 1 : 0;
        this.log.add(key, isLate);
        if (path === this.crashPath) {
            process.exit(1);
        }
        return this.failsFast;
    }

    private finish(response: http.ServerResponse, key: string, bodyBytes: number, workMs: number): void {
        const body = JSON.stringify({ key, by: this.options.id, bodyBytes, end: true });
        response.writeHead(this.failsFast ? 500 : 200, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            "Bench-Request": key,
            "Bench-Service-Ms": workMs.toFixed(3),
            "Figwharf-Load": this.formatLoadHeader(),
        });
        response.end(body);
    }

    private formatLoadHeader(): string {
        const { state } = this.announcementLoop;
        return `in-flight=${this.model.inFlight}, state=${state}, incarnation=${this.options.incarnation}`;
    }

    private answerProbe(response: http.ServerResponse): void {
        this.probes++;
        const answer = () => {
            response.writeHead(200, { "Figwharf-Load": this.formatLoadHeader(), "Content-Length": 0 });
            response.end();
        };
        this.model.occupy(this.options.probeMs ?? 0, answer);
    }

    private answerCounts(response: http.ServerResponse): void {
        const counts: SimulatedUpstreamCounts = {
            service: this.options.service,
            id: this.options.id,
            incarnation: this.options.incarnation,
            executions: Object.fromEntries(this.executions),
            probes: this.probes,
            probeMs: this.probes * (this.options.probeMs ?? 0),
            connections: this.connections,
            refused: this.refused,
            lateExecutions: this.lateExecutions,
        };
        response.end(JSON.stringify(counts));
    }

    private readCommand(request: http.IncomingMessage, response: http.ServerResponse): void {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            void this.apply(JSON.parse(Buffer.concat(chunks).toString()) as SimulatedUpstreamCommand).then(() =>
                response.end()
            );
        });
    }

    private async apply(command: SimulatedUpstreamCommand): Promise<void> {
        this.failsFast = command.failsFast ?? this.failsFast;
        this.crashPath = command.crashPath ?? this.crashPath;
        this.model.slowFactor = command.slowFactor ?? this.model.slowFactor;
        if (command.coldMs !== undefined) {
            this.simulateColdStart(command.coldMs);
        }
        if (command.drain === true) {
            await this.announcementLoop.drain();
            this.drainedAtMs = performance.now();
        }
    }

    private simulateColdStart(durationMs: number): void {
        this.model.slowFactor *= coldStartSlowFactor;
        this.announcementLoop.announceStarting(durationMs, () => this.model.slowFactor /= coldStartSlowFactor);
    }
}

await new SimulatedUpstream(JSON.parse(process.argv[2]) as UpstreamProcessOptions).start();
