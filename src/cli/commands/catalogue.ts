import { Args, Command, Flags } from "@oclif/core";
import {
    createDeclareOperation,
    type DeclarationsFolder,
    readDeclarationsFolder,
} from "../../catalogue/declarations.js";
import { applyDeclareOperation } from "../../catalogue/declare.js";
import { listDifferences } from "../../control/difference.js";
import { OperatorMethod } from "../../control/operatorApi.js";
import { ProblemListError } from "../../core/errors.js";
import { auditFilterFlags, toAuditFilter } from "../auditFlags.js";
import { applyChange, deriveChangeId } from "../change.js";
import {
    changeFlags,
    configFlag,
    exitCodeHelp,
    formatCommandLine,
    ReportingCommand,
    withControlClient,
} from "../operatorCommand.js";
import { createSuccessReport, formatDifferences, type Report } from "../report.js";
import { reportAudit, reportCatalogue } from "../reports.js";
import { formatCount } from "../table.js";

const folderArgument = {
    folder: Args.string({
        description: "declarations folder (services/*.jsonc, entries.jsonc, commands.jsonc)",
        required: true,
    }),
};

function readFolder(folder: string): DeclarationsFolder {
    const result = readDeclarationsFolder(folder);
    if (!result.isValid) {
        throw new ProblemListError(result.problems);
    }
    return result.folder;
}

export class CatalogueLint extends ReportingCommand {
    static summary = "Check a declarations folder.";
    static description = `Reads the folder and reports each problem with its file and line. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> catalogue lint examples/catalogue"];
    static args = folderArgument;

    protected async makeReport(): Promise<Report> {
        const { args } = await this.parse(CatalogueLint);
        const folder = readFolder(args.folder);
        const counts = [
            formatCount(folder.services.length, "service"),
            formatCount(folder.entryVms.length, "entry VM"),
            formatCount(folder.runbookCommands.length, "runbook command"),
        ];
        const json = {
            problems: [],
            services: folder.services.length,
            entryVms: folder.entryVms.length,
            runbookCommands: folder.runbookCommands.length,
        };
        return createSuccessReport([`${args.folder} is valid: ${counts.join(", ")}`], json);
    }
}

export class CataloguePlan extends ReportingCommand {
    static summary = "Show what applying a declarations folder would change.";
    static description = `Compares the folder with the current catalogue and changes nothing. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> catalogue plan examples/catalogue --config operator.jsonc"];
    static args = folderArgument;
    static flags = configFlag;

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(CataloguePlan);
        const operation = createDeclareOperation(readFolder(args.folder));
        return withControlClient(flags.config, async (client, operator) => {
            const { catalogue } = await client.show();
            const baseRevision = catalogue.revision;
            const differences = listDifferences(
                catalogue,
                applyDeclareOperation(catalogue, operation),
                Number.POSITIVE_INFINITY,
            );
            const commandArguments = [args.folder, "--base-revision", String(baseRevision)];
            const apply = formatCommandLine("catalogue:apply", commandArguments, flags.config);
            const lines = differences.length === 0 ?
                [`nothing to change at revision ${baseRevision}`] :
                [
                    `${formatCount(differences.length, "changed field")} at revision ${baseRevision}:`,
                    ...formatDifferences(differences),
                    "To apply:",
                    `  ${apply}`,
                ];
            const changeId = deriveChangeId(operator, baseRevision, operation);
            return createSuccessReport(lines, { baseRevision, changeId, differences, apply });
        });
    }
}

export class CatalogueApply extends ReportingCommand {
    static summary = "Replace all declarations of the catalogue with those of a folder.";
    static description = [
        "The base revision is the one that `catalogue plan` showed. If another change was made first, the command ends",
        `with a conflict and names that change. Running it again returns the original outcome. ${exitCodeHelp}`,
    ].join(" ");
    static examples = [
        "<%= config.bin %> catalogue apply examples/catalogue --base-revision 4 --config operator.jsonc",
    ];
    static args = folderArgument;
    static flags = {
        ...changeFlags,
        "base-revision": Flags.integer({
            helpValue: "N",
            description: "revision that the change is made against, as `catalogue plan` shows it",
            min: 0,
            required: true,
        }),
    };

    protected async makeReport(): Promise<Report> {
        const { args, flags } = await this.parse(CatalogueApply);
        const operation = createDeclareOperation(readFolder(args.folder));
        return withControlClient(flags.config, (client, operator) =>
            applyChange(client, {
                operation,
                operator,
                baseRevision: flags["base-revision"],
                changeId: flags["change-id"],
                command: formatCommandLine("catalogue:apply", [args.folder], flags.config),
            }));
    }
}

export class CatalogueShow extends ReportingCommand {
    static summary = "Show a summary of the current catalogue, or all of it with --json.";
    static description = `The catalogue is confirmed by a quorum of control VMs. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> catalogue show --config operator.jsonc --json"];
    static flags = configFlag;

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(CatalogueShow);
        return withControlClient(flags.config, reportCatalogue);
    }
}

export class CatalogueHistory extends ReportingCommand {
    static summary = "List the accepted changes of the catalogue, oldest first.";
    static description = exitCodeHelp;
    static examples = ["<%= config.bin %> catalogue history --since-revision 10 --config operator.jsonc"];
    static flags = { ...configFlag, ...auditFilterFlags };

    protected async makeReport(): Promise<Report> {
        const { flags } = await this.parse(CatalogueHistory);
        return withControlClient(
            flags.config,
            client => reportAudit(client, OperatorMethod.history, toAuditFilter(flags)),
        );
    }
}

/** Commands of the topic `catalogue`. */
export const catalogueCommands: Record<string, typeof Command> = {
    "catalogue:lint": CatalogueLint,
    "catalogue:plan": CataloguePlan,
    "catalogue:apply": CatalogueApply,
    "catalogue:show": CatalogueShow,
    "catalogue:history": CatalogueHistory,
};
