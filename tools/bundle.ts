import { build, type Plugin } from "esbuild";
import { createHash } from "node:crypto";
import fs from "node:fs";
import path from "node:path";
import v8 from "node:v8";
import { compileProgram, getProgramFiles, readProgram } from "./program.cjs";

/**
 * Parts of libraries that the deployed program uses. The libraries' index files load many more modules, and loading each
 * one costs CPU time before a restarted process can serve.
 */
const libraryParts: Readonly<Record<string, string>> = {
    "undici": `module.exports = {
        Client: require("undici/lib/dispatcher/client.js"),
        buildConnector: require("undici/lib/core/connect.js"),
    };`,
    "prom-client": `module.exports = {
        Registry: require("prom-client/lib/registry.js"),
        Counter: require("prom-client/lib/counter.js"),
        Gauge: require("prom-client/lib/gauge.js"),
        Histogram: require("prom-client/lib/histogram.js"),
    };`,
    // Omits the native string decoder, whose lookup loads Node's modules for child processes.
    "msgpackr": `export { Packr } from "./node_modules/msgpackr/index.js";`,
};

const partsNamespace = "library-parts";

/** Replaces the index files of libraries with the parts that are used. */
const useLibraryParts: Plugin = {
    name: "use-library-parts",
    setup(context) {
        context.onResolve({ filter: /^(undici|prom-client|msgpackr)$/ }, ({ path: name }) => ({
            path: name,
            namespace: partsNamespace,
        }));
        context.onLoad({ filter: /.*/, namespace: partsNamespace }, ({ path: name }) => ({
            contents: libraryParts[name],
            resolveDir: process.cwd(),
        }));
    },
};

/**
 * Bundles the program into one file and writes its V8 code cache, so that startup compiles nothing. Both are replaced as a
 * whole, since processes may start meanwhile.
 */
async function bundleProgram(entryFile: string, folder: string): Promise<void> {
    const { scriptFile, cacheFile } = getProgramFiles(folder);
    const { outputFiles: [bundle] } = await build({
        entryPoints: [entryFile],
        write: false,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minifyWhitespace: true,
        plugins: [useLibraryParts],
    });
    const digest = createHash("sha256").update(bundle.contents).digest("hex");
    replaceFile(scriptFile, `${bundle.text}\n//${digest}`);
    // Functions that startup does not call are compiled too, since the first requests call them. The flag is reset
    // because V8 rejects a code cache created with flags that differ from those of the process that loads it.
    v8.setFlagsFromString("--no-lazy");
    const script = compileProgram(folder, readProgram(folder), undefined);
    v8.setFlagsFromString("--lazy");
    replaceFile(cacheFile, Buffer.concat([Buffer.from(digest), script.createCachedData()]));
}

function replaceFile(file: string, content: string | Buffer): void {
    const temporaryFile = `${file}.${process.pid}.tmp`;
    fs.writeFileSync(temporaryFile, content);
    fs.renameSync(temporaryFile, file);
}

const [entryFile, folder] = process.argv.slice(2);
await bundleProgram(path.resolve(entryFile), path.resolve(folder));
