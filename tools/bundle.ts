import { build, type Plugin } from "esbuild";
import fs from "node:fs";
import path from "node:path";
import v8 from "node:v8";
import { compileProgram, programFiles } from "./program.cjs";

/**
 * Parts of libraries that the deployed program uses. Their index files load much more, and a process that restarts pays
 * for each module with processor time before it can serve.
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
    // Without the native decoder of strings: looking for it loads Node's modules for child processes.
    "msgpackr": `export { Packr } from "./node_modules/msgpackr/index.js";`,
};

const partsNamespace = "library-parts";

/** Replaces the index files of libraries by the parts that are used. */
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

/** Writes the program as one file, and the code that V8 makes of it, so that a start compiles nothing. */
async function bundleProgram(entryFile: string, folder: string): Promise<void> {
    const { scriptFile, cacheFile } = programFiles(folder);
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
    // Functions that a start does not call are compiled too, since the first requests call them. The flag is taken back
    // because V8 refuses code that was made with other flags than those of the process that loads it.
    v8.setFlagsFromString("--no-lazy");
    const script = compileProgram(folder, undefined);
    v8.setFlagsFromString("--lazy");
    fs.writeFileSync(cacheFile, script.createCachedData());
}

const [entryFile, folder] = process.argv.slice(2);
await bundleProgram(path.resolve(entryFile), path.resolve(folder));
