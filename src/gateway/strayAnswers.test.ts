import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import net, { type AddressInfo } from "node:net";
import type { Route } from "../directory/model.js";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { type RawCaller, TestEntry, TestUpstream } from "./testing.js";

const pollMs = 5;
const patientRoute = makeRoute({ isIdempotent: false, targetLatencyMs: 100_000, timeoutMs: 100_000 });

async function waitFor(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}

function formatAnswer(status: string, text: string, ...fields: readonly string[]): string {
    return [`HTTP/1.1 ${status}`, `Content-Length: ${text.length}`, ...fields, "", text].join("\r\n");
}

/** An upstream that sends its first answer once more when it is asked for its load on the same connection. */
class RepeatingUpstream {
    readonly ran: string[] = [];
    private readonly server = net.createServer(socket => {
        let firstAnswer = "";
        let isRepeated = false;
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            const head = chunk.toString("latin1");
            const id = /^request-id: (.*)\r$/im.exec(head)?.[1];
            const health = formatAnswer("200 OK", "", "Upstream-Id: i-1", "Load: 0,3,1");
            if (id === undefined) {
                isRepeated = firstAnswer !== "";
                socket.write(isRepeated ? firstAnswer : health);
                return;
            }
            this.ran.push(id);
            firstAnswer ||= formatAnswer("200 OK", `answer to ${id}`, `Request-Id: ${id}`);
            // The answer to the question for the load arrives after the request that followed it.
            const late = isRepeated ? formatAnswer("503 Service Unavailable", "", "Upstream-Id: i-1") : "";
            socket.write(late + formatAnswer("200 OK", `answer to ${id}`, `Request-Id: ${id}`));
        });
    });

    async start(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.server.close();
    }
}

test("guards against a second copy of an answer that is taken for the answer to a question for the load", async t => {
    const entry = new TestEntry();
    const upstream = new RepeatingUpstream();
    await entry.start(makeTable(1, [patientRoute]));
    entry.board.set(makeRegistration({ address: await upstream.start() }), entry.clock.monotonicMs());
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    t.deepEqual(await entry.send("/stock/1", "r-1", "POST"), { status: 200, text: "answer to r-1" });
    t.deepEqual(await entry.send("/stock/2", "r-2", "POST"), { status: 200, text: "answer to r-2" });
    t.deepEqual(upstream.ran, ["r-1", "r-2"]);
});

/** Writes bytes until the connection closes. */
function writeWithoutEnd(response: ServerResponse, onClose: () => void): void {
    response.writeHead(200);
    const chunk = Buffer.alloc(1000);
    const timer = setInterval(() => response.write(chunk), 1);
    response.once("close", () => {
        clearInterval(timer);
        onClose();
    });
}

async function setEndlessStage(t: ExecutionContext, route: Partial<Route>): Promise<{
    readonly caller: RawCaller;
    readonly isClosed: () => boolean;
}> {
    const entry = new TestEntry();
    const upstream = new TestUpstream("i-1");
    let isClosed = false;
    upstream.answer = (_request, response) => writeWithoutEnd(response, () => isClosed = true);
    await entry.start(makeTable(1, [{ ...patientRoute, ...route }]));
    await entry.add(upstream);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    // On a busy machine the question for the load can go unanswered, and the request is refused.
    let caller = await entry.connect();
    while (!caller.text.startsWith("HTTP/1.1 200")) {
        caller.socket.destroy();
        caller = await entry.connect();
        caller.writeHead("/stock/1", "r-1", "Content-Length: 0");
        await waitFor(() => caller.text.includes("\r\n\r\n"));
    }
    return { caller, isClosed: () => isClosed };
}

for (const isIdempotent of [true, false]) {
    const kind = isIdempotent ? "idempotent" : "not idempotent";
    test.serial(`guards against an answer without end that is read past the route's timeout: ${kind}`, async t => {
        const { caller, isClosed } = await setEndlessStage(t, { isIdempotent, timeoutMs: 1500 });
        // The system can show the reset of a connection as its end.
        await waitFor(() => (caller.hasEnded || caller.isClosed) && isClosed());
        t.false(caller.text.endsWith("\r\n0\r\n\r\n"), "the answer does not look complete");
    });

    test.serial(`guards against an answer without end that is read on after its caller has left: ${kind}`, async t => {
        const { caller, isClosed } = await setEndlessStage(t, { isIdempotent, timeoutMs: 1500 });
        caller.socket.destroy();
        await waitFor(isClosed);
        t.pass();
    });
}
