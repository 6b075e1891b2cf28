import test from "ava";
import net from "node:net";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { listenOnLoopback, TestEntry } from "./testing.js";

const route = makeRoute({ isIdempotent: false, targetLatencyMs: 100_000, timeoutMs: 100_000, maxAttempts: 3 });

function formatResponse(status: string, ...fields: readonly string[]): string {
    return [`HTTP/1.1 ${status}`, "Content-Length: 0", ...fields, "", ""].join("\r\n");
}

/** An upstream that refuses its first request, and writes that refusal again before the answer to each later one. */
class RepeatingUpstream {
    readonly startedIds: string[] = [];
    private refusal: string | undefined;
    private readonly server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            const id = /^request-id: (.*)\r$/im.exec(chunk.toString("latin1"))?.[1];
            if (id === undefined) {
                socket.write(formatResponse("200 OK", `Upstream-Id: ${this.id}`, "Load: 0,3,1"));
            }
            else if (this.refusal === undefined) {
                this.refusal = formatResponse("503 Service Unavailable", "Not-Run: 1", ...this.makeFields(id));
                socket.write(formatResponse("503 Service Unavailable", "Not-Run: 1", `Request-Id: ${id}`));
            }
            else {
                this.startedIds.push(id);
                socket.write(this.refusal + formatResponse("200 OK", `Request-Id: ${id}`));
            }
        });
    });

    constructor(private readonly id: string, private readonly makeFields: (id: string) => readonly string[]) {}

    start(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    close(): void {
        this.server.close();
    }
}

const repetitions: readonly { readonly name: string; readonly makeFields: (id: string) => readonly string[]; }[] = [
    { name: "with the id of its request", makeFields: id => [`Request-Id: ${id}`] },
    { name: "without an id", makeFields: () => [] },
    { name: "with an empty id", makeFields: () => ["Request-Id: "] },
];

for (const { name, makeFields } of repetitions) {
    test(`guards against a repeated refusal that is taken for the answer to the next request: ${name}`, async t => {
        const entry = new TestEntry();
        const upstreams = ["i-1", "i-2"].map(id => new RepeatingUpstream(id, makeFields));
        await entry.start(makeTable(1, [route]));
        for (const [index, upstream] of upstreams.entries()) {
            const registration = makeRegistration({ id: `i-${index + 1}`, address: await upstream.start() });
            entry.upstreamTable.set(registration, entry.clock.monotonicMs());
        }
        t.teardown(() => {
            entry.close();
            upstreams.forEach(upstream => upstream.close());
        });
        // Both upstreams refuse their first request; the statement is true.
        let id = 0;
        let { status } = await entry.send(`/stock/${id}`, `r-${id}`, "POST");
        while (upstreams.every(upstream => upstream.startedIds.length === 0)) {
            id++;
            status = (await entry.send(`/stock/${id}`, `r-${id}`, "POST")).status;
        }
        const startedIds = upstreams.flatMap(upstream => upstream.startedIds);
        t.deepEqual(startedIds, [`r-${id}`], "it runs once");
        t.is(status, 502, "it may have run");
    });
}
