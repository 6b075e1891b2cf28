import fs from "node:fs";
import path from "node:path";
import vm from "node:vm";

/** Files of a bundled program in its folder. */
export function programFiles(folder: string): { readonly scriptFile: string; readonly cacheFile: string; } {
    return { scriptFile: path.join(folder, "figwharf.cjs"), cacheFile: path.join(folder, "figwharf.cache") };
}

/** Compiles a bundled program; `cachedData` is the code that V8 made of it, if there is any. */
export function compileProgram(folder: string, cachedData: Buffer | undefined): vm.Script {
    const { scriptFile } = programFiles(folder);
    // The bundler escapes what is not ASCII, and V8 keeps a text of single bytes in half the memory.
    const text = fs.readFileSync(scriptFile, "latin1");
    return new vm.Script(`(function (exports, require, module) {${text}\n})`, { filename: scriptFile, cachedData });
}

/** Runs a bundled program. V8 refuses code that was made by another version or with other flags, and compiles the text. */
export function runProgram(folder: string): void {
    const { scriptFile, cacheFile } = programFiles(folder);
    const script = compileProgram(folder, fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined);
    if (script.cachedDataRejected !== false) {
        console.warn(`no compiled code fits, so the start takes longer: ${cacheFile}`);
    }
    const program = script.runInThisContext() as (...parts: readonly unknown[]) => void;
    program({}, require, { filename: scriptFile });
}
