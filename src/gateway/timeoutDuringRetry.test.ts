import test from "ava";
import type { ServerResponse } from "node:http";
import { makeRoute, makeTable } from "../directory/testing.js";
import { TestEntry, TestUpstream, waitFor } from "./testing.js";

const timeoutMs = 1000;
const route = makeRoute({ isIdempotent: true, targetLatencyMs: 100_000, timeoutMs, maxAttempts: 2 });
const steadyRoute = makeRoute({ name: "steady", pathPrefix: "/steady/", isIdempotent: false, timeoutMs: 100_000 });

/** Responses of the upstream that gets the retry; each is incomplete at the timeout of the route. */
const retryResponses: readonly { readonly what: string; readonly respond: (response: ServerResponse) => void; }[] = [
    {
        what: "part of the body has arrived",
        respond: response => {
            response.writeHead(200, { "Content-Length": 8000 });
            response.write("x".repeat(4000));
        },
    },
    {
        what: "the body has exceeded what is held",
        respond: response => {
            response.writeHead(200);
            response.write("x".repeat(200_000));
        },
    },
    {
        what: "only the head has arrived",
        respond: response => {
            response.writeHead(200, { "Content-Length": 8 });
            response.flushHeaders();
        },
    },
    {
        what: "part of another error has arrived",
        respond: response => {
            response.writeHead(500, { "Content-Length": 8000 });
            response.write("x".repeat(4000));
        },
    },
];

for (const { what, respond } of retryResponses) {
    test(`guards against an entry that ends when a retry times out after an error response: ${what}`, async t => {
        const entry = new TestEntry();
        const upstreams = [new TestUpstream("i-1"), new TestUpstream("i-2")];
        const responses: ServerResponse[] = [];
        let steadyResponse: ServerResponse | undefined;
        for (const upstream of upstreams) {
            upstream.answer = (request, response) => {
                if (request.url?.startsWith("/steady/") === true) {
                    steadyResponse = response;
                    return;
                }
                responses.push(response);
                if (responses.length === 1) {
                    response.writeHead(500);
                    response.end("failed");
                    return;
                }
                respond(response);
            };
        }
        await entry.start(makeTable(1, [route, steadyRoute]));
        await Promise.all(upstreams.map(upstream => entry.addUpstream(upstream)));
        t.teardown(() => {
            entry.close();
            upstreams.forEach(upstream => upstream.close());
        });
        const steady = entry.send("/steady/1", "r-2", "POST");
        await waitFor(() => steadyResponse !== undefined);

        const caller = await entry.connect();
        caller.writeHead("/stock/1", "r-1", "Content-Length: 0");
        await waitFor(() => caller.hasEnded || caller.isClosed);
        t.is(responses.length, 2);
        t.is(caller.text.match(/HTTP\/1\.1 /g)?.length, 1, "one head");
        t.regex(caller.text, /^HTTP\/1\.1 (200|500)/);
        t.false(caller.text.endsWith("\r\n0\r\n\r\n"), "the truncated response does not look complete");
        t.true(entry.lines.some(line => line.text === "cut off the response at the timeout"));
        await waitFor(() => responses[1].destroyed);

        steadyResponse?.end("done");
        t.deepEqual(await steady, { status: 200, text: "done" }, "other requests are served");
    });
}
