import fs from "node:fs";
import path from "node:path";
import vm from "node:vm";

/** Length of the digest that ends a bundled program and begins its code cache. */
const digestLength = 64;

/** Returns the paths of a bundled program and its V8 code cache. */
export function getProgramFiles(folder: string): { readonly scriptFile: string; readonly cacheFile: string; } {
    return { scriptFile: path.join(folder, "figwharf.cjs"), cacheFile: path.join(folder, "figwharf.cache") };
}

/** Reads a bundled program. The bundler escapes non-ASCII characters, and V8 stores a one-byte string in half the memory. */
export function readProgram(folder: string): string {
    return fs.readFileSync(getProgramFiles(folder).scriptFile, "latin1");
}

/** Returns the digest that the bundler has written at the end of a program. */
export function getDigest(text: string): string {
    return text.slice(-digestLength);
}

/** Compiles a bundled program; `cachedData` is its V8 code cache, if there is one. */
export function compileProgram(folder: string, text: string, cachedData: Buffer | undefined): vm.Script {
    const { scriptFile } = getProgramFiles(folder);
    return new vm.Script(`(function (exports, require, module) {${text}\n})`, { filename: scriptFile, cachedData });
}

/** Runs a bundled program. V8 rejects a code cache of another version or with other flags and compiles the source. */
export function runProgram(folder: string): void {
    const { scriptFile, cacheFile } = getProgramFiles(folder);
    const text = readProgram(folder);
    const script = compileProgram(folder, text, readCodeCache(cacheFile, getDigest(text)));
    if (script.cachedDataRejected !== false) {
        console.warn(`no compiled code fits this V8 version and its flags, so startup takes longer: ${cacheFile}`);
    }
    const program = script.runInThisContext() as (...args: readonly unknown[]) => void;
    program({}, require, { filename: scriptFile });
}

/** Returns the code cache of a program. V8 would accept that of another program if both have the same length. */
function readCodeCache(cacheFile: string, digest: string): Buffer | undefined {
    const bytes = fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : Buffer.alloc(0);
    return bytes.toString("latin1", 0, digestLength) === digest ? bytes.subarray(digestLength) : undefined;
}
