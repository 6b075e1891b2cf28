import test from "ava";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import PQueue from "p-queue";
import { applyAnswer, applyCommand, cases, type CommandCase } from "../../test/commandCases.js";
import { FakeControl } from "../../test/fakeControl.js";

const token = "token-of-the-operator-asha";
const closedAddress = "127.0.0.1:1";
const shortTotalTimeoutMs = 1_500;
/** Exit codes of commands that retry until the total timeout. */
const timeoutExitCodes = [6, 7];
const processQueue = new PQueue({ concurrency: 4 });

interface CommandResult {
    readonly exitCode: number | null;
    readonly stdout: string;
    readonly stderr: string;
}

function runCommand(commandArguments: readonly string[]): Promise<CommandResult> {
    return processQueue.add(() => startCommand(commandArguments)) as Promise<CommandResult>;
}

function startCommand(commandArguments: readonly string[]): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
        const child = spawn(process.execPath, ["bin/figwharf.js", ...commandArguments], {
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

async function runAgainst(
    { command, controls, exitCode, callTimeoutMs }: CommandCase,
    extraArguments: readonly string[] = [],
) {
    const fakes = controls.map(script => script === undefined ? undefined : new FakeControl(script));
    const controlAddresses = await Promise.all(fakes.map(fake => fake?.listen() ?? closedAddress));
    const folder = mkdtempSync(path.join(tmpdir(), "figwharf-cli-"));
    const config = path.join(folder, "operator.jsonc");
    writeFileSync(path.join(folder, "token"), `${token}\n`);
    const timeouts = timeoutExitCodes.includes(exitCode) ? { totalTimeoutMs: shortTotalTimeoutMs } : {};
    const settings = { operator: "asha", controlAddresses, tokenFile: "token", callTimeoutMs, ...timeouts };
    writeFileSync(config, `// operator\n${JSON.stringify(settings)}`);
    const commandResult = await runCommand([...command.split(" "), ...extraArguments, "--config", config]);
    await Promise.all(fakes.map(fake => fake?.close()));
    rmSync(folder, { recursive: true });
    return { commandResult, calls: fakes.flatMap(fake => fake?.calls ?? []) };
}

for (const commandCase of cases) {
    test(`guards against ${commandCase.guardsAgainst}`, async t => {
        const { commandResult, calls } = await runAgainst(commandCase);
        const { exitCode, stdout, stderr } = commandResult;
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

for (const { guardsAgainst, command, controls, exitCode } of [cases[1], cases[2], cases[9], cases[13], cases[19]]) {
    test(`guards against plain text in the output of --json: ${guardsAgainst}`, async t => {
        const { commandResult } = await runAgainst({ guardsAgainst, command, controls, exitCode }, ["--json"]);
        t.is(commandResult.exitCode, exitCode);
        t.is(typeof JSON.parse(commandResult.stdout), "object");
    });
}

test("guards against different change ids for one command and the same id for different commands", async t => {
    const changeIdOf = async (command: string) => {
        const controls = [{ "catalogue.apply": applyAnswer("accepted") }];
        const { calls } = await runAgainst({ guardsAgainst: "", command, controls, exitCode: 0 });
        return calls[0].params.changeId;
    };
    const first = await changeIdOf(applyCommand);
    t.is(await changeIdOf(applyCommand), first);
    t.not(await changeIdOf("catalogue apply examples/catalogue --base-revision 5"), first);
    t.is(await changeIdOf(`${applyCommand} --change-id c-1`), "c-1");
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
