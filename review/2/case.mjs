import http from "node:http";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { Instance, hasTrouble, makeConfig, makeRule, newId, runCase, sleep, waitFor } from "../lib/harness.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
const clientCount = 8;
const orderWorkMs = 1000;
/** Time between the orders of two clients. */
const staggerMs = 40;
/** The instance that fails one request has got this many or more, so that it fails at most 0.45 of them. */
const minRunsOfFailing = 3;
/** Timeout of the route of the lookups. */
const timeoutMs = 1200;
const deadlineMs = 3000;

/** A client with one connection, which it keeps for its requests. */
class KeptConnection {
    #agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

    constructor(system, entry) {
        this.system = system;
        this.entry = entry;
    }

    send(requestPath) {
        const id = newId();
        return new Promise(resolve => {
            const request = http.request({
                host: this.entry.ip,
                port: this.system.frontendPort,
                path: requestPath,
                method: "POST",
                agent: this.#agent,
                headers: {
                    "Host": "shop.example",
                    "X-Figwharf-Attempt-Id": id,
                    "X-Figwharf-Deadline-Ms": String(deadlineMs),
                    "Content-Length": 5,
                },
            }, response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", error => resolve({ id, status: 0, text: error.message }));
                response.on("end", () =>
                    resolve({ id, status: response.statusCode, text: Buffer.concat(chunks).toString() }));
            });
            request.on("error", error => resolve({ id, status: 0, text: error.message }));
            request.end("grate");
        });
    }

    close() {
        this.#agent.destroy();
    }
}

await runCase(folder, async (system, record) => {
    for (const index of [1, 2, 3]) {
        system.start(system.control(index));
    }
    const entry = system.start(system.entry(1));
    const sound = [1, 2, 3].map(index => new Instance(system, `order-${index}`, "orders", index));
    for (const instance of sound) {
        instance.respond = async (request, response) => {
            await sleep(request.url.includes("/slow") ? orderWorkMs : 0);
            instance.answer(request, response, 200, "booked");
        };
        await instance.start();
    }
    const lookups = [4, 5, 6, 7, 8, 9, 10, 11].map(index => new Instance(system, `mould-${index}`, "moulds", index));
    const arrivals = [];
    for (const instance of lookups) {
        instance.respond = (request, response) => {
            if (!request.url.startsWith("/mould/large")) {
                instance.answer(request, response, 200, "drawing");
                return;
            }
            if (arrivals.length === 0 && instance.runs.length < minRunsOfFailing) {
                record.line(`${instance.id} has too few requests to fail one of them`);
                instance.answer(request, response, 200, "drawing");
                return;
            }
            arrivals.push(instance.id);
            record.line(`arrival ${arrivals.length} of the lookup at ${instance.id}`);
            if (arrivals.length === 1) {
                instance.answer(request, response, 500, "failed");
            }
            else {
                answerAndGoDark(instance, request, response, record);
            }
        };
        await instance.start();
    }
    const rules = [
        makeRule("grate-order", "/order/", "orders", { routeType: "non_idempotent" }),
        makeRule("pattern-lookup", "/mould/", "moulds", { timeout: `${timeoutMs}ms` }),
    ];
    const config = makeConfig(1, rules, ["orders", "moulds"]);
    if (await system.changeConfig([1, 2, 3], "config.replace", config, 0, 15_000) !== 200) {
        throw new Error("the configuration was not accepted");
    }
    await waitFor("orders are served", async () => (await system.request(entry, "/order/first")).status === 200);
    await waitFor("moulds are served", async () => (await system.request(entry, "/mould/first")).status === 200);
    await sleep(4000);
    // The retry budget allows a part of the recent requests; each instance answers several before one of them fails.
    await Promise.all(Array.from({ length: 8 }, async () => {
        for (let count = 0; count < 20; count++) {
            await system.request(entry, `/mould/small/${count}`);
        }
    }));
    record.line(`lookups answered before, by instance: ${lookups.map(({ runs }) => runs.length)}`);

    const clients = Array.from({ length: clientCount }, () => new KeptConnection(system, entry));
    for (const client of clients) {
        await client.send("/order/quick");
    }
    const pattern = system.request(entry, "/mould/large", { deadlineMs: 2500 }).then(({ id, status, text }) =>
        record.line(`pattern lookup ${id}: ${status} ${text.slice(0, 80)}`)
    );
    await sleep(timeoutMs - 500);
    const orders = [];
    for (const client of clients) {
        orders.push(client.send("/order/slow"));
        await sleep(staggerMs);
    }
    await pattern;
    const answers = await Promise.all(orders);
    const runIds = new Set(sound.flatMap(instance => instance.runs).map(run => run.id));
    const lost = answers.filter(answer => answer.status === 0 && runIds.has(answer.id));
    for (const { id, status, text } of answers) {
        record.line(`order ${id}: ${status} ${text}, run by an instance: ${runIds.has(id)}`);
    }
    record.line(`entry: exit code ${entry.child.exitCode}; last lines: ${entry.lines.slice(-12).join(" | ")}`);
    record.line(`${lost.length} orders on kept connections were run, and their connections closed without an answer`);
    clients.forEach(client => client.close());
    return lost.length > 3;
});

/** Sends the head and half of the body, and then nothing more; the machine is dark, so the connection stays open. */
function answerAndGoDark(instance, request, response, record) {
    const { socket } = response;
    const id = request.headers["x-figwharf-attempt-id"];
    const half = "drawing ".repeat(500);
    const lengthBytes = 2 * half.length;
    record.line(`${instance.id} sends ${hasTrouble ? half.length : lengthBytes} of ${lengthBytes} bytes`);
    socket.write(
        `HTTP/1.1 200 OK\r\nX-Figwharf-Attempt-Id: ${id}\r\nX-Figwharf-Upstream-Signature: ${instance.id}.sig\r\n` +
            `X-Figwharf-Instance-Load: 0,0,8,100\r\nContent-Length: ${lengthBytes}\r\n\r\n${half}`,
    );
    if (hasTrouble) {
        instance.goDark();
        return;
    }
    socket.write(half);
}
