import { z } from "zod";
import { commandsFileSchema, entriesFileSchema, serviceSchema } from "../src/catalogue/schema.js";
import {
    controlSettingsSchema,
    entrySettingsSchema,
    operatorSettingsSchema,
    operatorTokensSchema,
} from "../src/settings/schemas.js";

/** Path of the page in the repository. */
export const configurationPageFile = "docs/configuration.md";

interface Section {
    readonly title: string;
    readonly text: string;
    readonly schema: z.ZodType;
}

/** Properties of a JSON schema that the page shows. */
interface FieldSchema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly expected?: string;
    readonly properties?: Readonly<Record<string, FieldSchema>>;
    readonly required?: readonly string[];
    readonly items?: FieldSchema;
}

const sections: readonly Section[] = [
    {
        title: "Settings of `figwharf entry`",
        text: "Named by `--settings FILE`; `examples/settings/entry.jsonc` is an example.",
        schema: entrySettingsSchema,
    },
    {
        title: "Settings of `figwharf control`",
        text: "Named by `--settings FILE`; `examples/settings/control.jsonc` is an example.",
        schema: controlSettingsSchema,
    },
    {
        title: "Operators' tokens",
        text: "Named by `operatorTokensFile` in the settings of control; only its owner should be able to read it.",
        schema: operatorTokensSchema,
    },
    {
        title: "Settings of the operators' commands",
        text: "Named by `--config FILE` or the environment variable `FIGWHARF_CONFIG`; " +
            "`examples/settings/operator.jsonc` is an example.",
        schema: operatorSettingsSchema,
    },
    {
        title: "Declarations: `services/*.jsonc`",
        text: "One service a file; `examples/catalogue` is an example of a declarations folder.",
        schema: serviceSchema,
    },
    { title: "Declarations: `entries.jsonc`", text: "All entry VMs.", schema: entriesFileSchema },
    {
        title: "Declarations: `commands.jsonc`",
        text: "Commands of the operators' runbooks, run by `figwharf run NAME`.",
        schema: commandsFileSchema,
    },
];

/** Renders the page about all settings and declarations from their schemas. */
export function renderConfigurationPage(): string {
    const intro = [
        "# Configuration",
        "",
        "Made from the schemas by `npm run docs:configuration`; a test checks that it is current.",
        "",
        "All files are JSON with comments. A key that the schema does not know is refused. Paths of files are relative",
        "to the folder of the file that names them. A problem is reported with its file, line and field and with what",
        "was expected, and then nothing is started or sent.",
        "",
    ];
    return [...intro, ...sections.flatMap(renderSection)].join("\n");
}

function renderSection({ title, text, schema }: Section): string[] {
    const root = z.toJSONSchema(schema, { io: "input" }) as FieldSchema;
    return [
        `## ${title}`,
        "",
        text,
        "",
        "| field | value | default | meaning |",
        "| --- | --- | --- | --- |",
        ...renderFields("", root),
        "",
    ];
}

function renderFields(prefix: string, { properties = {}, required = [] }: FieldSchema): string[] {
    return Object.entries(properties).flatMap(([name, field]) => {
        const path = `${prefix}${name}`;
        const cells = [`\`${path}\``, formatValue(field), formatDefault(field, required.includes(name))];
        const row = `| ${[...cells, field.description ?? ""].map(escapeCell).join(" | ")} |`;
        return [row, ...renderFields(`${path}.`, field), ...renderFields(`${path}[].`, field.items ?? {})];
    });
}

function formatValue({ expected, type, items }: FieldSchema): string {
    if (type === "array") {
        return items?.type === "object" ? "list of objects" : `list: ${items?.expected ?? ""}`;
    }
    return expected ?? type ?? "";
}

function formatDefault(field: FieldSchema, isRequired: boolean): string {
    if (isRequired) {
        return "required";
    }
    if (field.default === undefined) {
        return "none";
    }
    return field.type === "object" ? "as below" : `\`${JSON.stringify(field.default)}\``;
}

function escapeCell(text: string): string {
    return text.replaceAll("|", "\\|");
}
