import { Args, Command, Flags } from "@oclif/core";
import { countCommandArguments, fillArguments } from "../../catalogue/operations.js";
import { OperatorMethod } from "../../control/operatorApi.js";
import { OperatorError } from "../../core/errors.js";
import { auditFilterFlags, toAuditFilter } from "../auditFlags.js";
import { applyOutcomes, type OperationContext, runOperation } from "../operations.js";
import {
    changeFlags,
    configFlag,
    exitCodeHelp,
    formatCommandLine,
    ReportingCommand,
    withControlClient,
} from "../operatorCommand.js";
import type { Report } from "../report.js";
import { reportAudit, reportEntryVms, reportStatus, reportUpstreams } from "../reports.js";

interface ChangeFlagValues {
    readonly "config": string;
    readonly "base-revision"?: number;
    readonly "change-id"?: string;
}

/** Runs an operation with the flags of its command and with the command line to use for retries. */
function runWithFlags(
    commandId: string,
    commandArguments: readonly string[],
    flags: ChangeFlagValues,
    run: (context: OperationContext) => Promise<Report>,
): Promise<Report> {
    return withControlClient(flags.config, (client, operator) =>
        run({
            client,
            operator,
            baseRevision: flags["base-revision"],
            changeId: flags["change-id"],
            command: formatCommandLine(commandId, commandArguments, flags.config),
        }));
}

const upstreamArguments = {
    service: Args.string({ description: "name of the service", required: true }),
    upstream: Args.string({ description: "id of the upstream", required: true }),
};
const entryVmArgument = { entry: Args.string({ description: "id of the entry VM", required: true }) };

export class UpstreamList extends ReportingCommand {
    static summary = "List the upstreams reported by the entries.";
    static description = exitCodeHelp;
    static examples = ["<%= config.bin %> upstream list --service orders --config operator.jsonc"];
    static flags = {
        ...configFlag,
        service: Flags.string({ helpValue: "NAME", description: "only upstreams of this service" }),
    };

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(UpstreamList);
        return withControlClient(flags.config, client => reportUpstreams(client, flags.service));
    }
}

export class UpstreamDrain extends ReportingCommand {
    static summary = "Stop sending requests to an upstream.";
    static description =
        `Requests in flight continue. The override remains until it is cleared by upstream resume. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> upstream drain orders orders-07 --config operator.jsonc"];
    static args = upstreamArguments;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(UpstreamDrain);
        const commandArguments = [args.service, args.upstream];
        return runWithFlags(
            "upstream:drain",
            commandArguments,
            flags,
            context => runOperation("upstream-drain", commandArguments, context),
        );
    }
}

export class UpstreamResume extends ReportingCommand {
    static summary = "Clear the drain override of an upstream.";
    static description = `An upstream that announces itself as draining still receives no requests. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> upstream resume orders orders-07 --config operator.jsonc"];
    static args = upstreamArguments;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(UpstreamResume);
        const commandArguments = [args.service, args.upstream];
        return runWithFlags(
            "upstream:resume",
            commandArguments,
            flags,
            context => runOperation("upstream-resume", commandArguments, context),
        );
    }
}

export class EntryVmList extends ReportingCommand {
    static summary = "List the entry VMs of the catalogue with the status each last reported to control.";
    static description = exitCodeHelp;
    static examples = ["<%= config.bin %> entry-vm list --config operator.jsonc"];
    static flags = configFlag;

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(EntryVmList);
        return withControlClient(flags.config, reportEntryVms);
    }
}

export class EntryVmDrain extends ReportingCommand {
    static summary = "Stop sending callers to an entry VM.";
    static description = [
        "It is removed from the address lists that callers fetch, and still serves callers that have an older list.",
        `To stop the process, send it SIGTERM: it completes its requests first. ${exitCodeHelp}`,
    ].join(" ");
    static examples = ["<%= config.bin %> entry-vm drain qc-east-entry-01 --config operator.jsonc"];
    static args = entryVmArgument;
    static flags = changeFlags;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(EntryVmDrain);
        const commandArguments = [args.entry];
        return runWithFlags(
            "entry-vm:drain",
            commandArguments,
            flags,
            context => runOperation("entry-vm-drain", commandArguments, context),
        );
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
        const commandArguments = [args.entry];
        return runWithFlags(
            "entry-vm:resume",
            commandArguments,
            flags,
            context => runOperation("entry-vm-resume", commandArguments, context),
        );
    }
}

export class Status extends ReportingCommand {
    static summary = "Show control VMs, entries, the cost of probing, and problems.";
    static description = `Also works without a quorum, and reports that. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> status --config operator.jsonc"];
    static flags = configFlag;

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(Status);
        return withControlClient(flags.config, reportStatus);
    }
}

export class Audit extends ReportingCommand {
    static summary = "List the audit trail: all changes and their outcomes, oldest first.";
    static description = exitCodeHelp;
    static examples = [
        "<%= config.bin %> audit --operator asha --outcome conflict --config operator.jsonc",
    ];
    static flags = {
        ...configFlag,
        ...auditFilterFlags,
        outcome: Flags.option({ options: applyOutcomes, description: "only changes with this outcome" })(),
    };

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(Audit);
        const filter = { ...toAuditFilter(flags), outcome: flags.outcome };
        return withControlClient(flags.config, client => reportAudit(client, OperatorMethod.audit, filter));
    }
}

export class Run extends ReportingCommand {
    static summary = "Run a runbook command.";
    static description = `The catalogue maps the name to an operation. ${exitCodeHelp}`;
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

/** Commands of the topics `upstream` and `entry-vm`, and `status`, `audit` and `run`. */
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
