import test from "ava";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { SystemClock } from "../core/clock.js";
import { SeededRandom } from "../core/random.js";
import { TcpRelay } from "../transport/relay.js";
import { startControl } from "./daemon.js";
import type { StatusAnswer } from "./operatorApi.js";
import type { ControlDaemon, ControlOptions } from "./options.js";

const silentLogger = { info: () => undefined, warn: () => undefined, error: () => undefined };
const declaration = {
    changeId: "a",
    baseRevision: 0,
    operation: { kind: "declare", declarations: { services: [], entryVms: [], runbookCommands: [] } },
};

async function startGroup(count: number) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-control-"));
    const relays = Array.from({ length: count }, () => new TcpRelay("127.0.0.1", 0));
    const ports = await Promise.all(relays.map(relay => relay.listen()));
    const members = ports.map((port, index) => ({ id: `c${index}`, peerAddress: `127.0.0.1:${port}` }));
    const failures: Error[] = [];
    const start = async (index: number) => {
        const options: ControlOptions = {
            id: members[index].id,
            region: "east",
            availabilityZone: "east-1",
            operatorListen: { host: "127.0.0.1", port: 0 },
            peerListen: { host: "127.0.0.1", port: 0 },
            members,
            dataFolder: path.join(folder, members[index].id),
            clusterSecret: "secret",
            operatorTokens: [{ operator: "ann", token: "token" }],
            logger: silentLogger,
            clock: new SystemClock(),
            random: new SeededRandom(index + 1),
            onFailed: error => failures.push(error),
        };
        const daemon = await startControl(options);
        relays[index].setTargetPort(daemon.peerPort);
        return daemon;
    };
    const daemons = await Promise.all(members.map((_member, index) => start(index)));
    const close = async () => {
        await Promise.all(daemons.map(daemon => daemon.close()));
        await Promise.all(relays.map(relay => relay.close()));
        fs.rmSync(folder, { recursive: true });
    };
    return { folder, relays, daemons, start, close, failures };
}

async function call(daemon: ControlDaemon, method: string, params: unknown, token = "token") {
    const response = await fetch(`http://127.0.0.1:${daemon.operatorPort}/v1/rpc`, {
        method: "POST",
        headers: { authorization: `Bearer ${token}` },
        body: JSON.stringify({ jsonrpc: "2.0", id: 1, method, params }),
    });
    const body = await response.json() as { result?: unknown; error?: { message: string; }; };
    return { status: response.status, ...body };
}

async function readStatus(daemon: ControlDaemon): Promise<StatusAnswer> {
    return (await call(daemon, "status", {})).result as StatusAnswer;
}

async function waitForStatus(daemon: ControlDaemon, isDone: (status: StatusAnswer) => boolean): Promise<StatusAnswer> {
    let status = await readStatus(daemon);
    for (let attempt = 0; attempt < 300 && !isDone(status); attempt++) {
        await new Promise(resolve => setTimeout(resolve, 50));
        status = await readStatus(daemon);
    }
    return status;
}

const isLed = (status: StatusAnswer) => status.isQuorumConfirmed;

test("a single VM accepts changes at once and retains the catalogue across a restart", async t => {
    const group = await startGroup(1);
    const [daemon] = group.daemons;
    t.like(await call(daemon, "catalogue.apply", declaration), { result: { outcome: "accepted", revision: 1 } });
    t.is((await call(daemon, "status", {}, "wrong")).status, 401);
    t.regex(String((await call(daemon, "no.such", {})).error?.message), /no method no.such/);
    await daemon.close();
    group.daemons[0] = await group.start(0);
    t.like(await call(group.daemons[0], "catalogue.show", {}), { result: { catalogue: { revision: 1 } } });
    await group.close();
});

test("guards against an undetected partition: status reports a control VM that is cut off", async t => {
    const group = await startGroup(3);
    await waitForStatus(group.daemons[0], isLed);
    for (const daemon of group.daemons) {
        t.like(await call(daemon, "catalogue.apply", declaration), { result: { outcome: "accepted", revision: 1 } });
    }
    const { answeredBy } = await readStatus(group.daemons[0]);
    const cutIndex = [0, 1, 2].find(index => !answeredBy.startsWith(`c${index}.`)) as number;
    const observerIndex = [0, 1, 2].find(index => answeredBy.startsWith(`c${index}.`)) as number;
    group.relays[cutIndex].cut();
    const isReported = ({ voters }: StatusAnswer) =>
        voters.some(voter => voter.id.startsWith(`c${cutIndex}.`) && voter.problems.length > 0);
    t.true(isReported(await waitForStatus(group.daemons[observerIndex], isReported)));
    group.relays[cutIndex].restore();
    t.false(isReported(await waitForStatus(group.daemons[observerIndex], status => !isReported(status))));
    await group.close();
});

test("guards against a reused identity: a VM that lost its disk joins under a new identity and becomes a voter", async t => {
    const group = await startGroup(3);
    const before = await waitForStatus(group.daemons[0], isLed);
    await group.daemons[2].close();
    fs.rmSync(path.join(group.folder, "c2"), { recursive: true });
    group.daemons[2] = await group.start(2);
    const oldIds = before.voters.map(voter => voter.id);
    const isReplaced = ({ voters }: StatusAnswer) =>
        voters.length === 3 &&
        voters.some(voter => voter.id.startsWith("c2.") && !oldIds.includes(voter.id) && voter.role !== "learner");
    const after = await waitForStatus(group.daemons[0], isReplaced);
    t.true(isReplaced(after), JSON.stringify(after.voters));
    await group.close();
});

test("guards against a damaged data folder: the start fails with the name of the file", async t => {
    const group = await startGroup(1);
    await call(group.daemons[0], "catalogue.apply", declaration);
    await group.daemons[0].close();
    fs.writeFileSync(path.join(group.folder, "c0", "vote"), "damaged");
    await t.throwsAsync(group.start(0), { message: /vote: the file is damaged/ });
    await group.close();
});
