import test from "ava";
import { spawnSync } from "node:child_process";
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

const toolsFolder = fileURLToPath(new URL("../tools", import.meta.url));
const startFile = path.join(toolsFolder, "start.cjs");

function startWithoutSettings(file: string): ReturnType<typeof spawnSync> {
    return spawnSync(process.execPath, [file], { env: { PATH: process.env.PATH }, encoding: "utf8" });
}

test("guards against startup that compiles the program: V8 accepts the code cache of the build", t => {
    const { stdout, stderr, status } = startWithoutSettings(startFile);
    t.is(String(stderr), "", "the code cache was accepted");
    t.regex(String(stdout), /the process cannot start/, "the program ran without settings");
    t.is(status, 1);
});

test("guards against failed startup with another V8 version: a rejected code cache is reported", t => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-bundle-"));
    fs.cpSync(toolsFolder, folder, { recursive: true });
    fs.writeFileSync(path.join(folder, "figwharf.cache"), "made by another version");
    const { stdout, stderr } = startWithoutSettings(path.join(folder, "start.cjs"));
    t.regex(String(stderr), /no compiled code fits/);
    t.regex(String(stdout), /the process cannot start/);
    fs.rmSync(folder, { recursive: true });
});

test("guards against a process that starts while another build writes the program, and reads a part of each", t => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-bundle-"));
    fs.cpSync(toolsFolder, folder, { recursive: true });
    const scriptFile = path.join(folder, "figwharf.cjs");
    const before = fs.readFileSync(scriptFile);
    const handle = fs.openSync(scriptFile, "r");
    const bundler = path.join(toolsFolder, "bundle.js");
    const mainFile = path.join(toolsFolder, "../platform/main.js");
    const { status } = spawnSync(process.execPath, [bundler, mainFile, folder], { encoding: "utf8" });
    t.is(status, 0);
    t.not(
        fs.statSync(scriptFile).ino,
        fs.fstatSync(handle).ino,
        "the build does not write to a file that is being read",
    );
    t.true(fs.readFileSync(handle).equals(before));
    fs.closeSync(handle);
    fs.rmSync(folder, { recursive: true });
});

test("guards against compiled code of another build that V8 accepts, since both programs have the same length", t => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "figwharf-bundle-"));
    fs.cpSync(toolsFolder, folder, { recursive: true });
    const scriptFile = path.join(folder, "figwharf.cjs");
    const text = fs.readFileSync(scriptFile, "latin1");
    const lastDigit = text.at(-1) === "0" ? "1" : "0";
    fs.writeFileSync(
        scriptFile,
        text.slice(0, -1).replace("the process cannot start", "the process cannot begin") + lastDigit,
        "latin1",
    );
    t.is(fs.statSync(scriptFile).size, text.length, "the length stays the same");
    const { stdout, stderr } = startWithoutSettings(path.join(folder, "start.cjs"));
    t.regex(String(stderr), /no compiled code fits/);
    t.regex(String(stdout), /the process cannot begin/);
    fs.rmSync(folder, { recursive: true });
});

test("guards against startup that loads whole libraries", t => {
    const text = fs.readFileSync(path.join(toolsFolder, "figwharf.cjs"), "utf8");
    // Strings from undici's server-sent events, prom-client's cluster support and msgpackr's native decoder.
    for (const marker of ["text/event-stream", "prom-client:getMetricsReq", "msgpackr-extract"]) {
        t.false(text.includes(marker), `${marker} is not in the program`);
    }
});
