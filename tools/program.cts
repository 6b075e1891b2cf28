import fs from "node:fs";
import path from "node:path";
import vm from "node:vm";

/** Returns the paths of a bundled program and its V8 code cache. */
export function getProgramFiles(folder: string): { readonly scriptFile: string; readonly cacheFile: string; } {
    return { scriptFile: path.join(folder, "figwharf.cjs"), cacheFile: path.join(folder, "figwharf.cache") };
}

/** Compiles a bundled program; `cachedData` is its V8 code cache, if there is one. */
export function compileProgram(folder: string, cachedData: Buffer | undefined): vm.Script {
    const { scriptFile } = getProgramFiles(folder);
    // The bundler escapes non-ASCII characters, and V8 stores a one-byte string in half the memory.
    const text = fs.readFileSync(scriptFile, "latin1");
    return new vm.Script(`(function (exports, require, module) {${text}\n})`, { filename: scriptFile, cachedData });
}

/** Runs a bundled program. V8 rejects a code cache of another version or with other flags and compiles the source. */
export function runProgram(folder: string): void {
    const { scriptFile, cacheFile } = getProgramFiles(folder);
    const script = compileProgram(folder, fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined);
    if (script.cachedDataRejected !== false) {
        console.warn(`no compiled code fits this V8 version and its flags, so startup takes longer: ${cacheFile}`);
    }
    const program = script.runInThisContext() as (...args: readonly unknown[]) => void;
    program({}, require, { filename: scriptFile });
}
