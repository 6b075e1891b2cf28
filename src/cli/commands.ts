import type { Command } from "@oclif/core";
import { catalogueCommands } from "./commands/catalogue.js";
import { daemonCommands } from "./commands/daemons.js";
import { explainCommands } from "./commands/explain.js";
import { operationCommands } from "./commands/operations.js";

/** All commands by id, for oclif. */
export const commands: Record<string, typeof Command> = {
    ...daemonCommands,
    ...catalogueCommands,
    ...operationCommands,
    ...explainCommands,
};
