import { Args, type Command } from "@oclif/core";
import { OperatorError } from "../../core/errors.js";
import { collectRequestLogLines } from "../explain.js";
import { exitCodeHelp, ReportingCommand } from "../operatorCommand.js";
import { createSuccessReport, type Report } from "../report.js";

export class Explain extends ReportingCommand {
    static summary = "Show the log lines about one request, oldest first.";
    static description = `Reads log files of entries; any prefix before the JSON of a line is ignored. ${exitCodeHelp}`;
    static examples = ["<%= config.bin %> explain 02443671823971c0 logs/*.log"];
    static strict = false;
    static args = {
        id: Args.string({ description: "id of the request", required: true }),
        file: Args.string({ description: "log file; several can be given", required: true }),
    };

    protected async makeReport(): Promise<Report> {
        const { args, argv } = await this.parse(Explain);
        const files = (argv as string[]).slice(1);
        const lines = collectRequestLogLines(args.id, files);
        if (lines.length === 0) {
            throw new OperatorError("request-unknown", { id: args.id, count: files.length });
        }
        const texts = lines.map(({ time, process, text, fields }) =>
            `${time} ${process} ${text} ${JSON.stringify(fields)}`
        );
        return createSuccessReport(texts, { requestId: args.id, lines });
    }
}

/** Command that shows the log lines of a request. */
export const explainCommands: Record<string, typeof Command> = { explain: Explain };
