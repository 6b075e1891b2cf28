import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import fs from "node:fs";
import path from "node:path";

// Formats the source files that dprint.json names, or with --check lists those that are not formatted. The formatter runs
// as WebAssembly, so it is the same on all architectures.

const { includes, typescript, ...globalConfig } = JSON.parse(
    fs.readFileSync("dprint.json", "utf8"),
);
const isCheck = process.argv.includes("--check");
const formatter = createFromBuffer(fs.readFileSync(getPath()));
formatter.setConfig(globalConfig, typescript);

const problems = formatter.getConfigDiagnostics();
problems.forEach(({ propertyName, message }) => console.error(`dprint.json: ${propertyName}: ${message}`));

const unformatted = includes.flatMap(listFiles).filter(filePath => {
    const fileText = fs.readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted !== fileText && !isCheck) {
        fs.writeFileSync(filePath, formatted);
    }
    return formatted !== fileText;
});
unformatted.forEach(filePath => console.log(`${isCheck ? "not formatted" : "formatted"}: ${filePath}`));
process.exitCode = problems.length > 0 || (isCheck && unformatted.length > 0) ? 1 : 0;

// Lists the files of a pattern: a folder with all its subfolders, a folder without them, or a single file.
function listFiles(pattern) {
    if (!pattern.includes("*")) {
        return [pattern];
    }
    const folder = pattern.slice(0, pattern.indexOf("/"));
    const extension = path.extname(pattern);
    return fs.readdirSync(folder, { recursive: pattern.includes("**") }).map(String)
        .filter(name => name.endsWith(extension)).map(name => path.join(folder, name)).sort();
}
