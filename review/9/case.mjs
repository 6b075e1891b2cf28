import { Deployment, makeConfiguration, nowMs, request, runCase, sleep } from "../lib-2/deployment.mjs";
import { Instance } from "../lib-2/instance.mjs";
import http from "node:http";

const folder = new URL(".", import.meta.url).pathname;
const host = "shop.example";
const configApplyMs = 2000;
const contactWindowMs = 3000;

function makeVersion(version, weights) {
    return makeConfiguration({
        version,
        host,
        services: ["stable", "canary"],
        rules: [{
            name: "r-stock",
            routeType: "idempotent",
            targetLatency: "300ms",
            priority: 1,
            match: { pathPrefix: "/stock/" },
            action: { weightedBackends: weights, timeout: "2500ms", maxAttempts: 2 },
        }],
    });
}

const split = stable => [{ service: "stable", weight: stable[0] }, { service: "canary", weight: stable[1] }];

await runCase(folder, async ({ record, hasTrouble, keep }) => {
    const deployment = keep(new Deployment(record, { entries: 4 }));
    await deployment.start();
    const instances = [];
    for (const service of ["stable", "canary"]) {
        for (let index = 0; index < 3; index++) {
            instances.push(
                await keep(
                    new Instance(deployment, record, {
                        id: `i-${service}-${index + 1}`,
                        service,
                        ip: `${deployment.network}.${(service === "stable" ? 101 : 151) + index}`,
                        port: 0,
                        zone: deployment.zones[index],
                        work: () => ({ workMs: 30, text: service }),
                    }),
                ).start(),
            );
        }
    }
    await deployment.order("config.replace", makeVersion("00000001", split([999, 1])), "00000000");
    await deployment.waitUntilReady();
    await sleep(contactWindowMs);
    const sent = [];
    let isStopped = false;
    const runClient = async number => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const zone = deployment.zones[number % deployment.zones.length];
        let list;
        let listUntilMs = 0;
        while (!isStopped) {
            if (nowMs() > listUntilMs) {
                list = await deployment.resolve(zone, host) ?? list;
                listUntilMs = nowMs() + 1000;
            }
            const address = list.addresses[Math.floor(Math.random() * list.addresses.length)];
            const attempt = `${number}-${sent.length}`;
            const entry = { attempt, atMs: nowMs() };
            sent.push(entry);
            const answer = await request({
                address,
                method: "GET",
                path: `/stock/${attempt}`,
                headers: { Host: host, "X-Figwharf-Attempt-Id": attempt, "X-Figwharf-Deadline-Ms": "2500" },
                timeoutMs: 2500,
                agent,
            });
            entry.answer = answer === undefined ? "no answer" : `${answer.status} ${answer.text}`;
            record.write(`client ${number}: ${attempt} at ${address} answered ${entry.answer}`);
            await sleep(100);
        }
        agent.destroy();
    };
    const clients = Array.from({ length: 6 }, (_value, number) => runClient(number));
    await sleep(5000);
    let acknowledgedAtMs = nowMs();
    if (hasTrouble) {
        const answer = await deployment.order("config.replace", makeVersion("00000002", split([1, 0])), "00000001");
        if (answer.status !== 200) {
            throw new Error(`the change was answered ${answer.status}`);
        }
        acknowledgedAtMs = nowMs();
    }
    await sleep(configApplyMs + contactWindowMs + 8000);
    isStopped = true;
    await Promise.all(clients);
    const arrivals = new Map(instances.flatMap(instance => instance.arrivals).map(arrival => [arrival.attempt, arrival]));
    const late = sent.filter(({ atMs }) => atMs > acknowledgedAtMs + configApplyMs);
    const atCanary = late.filter(({ attempt }) => arrivals.get(attempt)?.service === "canary");
    const before = sent.filter(({ atMs }) => atMs < acknowledgedAtMs);
    const beforeAtCanary = before.filter(({ attempt }) => arrivals.get(attempt)?.service === "canary");
    record.say(`before the change: ${beforeAtCanary.length} of ${before.length} requests ran at canary`);
    // CONFIG: a service whose weight is 0 is not allowed; and in 200 requests or more, no share is over 0.2 off.
    const weight = hasTrouble ? 0 : 0.001;
    const share = atCanary.length / late.length;
    const isOff = late.length >= 200 && Math.abs(share - weight) > 0.2;
    const isDisallowed = hasTrouble && atCanary.length > 0;
    return {
        isBroken: isDisallowed || isOff,
        text: `${atCanary.length} of ${late.length} requests sent later than configApply after the acknowledgement ` +
            `ran at canary, whose weight is ${hasTrouble ? "0 of 1" : "1 of 1000"}`,
    };
});
