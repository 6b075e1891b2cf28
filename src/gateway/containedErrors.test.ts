import test, { type ExecutionContext } from "ava";
import { ServerResponse } from "node:http";
import { makeRoute, makeTable } from "../directory/testing.js";
import type { ResponseHead } from "../requests/model.js";
import { TestDialect, TestEntry, TestUpstream, waitFor } from "./testing.js";

const route = makeRoute({ isIdempotent: false, targetLatencyMs: 100_000, timeoutMs: 100_000 });
const shortRoute = makeRoute({ name: "short", pathPrefix: "/short/", isIdempotent: false, timeoutMs: 300 });

/** Throws for the responses to some requests, as a fault in the code that reads them would. */
class ThrowingDialect extends TestDialect {
    override isNotRun(head: ResponseHead): boolean {
        if (head.headers.some(([name]) => name === "Throw")) {
            throw new TypeError("fault while reading a head");
        }
        return super.isNotRun(head);
    }
}

interface Fixture {
    readonly entry: TestEntry;
    readonly upstream: TestUpstream;
    /** Completes another request that has been running since before the fault. */
    readonly completeOther: () => Promise<void>;
}

async function startEntry(t: ExecutionContext): Promise<Fixture> {
    const entry = new TestEntry({ dialect: new ThrowingDialect() });
    const upstream = new TestUpstream("i-1");
    let otherResponse: ServerResponse | undefined;
    upstream.answer = (_request, response) => otherResponse = response;
    await entry.start(makeTable(1, [route, shortRoute]));
    await entry.addUpstream(upstream);
    t.teardown(() => {
        entry.close();
        upstream.close();
    });
    const other = entry.send("/stock/other", "other", "POST");
    await waitFor(() => otherResponse !== undefined);
    const completeOther = async () => {
        otherResponse?.end("done");
        t.deepEqual(await other, { status: 200, text: "done" }, "other requests are served");
    };
    return { entry, upstream, completeOther };
}

test.serial("guards against an exception in a callback of one request that ends the entry or leaves the caller waiting", async t => {
    const { entry, upstream, completeOther } = await startEntry(t);
    upstream.answer = (_request, response) => {
        response.setHeader("Throw", "1");
        response.end("done");
    };
    await t.throwsAsync(entry.send("/stock/1", "r-1", "POST"), undefined, "the connection is reset");
    t.deepEqual(entry.internalErrors.map(error => error.message), ["fault while reading a head"]);
    await completeOther();
});

test.serial("guards against an exception in a timer of one request that ends the entry", async t => {
    const { entry, upstream, completeOther } = await startEntry(t);
    let response: ServerResponse | undefined;
    upstream.answer = (_request, answer) => response = answer;
    entry.metrics.refusals.inc = () => {
        throw new RangeError("fault at the timeout");
    };
    await t.throwsAsync(entry.send("/short/1", "r-1", "POST"), undefined, "the connection is reset");
    t.deepEqual(entry.internalErrors.map(error => error.message), ["fault at the timeout"]);
    await waitFor(() => response?.destroyed === true);
    await completeOther();
});

test.serial("guards against an exception after a caller has left that ends the entry", async t => {
    const { entry, upstream, completeOther } = await startEntry(t);
    let isRunning = false;
    upstream.answer = () => isRunning = true;
    entry.metrics.callerDisconnects.inc = () => {
        throw new RangeError("fault after the caller has left");
    };
    const caller = await entry.connect();
    caller.writeHead("/stock/1", "r-1", "Content-Length: 0");
    await waitFor(() => isRunning);
    caller.socket.destroy();
    await waitFor(() => entry.internalErrors.length > 0);
    t.deepEqual(entry.internalErrors.map(error => error.message), ["fault after the caller has left"]);
    await completeOther();
});

test.serial("guards against a head that cannot be written and ends the entry", async t => {
    const { entry, upstream, completeOther } = await startEntry(t);
    upstream.answer = (_request, response) => response.end("done");
    const { writeHead } = ServerResponse.prototype;
    t.teardown(() => ServerResponse.prototype.writeHead = writeHead);
    ServerResponse.prototype.writeHead = function(this: ServerResponse, status: number, ...rest: never[]) {
        if (this.req.socket.localPort === entry.port && status === 200) {
            throw new TypeError("fault while writing a head");
        }
        return writeHead.call(this, status, ...rest);
    } as never;
    await t.throwsAsync(entry.send("/stock/1", "r-1", "POST"), undefined, "the connection is reset");
    ServerResponse.prototype.writeHead = writeHead;
    t.deepEqual(entry.internalErrors.map(error => error.message), ["fault while writing a head"]);
    await completeOther();
});
