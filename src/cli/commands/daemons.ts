import { Command, Flags } from "@oclif/core";
import { ProblemListError } from "../../core/errors.js";
import { loadControlSettings, loadEntrySettings, type SettingsResult } from "../../settings/load.js";
import { runControl, runEntry } from "../../wiring.js";
import { ExitCode } from "../exitCode.js";

const settingsFlag = {
    settings: Flags.string({
        helpValue: "FILE",
        description: "settings of the daemon (JSON with comments)",
        required: true,
    }),
};
const daemonHelp =
    "Exit codes: 0 stopped by SIGTERM; 1 failure at startup or later; 2 invalid settings, nothing started.";

/** Command that runs a daemon until a signal stops it. */
abstract class DaemonCommand extends Command {
    async run(): Promise<void> {
        try {
            await this.start();
        }
        catch (error) {
            if (!(error instanceof ProblemListError)) {
                throw error;
            }
            error.problems.forEach(problem => this.logToStderr(problem.message));
            process.exitCode = ExitCode.invalid;
        }
    }

    protected abstract start(): Promise<void>;
}

function requireValid<Value>(loaded: SettingsResult<Value>): Value {
    if (!loaded.isValid) {
        throw new ProblemListError(loaded.problems);
    }
    return loaded.value;
}

export class Entry extends DaemonCommand {
    static summary = "Run an entry: accept requests of callers and route them to upstreams.";
    static description = `SIGTERM drains the entry; requests in flight are completed. ${daemonHelp}`;
    static examples = ["<%= config.bin %> entry --settings /etc/figwharf/entry.jsonc"];
    static flags = settingsFlag;

    protected async start(): Promise<void> {
        const { flags } = await this.parse(Entry);
        await runEntry(requireValid(loadEntrySettings(flags.settings)));
    }
}

export class Control extends DaemonCommand {
    static summary = "Run a control VM: replicate the catalogue with the other control VMs.";
    static description =
        `SIGTERM stops it immediately; changes remain possible with a majority of control VMs. ${daemonHelp}`;
    static examples = ["<%= config.bin %> control --settings /etc/figwharf/control.jsonc"];
    static flags = settingsFlag;

    protected async start(): Promise<void> {
        const { flags } = await this.parse(Control);
        await runControl(requireValid(loadControlSettings(flags.settings)));
    }
}

/** Commands that run daemons. */
export const daemonCommands: Record<string, typeof Command> = {
    control: Control,
    entry: Entry,
};
