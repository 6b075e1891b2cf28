import { Args, Command, Flags } from "@oclif/core";
import { countCommandArguments, fillArguments } from "../../catalogue/operations.js";
import { OperatorMethod } from "../../control/operatorApi.js";
import { OperatorError } from "../../core/errors.js";
import { auditFilterFlags, toAuditFilter } from "../auditFlags.js";
import { applyOutcomes, type OperationContext, runOperation } from "../operations.js";
import {
    changeFlags,
    commandLine,
    configFlag,
    exitCodeHelp,
    ReportingCommand,
    withControl,
} from "../operatorCommand.js";
import type { Report } from "../report.js";
import { reportAudit, reportEntryVms, reportStatus, reportUpstreams } from "../reports.js";

interface ChangeFlagValues {
    readonly "config": string;
    readonly "base-revision"?: number;
    readonly "change-id"?: string;
}

/** Runs an operation under the command that an operator typed. */
function runWithFlags(
    commandId: string,
    words: readonly string[],
    flags: ChangeFlagValues,
    run: (context: OperationContext) => Promise<Report>,
): Promise<Report> {
    return withControl(flags.config, (client, operator) =>
        run({
            client,
            operator,
            baseRevision: flags["base-revision"],
            changeId: flags["change-id"],
            command: commandLine(commandId, words, flags.config),
        }));
}

const upstreamArguments = {
    service: Args.string({ description: "name of the service", required: true }),
    upstream: Args.string({ description: "id of the upstream", required: true }),
};
const entryVmArgument = { entry: Args.string({ description: "id of the entry VM", required: true }) };

export class UpstreamList extends ReportingCommand {
    static summary = "List upstreams as the entries report them.";
    static description = exitCodeHelp;
    static examples = ["<%= config.bin %> upstream list --service orders --config operator.jsonc"];
    static flags = {
        ...configFlag,
        service: Flags.string({ helpValue: "NAME", description: "only upstreams of this service" }),
    };

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(UpstreamList);
        return withControl(flags.config, client => reportUpstreams(client, flags.service));
    }
}

export class UpstreamDrain extends ReportingCommand {
    static summary = "Give an upstream no new work.";
    static description = `Requests in flight go on. The override stays until it is resumed. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> upstream drain orders orders-07 --config operator.jsonc"];
    static args = upstreamArguments;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(UpstreamDrain);
        const words = [args.service, args.upstream];
        return runWithFlags("upstream:drain", words, flags, context => runOperation("upstream-drain", words, context));
    }
}

export class UpstreamResume extends ReportingCommand {
    static summary = "Take back the drain of an upstream.";
    static description = `An upstream that itself announces that it drains gets no work. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> upstream resume orders orders-07 --config operator.jsonc"];
    static args = upstreamArguments;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(UpstreamResume);
        const words = [args.service, args.upstream];
        return runWithFlags(
            "upstream:resume",
            words,
            flags,
            context => runOperation("upstream-resume", words, context),
        );
    }
}

export class EntryVmList extends ReportingCommand {
    static summary = "List the entry VMs of the catalogue with what control last heard of them.";
    static description = exitCodeHelp;
    static examples = ["<%= config.bin %> entry-vm list --config operator.jsonc"];
    static flags = configFlag;

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(EntryVmList);
        return withControl(flags.config, reportEntryVms);
    }
}

export class EntryVmDrain extends ReportingCommand {
    static summary = "Stop sending callers to an entry VM.";
    static description = [
        "It is no longer listed in address answers and goes on serving callers that hold an older answer.",
        `To end the process, send it SIGTERM: it finishes its requests first. ${exitCodeHelp}`,
    ].join(" ");
    static examples = ["<%= config.bin %> entry-vm drain qc-east-entry-01 --config operator.jsonc"];
    static args = entryVmArgument;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(EntryVmDrain);
        const words = [args.entry];
        return runWithFlags("entry-vm:drain", words, flags, context => runOperation("entry-vm-drain", words, context));
    }
}

export class EntryVmResume extends ReportingCommand {
    static summary = "Send callers to an entry VM again.";
    static description = exitCodeHelp;
    static examples = ["<%= config.bin %> entry-vm resume qc-east-entry-01 --config operator.jsonc"];
    static args = entryVmArgument;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(EntryVmResume);
        const words = [args.entry];
        return runWithFlags(
            "entry-vm:resume",
            words,
            flags,
            context => runOperation("entry-vm-resume", words, context),
        );
    }
}

export class Status extends ReportingCommand {
    static summary = "Show control VMs, entries, what measuring costs, and problems.";
    static description = `Works without a quorum and then says so. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> status --config operator.jsonc"];
    static flags = configFlag;

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(Status);
        return withControl(flags.config, reportStatus);
    }
}

export class Audit extends ReportingCommand {
    static summary = "List the audit trail: all changes and how they ended, oldest first.";
    static description = exitCodeHelp;
    static examples = [
        "<%= config.bin %> audit --operator asha --outcome conflict --config operator.jsonc",
    ];
    static flags = {
        ...configFlag,
        ...auditFilterFlags,
        outcome: Flags.option({ options: applyOutcomes, description: "only changes that ended so" })(),
    };

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(Audit);
        const filter = { ...toAuditFilter(flags), outcome: flags.outcome };
        return withControl(flags.config, client => reportAudit(client, OperatorMethod.audit, filter));
    }
}

export class Run extends ReportingCommand {
    static summary = "Run a command of the operators' runbooks.";
    static description = `The catalogue says which operation the name stands for. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> run bench-out orders orders-07 --config operator.jsonc"];
    static args = { name: Args.string({ description: "name of the runbook command", required: true }) };
    static strict = false;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { argv, flags } = await this.parse(Run);
        const [name, ...values] = argv as string[];
        return runWithFlags("run", [name, ...values], flags, context => runRunbookCommand(name, values, context));
    }
}

async function runRunbookCommand(name: string, values: readonly string[], context: OperationContext): Promise<Report> {
    const { catalogue } = await context.client.show();
    const commands = catalogue.runbookCommands;
    if (!Object.hasOwn(commands, name)) {
        const known = Object.keys(commands).join(", ") || "none";
        throw new OperatorError("runbook-command-unknown", { name, known });
    }
    const { operation, arguments: templates } = commands[name];
    const expected = countCommandArguments(templates);
    if (values.length !== expected) {
        throw new OperatorError("runbook-arguments", { name, expected, actual: values.length });
    }
    return runOperation(operation, fillArguments(templates, values), context);
}

/** Commands of the topics `upstream` and `entry-vm`, and those without a topic. */
export const operationCommands: Record<string, typeof Command> = {
    "upstream:list": UpstreamList,
    "upstream:drain": UpstreamDrain,
    "upstream:resume": UpstreamResume,
    "entry-vm:list": EntryVmList,
    "entry-vm:drain": EntryVmDrain,
    "entry-vm:resume": EntryVmResume,
    "status": Status,
    "audit": Audit,
    "run": Run,
};
