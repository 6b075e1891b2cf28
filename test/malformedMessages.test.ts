import test from "ava";
import fc from "fast-check";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { findFreePorts } from "../bench/ports.js";
import { messageMethod } from "../src/control/peerLinks.js";
import { SystemClock } from "../src/core/clock.js";
import { SeededRandom } from "../src/core/random.js";
import { startDirectory } from "../src/directory/daemon.js";
import { areParametersValid, isDirectoryChange } from "../src/directory/messageChecks.js";
import { DirectoryMethod } from "../src/directory/messages.js";
import { makeRegistration, makeRoute, makeTable } from "../src/directory/testing.js";
import { ChannelClient } from "../src/transport/channel.js";

const messageCount = 10_000;
const batchSize = 500;
const callTimeoutMs = 10_000;
const methods = [messageMethod, ...Object.values(DirectoryMethod)];
const kinds = [
    "pre-vote",
    "vote",
    "append",
    "append-answer",
    "snapshot",
    "register",
    "routes",
    "end",
    "node",
    "members",
];
const fields = [
    "entry",
    "message",
    "change",
    "registration",
    "records",
    "command",
    "term",
    "index",
    "to",
    "ids",
    "members",
    "table",
    "waitMs",
    "version",
    "id",
    "peerAddress",
];

/** Values that resemble message parameters, with fields missing or of the wrong type. */
const { parameters } = fc.letrec<{ readonly parameters: unknown; }>(tie => ({
    parameters: fc.oneof(
        { maxDepth: 4 },
        fc.constantFrom<unknown>(null, undefined, -1, NaN, 2 ** 53, "", "x", true, []),
        fc.array(tie("parameters"), { maxLength: 3 }),
        fc.dictionary(fc.constantFrom(...fields), tie("parameters"), { maxKeys: 6 }),
        fc.tuple(
            fc.constantFrom(...kinds),
            fc.dictionary(fc.constantFrom(...fields), tie("parameters"), { maxKeys: 6 }),
        )
            .map(([kind, rest]) => ({ ...rest, kind })),
    ),
}));

test("guards against a malformed message that stops a control VM", async t => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-malformed-"));
    const port = (await findFreePorts(1))[0];
    const address = `127.0.0.1:${port}`;
    const channel = { selfId: "stranger", secret: "test-secret" };
    let failure: Error | undefined;
    const directory = await startDirectory({
        availabilityZone: "az-1",
        peerListen: { host: "127.0.0.1", port },
        operatorAddress: "127.0.0.1:1",
        metricsListen: undefined,
        dataFolder: folder,
        clusterSecret: channel.secret,
        seeds: [address],
        isFirstStart: true,
        toleratedLosses: 0,
        heartbeatIntervalMs: 1500,
        logger: { info: () => 0, warn: () => 0, error: () => 0 },
        clock: new SystemClock(),
        random: new SeededRandom(1),
        onFailed: error => failure = error,
    });
    const client = new ChannelClient(address, channel);
    t.teardown(async () => {
        client.close();
        await directory.close();
        fs.rmSync(folder, { recursive: true, force: true });
    });
    t.true(await client.waitConnected(callTimeoutMs));
    const call = fc.tuple(fc.constantFrom(...methods), parameters);
    const messages = fc.sample(call, { seed: 21, numRuns: messageCount });
    for (let sent = 0; sent < messages.length; sent += batchSize) {
        messages.slice(sent, sent + batchSize).forEach(([method, params]) => client.notify(method, params));
        // Both ends run in this process; one burst blocked their event loop for longer than the channel's peer timeout.
        t.is(typeof await client.call(DirectoryMethod.readVersion, {}, callTimeoutMs), "number");
    }
    // Answered after all earlier messages; the VM is still the leader of its single-member group.
    t.is(typeof await client.call(DirectoryMethod.readVersion, {}, callTimeoutMs), "number");
    t.true(await directory.service.register(makeRegistration()));
    t.is(failure, undefined);
});

test("guards against rejecting valid messages", t => {
    t.true(isDirectoryChange({
        kind: "routes",
        baseVersion: 0,
        table: makeTable(1, [makeRoute({ targetLatencyMs: undefined, kind: "upload" })]),
        update: undefined,
        proposedAtMs: 1,
    }));
    t.true(isDirectoryChange({ kind: "register", registration: makeRegistration() }));
    const entry = { id: "e-1", address: "10.0.0.1:80", availabilityZone: "az-1", isServing: true };
    t.true(areParametersValid(DirectoryMethod.watch, { entry, version: 0, waitMs: 400 }));
    t.true(areParametersValid(DirectoryMethod.readVersion, {}));
    t.false(areParametersValid("directory.unknown", {}));
});
