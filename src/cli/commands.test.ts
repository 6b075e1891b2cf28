import test from "ava";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import PQueue from "p-queue";
import { apply, applyAnswer, cases, type CommandCase } from "../../test/commandCases.js";
import { FakeControl } from "../../test/fakeControl.js";

const token = "token-of-the-operator-asha";
const closedAddress = "127.0.0.1:1";
const exhaustedTimeoutMs = 1_500;
/** Commands that end only when the time is over. */
const exhaustingExitCodes = [6, 7];
const childQueue = new PQueue({ concurrency: 4 });

interface Finished {
    readonly exitCode: number | null;
    readonly stdout: string;
    readonly stderr: string;
}

function runCommand(words: readonly string[]): Promise<Finished> {
    return childQueue.add(() => startCommand(words)) as Promise<Finished>;
}

function startCommand(words: readonly string[]): Promise<Finished> {
    return new Promise((resolve, reject) => {
        const child = spawn(process.execPath, ["bin/figwharf.js", ...words], {
            env: { ...process.env, NO_COLOR: "1" },
        });
        let stdout = "";
        let stderr = "";
        child.stdout.on("data", chunk => stdout += chunk);
        child.stderr.on("data", chunk => stderr += chunk);
        child.on("error", reject);
        child.on("close", exitCode => resolve({ exitCode, stdout, stderr }));
    });
}

async function runAgainst({ command, controls, exitCode, callTimeoutMs }: CommandCase, extra: readonly string[] = []) {
    const fakes = controls.map(script => script === undefined ? undefined : new FakeControl(script));
    const controlAddresses = await Promise.all(fakes.map(fake => fake?.listen() ?? closedAddress));
    const folder = mkdtempSync(path.join(tmpdir(), "figwharf-cli-"));
    const config = path.join(folder, "operator.jsonc");
    writeFileSync(path.join(folder, "token"), `${token}\n`);
    const timeouts = exhaustingExitCodes.includes(exitCode) ? { totalTimeoutMs: exhaustedTimeoutMs } : {};
    const settings = { operator: "asha", controlAddresses, tokenFile: "token", callTimeoutMs, ...timeouts };
    writeFileSync(config, `// operator\n${JSON.stringify(settings)}`);
    const finished = await runCommand([...command.split(" "), ...extra, "--config", config]);
    await Promise.all(fakes.map(fake => fake?.close()));
    rmSync(folder, { recursive: true });
    return { finished, calls: fakes.flatMap(fake => fake?.calls ?? []) };
}

for (const commandCase of cases) {
    test(`guards against ${commandCase.guards}`, async t => {
        const { finished, calls } = await runAgainst(commandCase);
        const { exitCode, stdout, stderr } = finished;
        t.is(exitCode, commandCase.exitCode, `${stdout}\n${stderr}`);
        t.regex(stdout, commandCase.stdout ?? /^/);
        t.regex(stderr, commandCase.stderr ?? /^$/);
        t.false(`${stdout}${stderr}`.includes(token), "the token is never printed");
        t.true(calls.every(call => call.authorization === `Bearer ${token}`));
        const changeIds = calls.filter(call => call.method === "catalogue.apply").map(call => call.params.changeId);
        t.true(new Set(changeIds).size <= 1, "every attempt carries the same change id");
        t.is(changeIds.length, commandCase.applyCalls ?? changeIds.length);
    });
}

for (const { guards, command, controls, exitCode } of [cases[1], cases[2], cases[9], cases[13], cases[19]]) {
    test(`guards against text in the output of --json: ${guards}`, async t => {
        const { finished } = await runAgainst({ guards, command, controls, exitCode }, ["--json"]);
        t.is(finished.exitCode, exitCode);
        t.is(typeof JSON.parse(finished.stdout), "object");
    });
}

test("guards against a change id that differs for the same command and is shared by different ones", async t => {
    const changeIdOf = async (command: string) => {
        const controls = [{ "catalogue.apply": applyAnswer("accepted") }];
        const { calls } = await runAgainst({ guards: "", command, controls, exitCode: 0 });
        return calls[0].params.changeId;
    };
    const first = await changeIdOf(apply);
    t.is(await changeIdOf(apply), first);
    t.not(await changeIdOf("catalogue apply examples/catalogue --base-revision 5"), first);
    t.is(await changeIdOf(`${apply} --change-id c-1`), "c-1");
});

for (const id of ["catalogue lint", "catalogue apply", "upstream drain", "entry-vm resume", "status", "audit", "run"]) {
    test(`guards against help without examples or exit codes: ${id}`, async t => {
        const { stdout, exitCode } = await runCommand([...id.split(" "), "--help"]);
        t.is(exitCode, 0);
        t.regex(stdout, /EXAMPLES\n {2}\$ figwharf/);
        t.regex(stdout.replace(/\s+/g, " "), /Exit codes: 0 done or accepted/);
    });
}

for (const daemon of ["entry", "control"]) {
    test(`guards against a daemon that starts with invalid settings: ${daemon}`, async t => {
        const file = `examples/settings/${daemon}.jsonc`;
        const { exitCode, stdout, stderr } = await runCommand([daemon, "--settings", file]);
        t.is(exitCode, 2);
        t.is(stdout, "", "nothing was started");
        t.regex(stderr, /examples\/settings\/\w+.jsonc:\d+: clusterSecretFile: expected file with at least 16 char/);
    });
}
