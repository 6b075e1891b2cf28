import test from "ava";
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { createDeclareOperation, readDeclarationsFolder } from "./declarations.js";
import { applyDeclareOperation } from "./declare.js";
import { emptyCatalogue } from "./model.js";

const exampleFolder = "examples/catalogue";

/** An edit that makes the example folder invalid, and the expected message. */
interface InvalidEdit {
    readonly guards: string;
    readonly file: string;
    readonly from: string;
    readonly to: string;
    readonly message: string;
}

const invalidEdits: readonly InvalidEdit[] = [
    {
        guards: "an unknown key",
        file: "services/orders.jsonc",
        from: "\"rampMs\"",
        to: "\"ramping\"",
        message: "services/orders.jsonc:21: ramping: expected one of the keys name, owner, class, limits, policy, " +
            "measuringBudgetMsPerSecond, probeCostMs, retryRatio, hedging, idempotentMethods, rampMs, " +
            "got the key ramping",
    },
    {
        guards: "a key with a wrong unit",
        file: "services/orders.jsonc",
        from: "\"defaultDeadlineMs\"",
        to: "\"defaultDeadlineSeconds\"",
        message: "services/orders.jsonc:13: limits.defaultDeadlineSeconds: expected the key defaultDeadlineMs, " +
            "got the key defaultDeadlineSeconds",
    },
    {
        guards: "a unit in a value",
        file: "services/orders.jsonc",
        from: "\"defaultDeadlineMs\": 5000",
        to: "\"defaultDeadlineMs\": \"5s\"",
        message: "services/orders.jsonc:13: limits.defaultDeadlineMs: expected integer from 1 to 600000 " +
            "(milliseconds), got \"5s\"",
    },
    {
        guards: "a limit out of range",
        file: "services/orders.jsonc",
        from: "\"retryRatio\": 0.1",
        to: "\"retryRatio\": 0.5",
        message: "services/orders.jsonc:17: retryRatio: expected number from 0 to 0.1 (ratio), got 0.5",
    },
    {
        guards: "a missing required key",
        file: "services/orders.jsonc",
        from: "\"owner\": \"Foundry stock desk\",",
        to: "",
        message: "services/orders.jsonc:2: owner: expected text that is not empty, got nothing",
    },
    {
        guards: "a duplicate key",
        file: "services/orders.jsonc",
        from: "\"retryRatio\": 0.1",
        to: "\"rampMs\": 1",
        message: "services/orders.jsonc:21: rampMs: expected each key once, got a second value",
    },
    {
        guards: "an incomplete document",
        file: "services/orders.jsonc",
        from: "\"rampMs\": 2000\n}",
        to: "\"rampMs\": 2000\n",
        message: "services/orders.jsonc:23: (document): expected JSON with comments, got CloseBraceExpected",
    },
    {
        guards: "a duplicate service name",
        file: "services/paintdesk.jsonc",
        from: "\"name\": \"paintdesk\"",
        to: "\"name\": \"orders\"",
        message: "services/paintdesk.jsonc:3: name: expected each name once, got a second \"orders\"",
    },
    {
        guards: "an address without a port",
        file: "entries.jsonc",
        from: "10.1.1.1:7400",
        to: "10.1.1.1",
        message: "entries.jsonc:4: entryVms[0].address: expected IPv4 address and port, such as 10.0.1.5:7400, " +
            "got \"10.1.1.1\"",
    },
    {
        guards: "an address that two VMs share",
        file: "entries.jsonc",
        from: "10.1.2.1:7400",
        to: "10.1.1.1:7400",
        message: "entries.jsonc:5: entryVms[1].address: expected an address that no other field has, " +
            "got 10.1.1.1:7400, which is also address of qc-east-entry-01",
    },
    {
        guards: "a duplicate entry id",
        file: "entries.jsonc",
        from: "\"qc-east-entry-02\"",
        to: "\"qc-east-entry-01\"",
        message: "entries.jsonc:5: entryVms[1].id: expected each id once, got a second \"qc-east-entry-01\"",
    },
    {
        guards: "a runbook command for a service that does not exist",
        file: "commands.jsonc",
        from: "[\"orders\", \"{1}\"]",
        to: "[\"order\", \"{1}\"]",
        message: "commands.jsonc:6: runbookCommands[2].arguments[0]: expected a known service " +
            "(moulds, orders, paintdesk, sitebook), got \"order\"",
    },
    {
        guards: "a runbook command for an operation that does not exist",
        file: "commands.jsonc",
        from: "\"entry-vm-drain\"",
        to: "\"entry-vm-delete\"",
        message: "commands.jsonc:7: runbookCommands[3].operation: expected a known operation (upstream-list, " +
            "upstream-drain, upstream-resume, entry-vm-list, entry-vm-drain, entry-vm-resume, service-limit, status, " +
            "audit), got \"entry-vm-delete\"",
    },
    {
        guards: "a runbook command with too few arguments",
        file: "commands.jsonc",
        from: "[\"{1}\", \"{2}\"]",
        to: "[\"{1}\"]",
        message: "commands.jsonc:4: runbookCommands[0].arguments: expected 2 arguments of upstream-drain, service, " +
            "upstream, got 1",
    },
    {
        guards: "a runbook command that skips an argument",
        file: "commands.jsonc",
        from: "[\"{1}\", \"{2}\"]",
        to: "[\"{1}\", \"{3}\"]",
        message: "commands.jsonc:4: runbookCommands[0].arguments: expected a use of {2}, got [\"{1}\",\"{3}\"]",
    },
];

function copyExample(): string {
    const folder = mkdtempSync(path.join(tmpdir(), "figwharf-declarations-"));
    cpSync(exampleFolder, folder, { recursive: true });
    return folder;
}

function listMessages(folder: string): string[] {
    const result = readDeclarationsFolder(folder);
    return result.isValid ? [] : result.problems.map(problem => problem.message.replace(`${folder}/`, ""));
}

test("the example folder is valid", t => {
    t.deepEqual(listMessages(exampleFolder), []);
});

for (const { guards, file, from, to, message } of invalidEdits) {
    test(`guards against ${guards}: file, line, field and expected value are reported`, t => {
        const folder = copyExample();
        t.teardown(() => rmSync(folder, { recursive: true }));
        const source = readFileSync(path.join(folder, file), "utf8");
        t.true(source.includes(from), "the edit applies");
        writeFileSync(path.join(folder, file), source.replace(from, to));
        t.deepEqual(listMessages(folder), [message]);
    });
}

for (const file of ["services", "entries.jsonc", "commands.jsonc"]) {
    test(`guards against applying an incomplete folder: a missing ${file} is reported`, t => {
        const folder = copyExample();
        t.teardown(() => rmSync(folder, { recursive: true }));
        rmSync(path.join(folder, file), { recursive: true });
        t.deepEqual(listMessages(folder), [`${file}: the file does not exist or cannot be read`]);
    });
}

test("guards against resuming a drained entry VM by applying a folder that does not declare its state", t => {
    const result = readDeclarationsFolder(exampleFolder);
    if (!result.isValid) {
        return t.fail();
    }
    const operation = createDeclareOperation(result.folder);
    const [firstEntryVm] = operation.declarations.entryVms;
    const base = {
        ...emptyCatalogue,
        entryVms: { [firstEntryVm.id]: { ...firstEntryVm, state: "draining" as const } },
    };
    t.is(applyDeclareOperation(emptyCatalogue, operation).entryVms[firstEntryVm.id].state, "active");
    t.is(applyDeclareOperation(base, operation).entryVms[firstEntryVm.id].state, "draining");
    t.is(applyDeclareOperation(base, { ...operation, keepStateOf: [] }).entryVms[firstEntryVm.id].state, "active");
});
