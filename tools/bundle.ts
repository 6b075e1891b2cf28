import { build, type Plugin } from "esbuild";
import fs from "node:fs";
import path from "node:path";
import v8 from "node:v8";
import { compileProgram, getProgramFiles } from "./program.cjs";

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

/** Bundles the program into one file and writes its V8 code cache, so that startup compiles nothing. */
async function bundleProgram(entryFile: string, folder: string): Promise<void> {
    const { scriptFile, cacheFile } = getProgramFiles(folder);
    await build({
        entryPoints: [entryFile],
        outfile: scriptFile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minifyWhitespace: true,
        plugins: [useLibraryParts],
    });
    // Functions that startup does not call are compiled too, since the first requests call them. The flag is reset
    // because V8 rejects a code cache created with flags that differ from those of the process that loads it.
    v8.setFlagsFromString("--no-lazy");
    const script = compileProgram(folder, undefined);
    v8.setFlagsFromString("--lazy");
    fs.writeFileSync(cacheFile, script.createCachedData());
}

const [entryFile, folder] = process.argv.slice(2);
await bundleProgram(path.resolve(entryFile), path.resolve(folder));
