import { Deployment, makeConfiguration, nowMs, request, runCase, siteBounds, sleep } from "../lib-2/deployment.mjs";
import { Instance } from "../lib-2/instance.mjs";

const folder = new URL(".", import.meta.url).pathname;
const host = "shop.example";
const contactWindowMs = 4000;
const gracePeriodMs = 10_000;
const workMs = 6500;
const deadlineMs = 12_000;
/** Bounds of large/flg-figwharf-large.toml. */
const bounds = {
    ...siteBounds,
    contactWindow: "4000ms",
    drainTimeout: "2500ms",
    gracePeriod: "10s",
    configApply: "2500ms",
    outer: "6000ms",
    catchUp: "6s",
    budgetSlack: 430,
};
/** When requests are sent, in milliseconds after the SIGTERM. */
const sendTimesMs = [1000, 3100, 3200, 3300, 3400, 3450];

await runCase(folder, async ({ record, hasTrouble, keep }) => {
    const deployment = keep(new Deployment(record, { entries: 3, bounds }));
    await deployment.start();
    const instances = [];
    for (let index = 0; index < 4; index++) {
        instances.push(
            await keep(
                new Instance(deployment, record, {
                    id: `i-${index + 1}`,
                    service: "moulds",
                    ip: `${deployment.network}.${101 + index}`,
                    port: 0,
                    zone: deployment.zones[index % 3],
                    work: ({ incoming }) => ({ workMs: incoming.url.startsWith("/pattern/archive") ? workMs : 50 }),
                }),
            ).start(),
        );
    }
    const configuration = makeConfiguration({
        version: "00000001",
        host,
        services: ["moulds"],
        rules: [{
            name: "r-pattern",
            routeType: "idempotent",
            targetLatency: "1500ms",
            priority: 1,
            match: { pathPrefix: "/pattern/" },
            action: { service: "moulds", timeout: "12000ms", maxAttempts: 2 },
        }],
    });
    await deployment.order("config.replace", configuration, "00000000");
    await deployment.waitUntilReady();
    await sleep(contactWindowMs);
    const entry = deployment.entries[0];
    const list = await deployment.resolve(entry.zone, host);
    const lookedUpAtMs = nowMs();
    // Some clients keep an answer three times as long as its ttl.
    const keepUntilMs = lookedUpAtMs + 3 * Math.min(5000, durationMs(list.ttl));
    const address = deployment.frontend(entry);
    if (!list.addresses.includes(address)) {
        throw new Error(`the lookup returned ${list.addresses.join()}, without ${address}`);
    }
    record.say(`lookup: ${list.addresses.join()}, ttl ${list.ttl}; some clients keep it for ${keepUntilMs - lookedUpAtMs} ms`);
    const termAtMs = nowMs();
    let exitedAtMs = Infinity;
    if (hasTrouble) {
        deployment.signal(entry, "SIGTERM");
        entry.child.once("exit", () => exitedAtMs = nowMs());
        setTimeout(() => deployment.isRunning(entry) && deployment.signal(entry, "SIGKILL"), gracePeriodMs).unref();
    }
    const send = async (sendAtMs, position) => {
        await sleep(termAtMs + sendAtMs - nowMs());
        const attempt = `a-${position + 1}`;
        const sentAtMs = nowMs();
        if (sentAtMs > keepUntilMs) {
            throw new Error("the client was too late to use its lookup");
        }
        record.write(`client sends ${attempt} to ${address}, ${Math.round(sentAtMs - termAtMs)} ms after the SIGTERM`);
        const answer = await request({
            address,
            method: "GET",
            path: `/pattern/archive/${position + 1}`,
            headers: { Host: host, "X-Figwharf-Attempt-Id": attempt, "X-Figwharf-Deadline-Ms": String(deadlineMs) },
            timeoutMs: deadlineMs,
        });
        const afterMs = Math.round(nowMs() - sentAtMs);
        record.say(
            `${attempt}, sent ${Math.round(sentAtMs - termAtMs)} ms after the SIGTERM: ${
                answer === undefined ? "the connection ended without an answer" : `answered ${answer.status} ${answer.text.slice(0, 60)}`
            } after ${afterMs} ms`,
        );
        return { attempt, sentAfterMs: sentAtMs - termAtMs, endedAfterMs: nowMs() - termAtMs, answer };
    };
    const results = await Promise.all(sendTimesMs.map(send));
    await sleep(300);
    record.say(`the entry ended ${Math.round(exitedAtMs - termAtMs)} ms after the SIGTERM`);
    const arrivals = new Map(instances.flatMap(instance => instance.arrivals).map(arrival => [arrival.attempt, arrival]));
    // LOST: passed on to an instance, and the connection ended without an answer before deadline and timeout. Not
    // counted: sent up to 3 s after the SIGTERM and still at work in the last sixth of the grace period.
    const lost = results.filter(({ attempt, sentAfterMs, endedAfterMs, answer }) =>
        answer === undefined && arrivals.has(attempt) && endedAfterMs - sentAfterMs < deadlineMs - 500 &&
        !(sentAfterMs <= 3000 && endedAfterMs >= gracePeriodMs * 5 / 6)
    );
    return {
        isBroken: lost.length > 0,
        text: `${lost.length} of ${results.length} requests were passed on to an instance and then cut without an answer`,
    };
});

function durationMs(text) {
    return text.endsWith("ms") ? Number(text.slice(0, -2)) : 1000 * Number(text.slice(0, -1));
}
