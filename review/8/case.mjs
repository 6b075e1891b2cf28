import { Deployment, makeConfiguration, nowMs, request, runCase, sleep } from "../lib-2/deployment.mjs";
import { Instance } from "../lib-2/instance.mjs";

const folder = new URL(".", import.meta.url).pathname;
const host = "gas.example";
const contactWindowMs = 3000;
const instanceCount = 8;
const downMs = 3000;
const crashingIntervalMs = 2000;
const testMs = 45_000;
const marker = "crash-row";
/** Whether other callers upload their own files to the same path; not part of the rule, to find the cause. */
const hasOthers = process.env.OTHERS !== "0";
/** Whether the request crashes an instance only after that has begun to answer; another path to the same fault. */
const beginsAnswer = process.env.BEGINS_ANSWER === "1";
/** A kind of route and a size of a body; an upload is streamed whatever its size, others above 256 KiB. */
const routeType = process.env.ROUTE_TYPE ?? "upload";
const bodyBytes = Number(process.env.BODY_BYTES ?? 20_000);

await runCase(folder, async ({ record, hasTrouble, keep }) => {
    const deployment = keep(new Deployment(record, { entries: 3 }));
    await deployment.start();
    const instances = [];
    let nextId = 1;
    const startInstance = async (index, port) => {
        const instance = keep(
            new Instance(deployment, record, {
                id: `i-${nextId++}`,
                service: "allocbay",
                ip: `${deployment.network}.${101 + index}`,
                port,
                zone: deployment.zones[index % 3],
                work: ({ body }) => {
                    const isCrash = body.includes(marker);
                    if (isCrash) {
                        // A sound operator starts a crashed instance again.
                        setTimeout(() => void startInstance(index, instance.port), downMs);
                    }
                    return { workMs: isCrash ? 20 : 100, isCrash, beginsAnswer, text: "stored" };
                },
            }),
        );
        instances.push(instance);
        await instance.start();
    };
    for (let index = 0; index < instanceCount; index++) {
        await startInstance(index, 0);
    }
    const configuration = makeConfiguration({
        version: "00000001",
        host,
        services: ["allocbay"],
        rules: [{
            name: "r-allocation",
            routeType,
            targetLatency: "2710ms",
            priority: 1,
            match: { pathPrefix: "/allocation/" },
            action: { service: "allocbay", timeout: "5403ms", maxAttempts: 2 },
        }],
    });
    await deployment.order("config.replace", configuration, "00000000");
    await deployment.waitUntilReady();
    await sleep(contactWindowMs);
    let attempts = 0;
    let isStopped = false;
    /** Sends a request to an entry from a fresh lookup; resolves with its record. */
    const send = async (client, zone, body) => {
        const list = await deployment.resolve(zone, host);
        const address = list.addresses[Math.floor(Math.random() * list.addresses.length)];
        const attempt = `${client}-${++attempts}`;
        const sentAtMs = nowMs();
        const answer = await request({
            address,
            method: "POST",
            path: "/allocation/month-end",
            headers: {
                "Host": host,
                "Content-Type": "text/csv",
                "X-Figwharf-Attempt-Id": attempt,
                "X-Figwharf-Deadline-Ms": "5403",
            },
            body,
            timeoutMs: 5403,
        });
        record.write(`${client}: ${attempt} at ${address} answered ${answer?.status ?? "nothing"} ${answer?.text.slice(0, 80) ?? ""}`);
        return { attempt, sentAtMs, answer };
    };
    const runOther = async number => {
        while (!isStopped) {
            const body = Buffer.alloc(bodyBytes, `shipper ${number}, file ${attempts};`);
            await send(`other${number}`, deployment.zones[number % 3], body);
            await sleep(150);
        }
    };
    const others = hasOthers ? Array.from({ length: 6 }, (_value, number) => runOther(number)) : [];
    // The same path, caller and body each time.
    const crashingBody = Buffer.alloc(bodyBytes, `shipper 99, ${marker};`);
    const crashing = [];
    const endMs = nowMs() + testMs;
    for (let count = 0; nowMs() < endMs; count++) {
        if (hasTrouble) {
            crashing.push(await send("shipper99", deployment.zones[count % 3], crashingBody));
        }
        await sleep(crashingIntervalMs);
    }
    isStopped = true;
    await Promise.all(others);
    const ids = new Set(crashing.map(({ attempt }) => attempt));
    const reached = instances.flatMap(instance => instance.arrivals).filter(({ attempt }) => ids.has(attempt))
        .sort((first, second) => first.atMs - second.atMs);
    const thirdAtMs = reached[2]?.atMs ?? Infinity;
    const late = reached.filter(({ attempt }) =>
        (crashing.find(sent => sent.attempt === attempt)?.sentAtMs ?? 0) > thirdAtMs + contactWindowMs
    );
    const lostWork = instances.flatMap(instance => instance.arrivals)
        .filter(({ attempt, status }) => !ids.has(attempt) && status === undefined).length;
    record.say(
        `the request was sent ${crashing.length} times and has crashed ${reached.length} instances; ` +
            `${lostWork} requests of others were at work in instances that it crashed or at the end`,
    );
    return {
        isBroken: late.length > 3,
        text: `${late.length} retries of the request that were sent later than contactWindow after the third crash ` +
            "reached instances; the rule allows three",
    };
});
