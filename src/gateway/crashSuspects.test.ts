import test, { type ExecutionContext } from "ava";
import { createHash } from "node:crypto";
import http from "node:http";
import { ManualClock } from "../core/clock.js";
import { RequestKind, type Route } from "../directory/model.js";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
import { BodyIdentity, identifiedBytes } from "../entry/bodyIdentity.js";
import { fingerprintOf } from "../requests/suspectTable.js";
import { CrashSuspects, type SuspectableRequest, SuspectTreatment } from "./crashSuspects.js";
import { TestEntry, TestUpstream, waitFor } from "./testing.js";
import { type UpstreamState, UpstreamStateTable } from "./upstreamStateTable.js";

const request: SuspectableRequest = { service: "orders", method: "POST", path: "/stock/1", body: Buffer.from("b") };

interface Setup {
    readonly suspects: CrashSuspects;
    readonly clock: ManualClock;
    /** Whether lost instances accept connections. */
    isAccepting: boolean;
    isPartitionSuspected: boolean;
    newsCount: number;
    /** Records that an instance gave no response. */
    lose(id: string, lost?: SuspectableRequest): Promise<void>;
}

function makeSetup(): Setup {
    const clock = new ManualClock();
    const table = new UpstreamStateTable();
    const setup: Setup = {
        clock,
        isAccepting: false,
        isPartitionSuspected: false,
        newsCount: 0,
        suspects: new CrashSuspects({
            clock,
            logger: { debug: () => 0, info: () => 0, warn: () => 0, error: () => 0 },
            metrics: { suspectedCrashes: { inc: () => undefined } as never },
            checkConnection: () => Promise.resolve(setup.isAccepting),
            isPartitionSuspected: () => setup.isPartitionSuspected,
            onNews: () => setup.newsCount++,
        }),
        lose: (id, lost = request) => {
            table.set(makeRegistration({ id }), clock.monotonicMs());
            return setup.suspects.recordNoResponse(lost, table.get(id) as UpstreamState);
        },
    };
    return setup;
}

test("guards against a request that crashes one instance after another", async t => {
    const setup = makeSetup();
    const { suspects } = setup;
    const treatments: SuspectTreatment[] = [];
    for (const id of ["i-1", "i-1", "i-2", "i-3"]) {
        await setup.lose(id);
        treatments.push(suspects.treat(request));
    }
    const { normal, singleAttempt, refused } = SuspectTreatment;
    t.deepEqual(treatments, [normal, normal, singleAttempt, refused], "one instance counts once");
    t.is(suspects.treat({ ...request, body: Buffer.from("other") }), normal, "other requests are not affected");
    setup.clock.advance(11 * 60_000);
    t.is(suspects.treat(request), normal, "losses expire");
});

test("guards against suspicions without evidence: an instance that is there, or an entry that reaches none", async t => {
    const setup = makeSetup();
    setup.isAccepting = true;
    await Promise.all(["i-1", "i-2", "i-3"].map(id => setup.lose(id)));
    t.is(setup.suspects.treat(request), SuspectTreatment.normal);
    setup.isAccepting = false;
    setup.isPartitionSuspected = true;
    await Promise.all(["i-1", "i-2", "i-3"].map(id => setup.lose(id)));
    t.is(setup.suspects.treat(request), SuspectTreatment.normal);
    t.is(setup.suspects.describe(), undefined);
});

test("guards against refusing a request that instances survive: it was on instances that crashed for other reasons", async t => {
    const setup = makeSetup();
    await setup.lose("i-1");
    setup.suspects.recordSurvived(request);
    await setup.lose("i-2");
    await setup.lose("i-3");
    t.is(setup.suspects.treat(request), SuspectTreatment.singleAttempt);
    setup.suspects.apply({ version: 4, rows: [] });
    setup.suspects.recordSurvived(request);
    t.is(setup.suspects.treat(request), SuspectTreatment.normal);
    t.deepEqual(setup.suspects.describe()?.survived.length, 2);
});

test("guards against an entry that does not use what others saw, or whose report is lost", async t => {
    const setup = makeSetup();
    const { suspects, clock } = setup;
    await setup.lose("i-1");
    const [[fingerprint]] = suspects.describe()?.losses ?? [];
    t.is(setup.newsCount, 1);
    clock.advance(1000);
    t.is(suspects.describe()?.losses.length, 1, "repeated for some time");
    clock.advance(1500);
    t.is(suspects.describe(), undefined);
    suspects.apply({ version: 3, rows: [[fingerprint, 3]] });
    t.is(suspects.version, 3);
    t.is(suspects.treat(request), SuspectTreatment.refused);
    suspects.apply({ version: 4, rows: [] });
    t.is(suspects.treat(request), SuspectTreatment.normal, "one loss of its own");
});

test("guards against losses that the control VMs forget when all of them restart, and suspects that are kept for ever", async t => {
    const setup = makeSetup();
    const { suspects, clock } = setup;
    await setup.lose("i-1");
    const [[fingerprint]] = suspects.describe()?.losses ?? [];
    suspects.apply({ version: 7, rows: [[fingerprint, 3]] });
    clock.advance(60_000);
    t.is(suspects.describe(), undefined);
    suspects.resetVersion();
    t.is(suspects.version, 0);
    t.is(suspects.describe()?.losses.length, 1, "told to the next control VM");
    t.is(suspects.treat(request), SuspectTreatment.refused, "until that one knows better");
    clock.advance(11 * 60_000);
    t.is(suspects.treat(request), SuspectTreatment.normal);
});

async function startEntry(t: ExecutionContext, upstreams: readonly TestUpstream[]): Promise<TestEntry> {
    const entry = new TestEntry();
    await entry.start(makeTable(1, [makeRoute({ targetLatencyMs: 100_000, timeoutMs: 5000, maxAttempts: 2 })]));
    for (const upstream of upstreams) {
        upstream.answer = (incoming, response) => {
            if (incoming.url === "/stock/crash") {
                upstream.close();
                return;
            }
            response.end("done");
        };
        await entry.addUpstream(upstream);
    }
    t.teardown(() => {
        entry.close();
        upstreams.forEach(upstream => upstream.close());
    });
    return entry;
}

test("guards against a request that is repeated until no instance is left", async t => {
    const upstreams = Array.from({ length: 8 }, (_value, index) => new TestUpstream(`i-${index}`));
    const entry = await startEntry(t, upstreams);
    const countCrashed = () => upstreams.filter(upstream => upstream.receivedIds.includes("crash")).length;
    const statuses: number[] = [];
    for (let round = 0; round < 6; round++) {
        const { status } = await entry.send("/stock/crash", "crash");
        statuses.push(status);
        await waitFor(() => entry.suspectNewsCount >= Math.min(3, countCrashed()));
    }
    t.is(countCrashed(), 3, "two in the first request, one in the second");
    t.deepEqual(statuses, [502, 502, 503, 503, 503, 503]);
    t.is((await entry.send("/stock/1", "sound")).status, 200);
    t.true(entry.lines.some(({ fields }) => fields.reason === "crash-suspect"));
});

function makeStreamed(text: string, isComplete = true): SuspectableRequest {
    const identity = new BodyIdentity(text.length);
    identity.update(Buffer.from(text));
    if (isComplete) {
        identity.end();
    }
    return { ...request, body: identity };
}

test("guards against a streamed body that crashes instances and is cleared by sound ones of the same path", async t => {
    const setup = makeSetup();
    const { suspects } = setup;
    const { normal, singleAttempt, refused } = SuspectTreatment;
    t.false(suspects.isIdentityNeeded(makeStreamed("crash")), "no body is held while no instance was lost");
    const treatments: SuspectTreatment[] = [];
    for (const id of ["i-1", "i-2", "i-3"]) {
        await setup.lose(id, makeStreamed("crash"));
        suspects.recordSurvived(makeStreamed("sound"));
        suspects.recordSurvived(makeStreamed("not received yet", false));
        treatments.push(suspects.treat(makeStreamed("crash")));
    }
    t.deepEqual(treatments, [normal, singleAttempt, refused]);
    t.is(suspects.treat(makeStreamed("sound")), normal, "others on the path are not refused");
    t.true(suspects.isIdentityNeeded(makeStreamed("sound", false)));
    t.false(suspects.isIdentityNeeded({ ...makeStreamed("sound"), path: "/stock/2" }));
    suspects.recordSurvived(makeStreamed("crash"));
    t.is(suspects.treat(makeStreamed("crash")), normal);
});

test("guards against a loss that is forgotten as the instance crashed before the body had arrived", async t => {
    const setup = makeSetup();
    const arriving = makeStreamed("cra", false);
    const recorded = setup.lose("i-1", arriving);
    await new Promise(resolve => setImmediate(resolve));
    t.true(
        setup.suspects.isIdentityNeeded(makeStreamed("crash", false)),
        "the next ones are recognized before they are sent",
    );
    (arriving.body as BodyIdentity).update(Buffer.from("sh"));
    (arriving.body as BodyIdentity).end();
    await recorded;
    await setup.lose("i-2", makeStreamed("crash"));
    t.is(setup.suspects.treat(makeStreamed("crash")), SuspectTreatment.singleAttempt);
});

test("guards against losses that entries of this version and of the one before do not understand of each other", async t => {
    const setup = makeSetup();
    const { suspects } = setup;
    await setup.lose("i-1");
    const bodyHash = createHash("sha256").update("b").digest("base64");
    const { service, method, path } = request;
    t.deepEqual(suspects.describe()?.losses, [[fingerprintOf({ service, method, path, bodyHash }), "i-1", 1000]]);
    // The version before has one fingerprint for all streamed bodies of a path, which sound ones clear.
    const earlier = fingerprintOf({ service, method, path, bodyHash: undefined });
    suspects.apply({ version: 3, rows: [[earlier, 3]] });
    t.true(suspects.isIdentityNeeded(makeStreamed("crash", false)));
    t.is(suspects.treat(makeStreamed("crash")), SuspectTreatment.normal, "it does not say which body it was");
    suspects.recordSurvived(makeStreamed("sound"));
    t.is(suspects.describe()?.survived.length, 0, "it is not cleared for them either");
});

test("guards against bodies that are told apart by how they arrive, or not by what they are", t => {
    const body = Buffer.from("0123456789".repeat(60_000));
    const identify = (bytes: Buffer, partBytes: number, lengthBytes: number | undefined = bytes.length) => {
        const identity = new BodyIdentity(lengthBytes);
        for (let offset = 0; offset < bytes.length; offset += partBytes) {
            identity.update(bytes.subarray(offset, offset + partBytes));
        }
        identity.end();
        return identity.value;
    };
    const small = body.subarray(0, 20_000);
    t.is(identify(small, 20_000), identify(small, 7));
    t.is(identify(small, 20_000), identify(small, 7, undefined), "a chunked body");
    t.is(identify(body, 65_536), identify(body, 1000));
    t.not(identify(body, 1000), identify(body.subarray(1), 1000));
    t.not(identify(body, 1000), identify(body.subarray(0, identifiedBytes + 10), 1000), "same start, other length");
});

interface StreamedCase {
    readonly name: string;
    readonly route: Partial<Route>;
    readonly bodyBytes: number;
    readonly isChunked?: boolean;
}

const upload = { isIdempotent: false, kind: RequestKind.upload };
const streamedCases: readonly StreamedCase[] = [
    { name: "an upload", route: upload, bodyBytes: 20_000 },
    { name: "a chunked upload", route: upload, bodyBytes: 20_000, isChunked: true },
    { name: "an upload above the size of the buffer", route: upload, bodyBytes: 400_000 },
    { name: "a request that runs once with a large body", route: { isIdempotent: false }, bodyBytes: 300_000 },
    { name: "a chunked request with a large body", route: { isIdempotent: true }, bodyBytes: 300_000, isChunked: true },
];

/** Sends a body; resolves with the status, or 0 without an answer. */
function sendBody(entry: TestEntry, id: string, text: string, { bodyBytes, isChunked }: StreamedCase): Promise<number> {
    const body = Buffer.alloc(bodyBytes, text);
    return new Promise(resolve => {
        const outgoing = http.request(
            {
                host: "127.0.0.1",
                port: entry.port,
                path: "/stock/1",
                method: "POST",
                agent: false,
                headers: {
                    "Host": "shop.example",
                    "Request-Id": id,
                    "Deadline-Ms": "100000",
                    ...(isChunked === true ? { "Transfer-Encoding": "chunked" } : { "Content-Length": bodyBytes }),
                },
            },
            response =>
                response.resume().on("end", () => resolve(response.statusCode ?? 0)).on("error", () => resolve(0)),
        );
        outgoing.on("error", () => resolve(0));
        outgoing.end(body);
    });
}

for (const streamedCase of streamedCases) {
    for (const beginsAnswer of [false, true]) {
        const when = beginsAnswer ? "after the head of its answer" : "before its answer";
        test(`guards against ${streamedCase.name} that crashes instances ${when}, beside sound ones`, async t => {
            const upstreams = Array.from({ length: 8 }, (_value, index) => new TestUpstream(`i-${index}`));
            const entry = new TestEntry();
            const route = { targetLatencyMs: 100_000, timeoutMs: 60_000, maxAttempts: 2, ...streamedCase.route };
            const table = makeTable(1, [makeRoute(route)]);
            await entry.start({ ...table, limits: { ...table.limits, maxBodyBytes: 1024 * 1024 } });
            t.teardown(() => {
                entry.close();
                upstreams.forEach(upstream => upstream.close());
            });
            for (const upstream of upstreams) {
                upstream.answer = (incoming, response) => {
                    let text = "";
                    incoming.on("data", (chunk: Buffer) => text += chunk.toString().slice(0, 5));
                    incoming.on("error", () => undefined).on("end", () => {
                        if (!text.startsWith("crash")) {
                            response.end("stored");
                            return;
                        }
                        if (beginsAnswer) {
                            response.write("begin");
                        }
                        setTimeout(() => upstream.close(), beginsAnswer ? 20 : 0);
                    });
                };
                await entry.addUpstream(upstream);
            }
            const statuses: number[] = [];
            const countCrashed = () => upstreams.filter(upstream => upstream.receivedIds.includes("crash")).length;
            for (let round = 0; round < 6; round++) {
                statuses.push(await sendBody(entry, "crash", "crash,", streamedCase));
                const crashed = countCrashed();
                // Each loss is reported for the path and for the body.
                await waitFor(() => entry.suspectNewsCount >= 2 * crashed);
                t.is(await sendBody(entry, `sound-${round}`, `sound ${round},`, streamedCase), 200);
            }
            t.is(countCrashed(), 3, statuses.join());
            t.deepEqual(statuses.slice(3), [503, 503, 503]);
        });
    }
}
