import test from "ava";
import { cpSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { defaultEntryLimits } from "../entry/options.js";
import { createLogger } from "../wiring.js";
import { loadControlSettings, loadEntrySettings, loadOperatorSettings } from "./load.js";

const secret = "a-cluster-secret-of-the-test";
const loaders = {
    "entry.jsonc": loadEntrySettings,
    "control.jsonc": loadControlSettings,
    "operator.jsonc": loadOperatorSettings,
};
type SettingsFile = keyof typeof loaders;

/** An edit that makes an example file invalid, and the expected message. */
interface InvalidEdit {
    readonly guards: string;
    readonly file: SettingsFile;
    /** The edited file; by default the settings file. */
    readonly edited?: string;
    readonly from: string;
    readonly to: string;
    readonly message: RegExp;
}

const invalidEdits: readonly InvalidEdit[] = [
    {
        guards: "an unknown key",
        file: "entry.jsonc",
        from: "\"peerListen\"",
        to: "\"peers\"",
        message: /entry.jsonc:8: peers: expected one of the keys id, region, .*, got the key peers$/,
    },
    {
        guards: "a limit in a wrong unit",
        file: "entry.jsonc",
        from: "\"connections\": 4096",
        to: "\"headTimeoutSeconds\": 10",
        message:
            /entry.jsonc:13: limits.headTimeoutSeconds: expected the key headTimeoutMs, got the key headTimeoutSec/,
    },
    {
        guards: "a limit out of range",
        file: "entry.jsonc",
        from: "4096",
        to: "0",
        message: /entry.jsonc:13: limits.connections: expected integer from 1 to 100000 \(count\), got 0$/,
    },
    {
        guards: "a host name instead of an IP address",
        file: "entry.jsonc",
        from: "\"10.1.1.1:7400\"",
        to: "\"entry-1.foundry.example:7400\"",
        message: /entry.jsonc:7: listen: expected IPv4 address and port, such as 10.0.1.5:7400, got "entry-1.foundry/,
    },
    {
        guards: "a missing control address",
        file: "entry.jsonc",
        from: "[\"10.1.1.20:7501\", \"10.1.2.20:7501\", \"10.1.3.20:7501\"]",
        to: "[]",
        message: /entry.jsonc:10: controlAddresses: expected at least one address, got a list of 0$/,
    },
    {
        guards: "a missing secret file",
        file: "entry.jsonc",
        from: "secrets/cluster-secret",
        to: "secrets/other",
        message: /entry.jsonc:11: clusterSecretFile: expected file with .* 16 characters, got .*other, which cannot be/,
    },
    {
        guards: "an unknown log level",
        file: "entry.jsonc",
        from: "\"info\"",
        to: "\"verbose\"",
        message: /entry.jsonc:15: log.level: expected one of debug, info, warn, error, got "verbose"$/,
    },
    {
        guards: "a control VM that is not a member",
        file: "control.jsonc",
        from: "\"id\": \"control-1\",\n    \"region\"",
        to: "\"id\": \"control-4\",\n    \"region\"",
        message: /control.jsonc:3: id: expected one of the members control-1, control-2, control-3, got "control-4"$/,
    },
    {
        guards: "a duplicate member id",
        file: "control.jsonc",
        from: "\"control-3\"",
        to: "\"control-2\"",
        message: /control.jsonc:11: members\[2\].id: expected each id once, got "control-2"$/,
    },
    {
        guards: "a short token, or its value in the message",
        file: "control.jsonc",
        edited: "secrets/operator-tokens.jsonc",
        from: "asha-token-of-the-test",
        to: "asha-short",
        message:
            /operator-tokens.jsonc:1: operatorTokens\[0\].token: expected token of at least 16 .*, got \(not shown\)$/,
    },
    {
        guards: "a token in the message about its enclosing object",
        file: "control.jsonc",
        edited: "secrets/operator-tokens.jsonc",
        from: "[{\"operator\":\"asha\",\"token\":\"asha-token-of-the-test\"}]",
        to: "{\"asha\":\"asha-short\"}",
        message: /operator-tokens.jsonc:1: operatorTokens: expected list, got an object of 1$/,
    },
    {
        guards: "a missing token file",
        file: "operator.jsonc",
        from: "secrets/asha-token",
        to: "secrets/bela-token",
        message:
            /operator.jsonc:6: tokenFile: expected file with at least 16 .*, got .*bela-token, which cannot be read$/,
    },
];

function copyExamples(): string {
    const folder = mkdtempSync(path.join(tmpdir(), "figwharf-settings-"));
    cpSync("examples/settings", folder, { recursive: true });
    mkdirSync(path.join(folder, "secrets"));
    writeFileSync(path.join(folder, "secrets/cluster-secret"), `${secret}\n`);
    writeFileSync(path.join(folder, "secrets/asha-token"), "asha-token-of-the-test\n");
    const tokens = { operatorTokens: [{ operator: "asha", token: "asha-token-of-the-test" }] };
    writeFileSync(path.join(folder, "secrets/operator-tokens.jsonc"), JSON.stringify(tokens));
    return folder;
}

for (const { guards, file, edited = file, from, to, message } of invalidEdits) {
    test(`guards against ${guards}: file, line, field and expected value are reported`, t => {
        const folder = copyExamples();
        t.teardown(() => rmSync(folder, { recursive: true }));
        const editedFile = path.join(folder, edited);
        const source = readFileSync(editedFile, "utf8");
        t.true(source.includes(from), "the edit applies");
        writeFileSync(editedFile, source.replace(from, to));
        const loaded = loaders[file](path.join(folder, file));
        t.false(loaded.isValid);
        const messages = loaded.isValid ? [] : loaded.problems.map(problem => problem.message);
        t.is(messages.filter(text => message.test(text)).length, 1, messages.join("\n"));
        t.false(messages.some(text => text.includes(secret) || text.includes("asha-short")), "no secret is shown");
    });
}

test("the example settings are valid, secrets are read without the trailing newline and limits have defaults", t => {
    const folder = copyExamples();
    t.teardown(() => rmSync(folder, { recursive: true }));
    const entry = loadEntrySettings(path.join(folder, "entry.jsonc"));
    const control = loadControlSettings(path.join(folder, "control.jsonc"));
    const operator = loadOperatorSettings(path.join(folder, "operator.jsonc"));
    t.deepEqual(entry.isValid && entry.value.limits, defaultEntryLimits);
    t.is(entry.isValid && entry.value.clusterSecret, secret);
    t.is(control.isValid && control.value.dataFolder, path.join(folder, "data/control-1"));
    t.is(operator.isValid && operator.value.token, "asha-token-of-the-test");
});

test("guards against secrets in log lines: they are masked by key and within strings", t => {
    const lines: string[] = [];
    const logger = createLogger("entry", { format: "json", level: "info" }, [secret]);
    logger.settings.type = "hidden";
    logger.attachTransport({ write: (_record, line) => void lines.push(line), format: "json" });
    logger.info(`handshake with ${secret} failed`, { clusterSecret: "another-secret", nested: { token: "a-token" } });
    logger.debug("below the level");
    t.is(lines.length, 1);
    t.regex(lines[0], /handshake with/);
    t.notRegex(lines[0], new RegExp(`${secret}|another-secret|a-token`));
});
