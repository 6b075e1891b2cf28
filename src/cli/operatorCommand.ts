import { Command, Flags, type Interfaces } from "@oclif/core";
import { FigwharfError, OperatorError, ProblemListError } from "../core/errors.js";
import { loadOperatorSettings } from "../settings/load.js";
import { ControlClient } from "./controlClient.js";
import { ExitCode } from "./exitCode.js";
import type { Report } from "./report.js";

/** List of exit codes, appended to the help of each command. */
export const exitCodeHelp = [
    "Exit codes: 0 done or accepted; 1 unexpected error; 2 invalid arguments, settings or declarations; 3 conflict;",
    "4 rejected; 5 pending; 6 unknown; 7 no control VM could answer; 8 token refused.",
].join(" ");

/** Flag for the operator's settings file. */
export const configFlag = {
    config: Flags.string({
        helpValue: "FILE",
        description: "settings of the operator (control addresses, token file)",
        env: "FIGWHARF_CONFIG",
        required: true,
    }),
};

/** Flags of commands that change the catalogue. */
export const changeFlags = {
    ...configFlag,
    "base-revision": Flags.integer({
        helpValue: "N",
        description: "revision that the change is made against; the current one by default",
        min: 0,
    }),
    "change-id": Flags.string({
        helpValue: "ID",
        description: "id of the change; derived from its content and the base revision by default",
    }),
};

/** Command that reports its result as text or, with `--json`, as JSON, and maps errors to exit codes. */
export abstract class ReportingCommand extends Command {
    static enableJsonFlag = true;

    async run(): Promise<unknown> {
        try {
            return this.show(await this.makeReport());
        }
        catch (error) {
            if (error instanceof FigwharfError) {
                return this.show(reportError(error), true);
            }
            throw error;
        }
    }

    /** Executes the command. A thrown FigwharfError is reported and determines the exit code. */
    protected abstract makeReport(): Promise<Report>;

    private show(report: Report, isError = false): unknown {
        for (const line of report.lines) {
            if (isError) {
                this.logToStderr(line);
            }
            else {
                this.log(line);
            }
        }
        process.exitCode = report.exitCode;
        return report.json;
    }
}

/** Reads the operator's settings, runs an action with a client of the control VMs and closes the client. */
export async function withControlClient<Result>(
    configFile: string,
    action: (client: ControlClient, operator: string) => Promise<Result>,
): Promise<Result> {
    const settings = loadOperatorSettings(configFile);
    if (!settings.isValid) {
        throw new ProblemListError(settings.problems);
    }
    const client = new ControlClient(settings.value);
    try {
        return await action(client, settings.value.operator);
    }
    finally {
        await client.close();
    }
}

/** Returns the shell command line that runs a command again. */
export function formatCommandLine(id: string, commandArguments: readonly string[], configFile: string): string {
    return ["figwharf", ...id.split(":"), ...commandArguments, "--config", configFile].map(quoteForShell).join(" ");
}

/** Parsed flags of a command class. */
export type FlagsOf<Class extends typeof Command> = Interfaces.InferredFlags<Class["flags"]>;

function quoteForShell(argument: string): string {
    return /^[\w@%+=:,./-]+$/.test(argument) ? argument : `'${argument.replaceAll("'", "'\\''")}'`;
}

function reportError(error: FigwharfError): Report {
    if (error instanceof ProblemListError) {
        const lines = error.problems.map(problem => problem.message);
        const problems = error.problems.map(({ code, message, details }) => ({ code, message, ...details }));
        return { lines, json: { error: error.code, problems }, exitCode: ExitCode.invalid };
    }
    return {
        lines: [error.message],
        json: { error: error.code, message: error.message },
        exitCode: exitCodeOfError(error),
    };
}

function exitCodeOfError(error: FigwharfError): ExitCode {
    if (!(error instanceof OperatorError)) {
        return ExitCode.failed;
    }
    switch (error.code) {
        case "control-unavailable":
            return ExitCode.unavailable;
        case "operator-unauthorized":
            return ExitCode.unauthorized;
        default:
            return ExitCode.invalid;
    }
}
