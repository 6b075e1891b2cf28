import test, { type ExecutionContext } from "ava";
import { ManualClock } from "../core/clock.js";
import { makeRegistration, makeRoute, makeTable } from "../directory/testing.js";
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
