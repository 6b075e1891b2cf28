import fs from "node:fs";
import { Deployment, makeConfiguration, nowMs, runCase, sleep } from "../lib-2/deployment.mjs";

const folder = new URL(".", import.meta.url).pathname;
const host = "shop.example";
const contactWindowMs = 3000;
const recoveryMs = 15_000;
const restartDelayMs = 500;
/** big_config of grown/flg-figwharf-grown.toml: 1400 routes. */
const grownRoutes = 1400;
const maxChanges = 600;
const changingMs = 78_000;
const endsOfFault = 3;

function makeVersion(number, routeCount) {
    const rules = Array.from({ length: routeCount }, (_value, index) => ({
        name: `r-${index}x${(index * 7919).toString(36)}`,
        routeType: index % 2 === 0 ? "idempotent" : "non_idempotent",
        targetLatency: "800ms",
        priority: index % 3,
        match: { pathPrefix: `/p${(index * 104729).toString(36)}/` },
        // Each change gives one route another timeout.
        action: {
            service: index % 2 === 0 ? "orders" : "moulds",
            timeout: `${index === number % routeCount ? 1500 + number : 1500}ms`,
            maxAttempts: 2,
        },
    }));
    return makeConfiguration({ version: format(number), host, services: ["orders", "moulds"], rules });
}

const format = number => number.toString(16).padStart(8, "0");

await runCase(folder, async ({ record, hasTrouble, keep }) => {
    const deployment = keep(new Deployment(record, { entries: 1 }));
    await deployment.start();
    let isClosing = false;
    const ends = new Map(deployment.controls.map(control => [control, 0]));
    /** The platform starts a process that has ended again after a short delay. */
    const supervise = control => {
        control.child.once("exit", async (code, signal) => {
            if (isClosing) {
                return;
            }
            ends.set(control, ends.get(control) + 1);
            const reason = control.lines.find(line => /FATAL ERROR|heap|Error/.test(line)) ?? "";
            record.say(`${control.name} has ended by itself: code ${code}, signal ${signal}; ${reason.slice(0, 120)}`);
            await sleep(restartDelayMs);
            if (!isClosing) {
                deployment.startMachine(control);
                supervise(control);
            }
        });
    };
    keep({ close: () => isClosing = true });
    deployment.controls.forEach(supervise);
    const routeCount = hasTrouble ? grownRoutes : 4;
    const countFaulty = () => [...ends.values()].filter(count => count >= endsOfFault).length;
    const endMs = nowMs() + changingMs;
    let acknowledged = 0;
    let unclear = 0;
    while (acknowledged < maxChanges && nowMs() < endMs && countFaulty() < 2) {
        const number = acknowledged + 1;
        const isDone = await change(number);
        if (!isDone) {
            unclear = number;
            break;
        }
        acknowledged = number;
        if (number % 50 === 0) {
            record.say(`${number} changes are acknowledged; control VMs use ${readMemory()} MB`);
        }
    }
    record.say(`${acknowledged} changes of ${routeCount} routes were acknowledged` + (unclear === 0 ? "" : `; ${unclear} was not`));

    /** Sends a change to one control VM after the other until it is acknowledged or the time is over. */
    async function change(number) {
        const body = Buffer.from(JSON.stringify(makeVersion(number, routeCount)));
        for (let attempt = 0; nowMs() < endMs && countFaulty() < 2; attempt++) {
            const control = deployment.controls[attempt % deployment.controls.length];
            const headers = { "X-Figwharf-Base-Version": format(number - 1) };
            // A second, and 3 ms more for each route.
            const answer = await deployment.callControl(control, "config.replace", body, headers, 1000 + 3 * routeCount);
            record.write(`change ${number} at ${control.name}: ${answer?.status ?? "no answer"}`);
            if (answer?.status === 200) {
                return true;
            }
            if (answer !== undefined && answer.status < 500) {
                throw new Error(`change ${number} was refused: ${answer.status} ${answer.text.slice(0, 200)}`);
            }
            await sleep(200);
        }
        return false;
    }

    function readMemory() {
        return deployment.controls.map(({ child }) => {
            try {
                return Math.round(Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${child.pid}/status`, "utf8"))[1]) / 1024);
            }
            catch {
                return "-";
            }
        }).join(", ");
    }

    await sleep(recoveryMs);
    let readBack;
    const readUntilMs = nowMs() + contactWindowMs + 2000;
    for (let attempt = 0; readBack === undefined && nowMs() < readUntilMs; attempt++) {
        const control = deployment.controls[attempt % deployment.controls.length];
        const answer = await deployment.callControl(control, "config.fetch", undefined, {}, 1000 + 3 * routeCount);
        readBack = answer?.status === 200 ? Number.parseInt(JSON.parse(answer.text).configVersion, 16) : undefined;
        await sleep(100);
    }
    const endsText = [...ends].map(([control, count]) => `${control.name} ${count}`).join(", ");
    record.say(`ended by themselves: ${endsText}; read back: ${readBack ?? "nothing"}`);
    const isReadBack = readBack !== undefined && readBack >= acknowledged;
    return {
        isBroken: !isReadBack || countFaulty() >= 2,
        text: `after ${acknowledged} changes, the configuration ${isReadBack ? "reads back" : "does not come"}; ` +
            `${countFaulty()} of 3 control VMs ended by themselves three times or more (${endsText})`,
    };
});
