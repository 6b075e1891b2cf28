// Stand-in for an instance, as PROTOCOL.md describes a sound one.
import { once } from "node:events";
import http from "node:http";
import { nowMs, sleep } from "./deployment.mjs";

const heartbeatIntervalMs = 1500;
const queueLength = 6;

export class Instance {
    /** `work` gets the request with its body and returns how to treat it: { workMs, status, text, action }. */
    constructor(deployment, record, { id, service, ip, port, zone, slots = 3, extraHeaders = {}, work }) {
        Object.assign(this, { deployment, record, id, service, ip, port, zone, slots, extraHeaders, work });
        this.sockets = new Set();
        this.running = 0;
        this.waiting = [];
        this.sequence = 0;
        this.state = "ready";
        this.arrivals = [];
        this.isGone = false;
    }

    async start() {
        this.born = Date.now();
        this.server = http.createServer((incoming, outgoing) => this.handle(incoming, outgoing));
        this.server.keepAliveTimeout = 10_000;
        this.server.requestTimeout = 0;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined).on("close", () => this.sockets.delete(socket));
        });
        this.server.listen(this.port, this.ip);
        await once(this.server, "listening");
        this.port = this.server.address().port;
        void this.sendHeartbeats();
        return this;
    }

    get address() {
        return `${this.ip}:${this.port}`;
    }

    get load() {
        return `${this.running},${this.waiting.length},${this.slots},100`;
    }

    async sendHeartbeats() {
        while (!this.isGone) {
            await this.heartbeat();
            await sleep(heartbeatIntervalMs);
        }
    }

    async heartbeat() {
        this.sequence++;
        const body = {
            service: this.service,
            address: this.address,
            zone: this.zone,
            configVersion: "v1",
            maxConcurrency: this.slots,
            state: this.state,
            warmupLeft: "0ms",
            sequence: this.sequence,
            born: this.born,
        };
        const { controls } = this.deployment;
        const first = Math.floor(Math.random() * controls.length);
        for (let step = 0; step < controls.length && !this.isGone; step++) {
            const control = controls[(first + step) % controls.length];
            const answer = await this.deployment.callControl(control, `instances.heartbeat&of=${this.id}`, body);
            if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
                return true;
            }
        }
        return false;
    }

    handle(incoming, outgoing) {
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
        if (incoming.url === "/healthz") {
            incoming.resume();
            outgoing.writeHead(this.state === "ready" ? 200 : 503, {
                "X-Figwharf-Instance-Id": this.id,
                "X-Figwharf-Instance-Load": this.load,
                ...this.extraHeaders,
                "Content-Length": 0,
            });
            outgoing.end();
            return;
        }
        const attempt = incoming.headers["x-figwharf-attempt-id"];
        const expected = incoming.headers["x-figwharf-expected-instance"];
        const isMisdirected = expected !== undefined && expected !== this.id;
        if (isMisdirected || (this.running >= this.slots && this.waiting.length >= queueLength)) {
            incoming.resume();
            outgoing.writeHead(isMisdirected ? 421 : 503, {
                "X-Figwharf-Attempt-Id": attempt,
                "X-Figwharf-Not-Executed": "1",
                "X-Figwharf-Instance-Load": this.load,
                ...this.extraHeaders,
                "Content-Length": 0,
            });
            outgoing.end();
            return;
        }
        const chunks = [];
        incoming.on("data", chunk => chunks.push(chunk));
        incoming.on("end", () => {
            const job = { incoming, outgoing, attempt, body: Buffer.concat(chunks) };
            if (this.running < this.slots) {
                void this.run(job);
            }
            else {
                this.waiting.push(job);
            }
        });
    }

    async run(job) {
        const { incoming, outgoing, attempt, body } = job;
        this.running++;
        const arrival = {
            attempt,
            instance: this.id,
            service: this.service,
            path: incoming.url,
            atMs: nowMs(),
        };
        this.arrivals.push(arrival);
        const treatment = this.work({ incoming, attempt, body, instance: this });
        const { workMs = 20, status = 200, text = "done", isCrash = false, beginsAnswer = false } = treatment;
        this.record.write(`${this.id} (${this.service}) runs ${attempt} ${incoming.method} ${incoming.url}`);
        if (isCrash) {
            if (beginsAnswer) {
                outgoing.writeHead(200, {
                    "X-Figwharf-Attempt-Id": attempt,
                    "X-Figwharf-Upstream-Signature": `${this.id}.${attempt}`,
                });
                outgoing.write("begin");
            }
            await sleep(workMs);
            this.crash();
            return;
        }
        const endMs = nowMs() + workMs;
        while (nowMs() < endMs && !this.isGone && !outgoing.destroyed) {
            await sleep(Math.min(50, endMs - nowMs()));
        }
        if (this.isGone) {
            return;
        }
        arrival.wasCutOff = outgoing.destroyed;
        if (outgoing.destroyed) {
            this.record.write(`${this.id}: the connection of ${attempt} was closed while it ran`);
        }
        else {
            arrival.status = status;
            outgoing.writeHead(status, {
                "X-Figwharf-Attempt-Id": attempt,
                "X-Figwharf-Upstream-Signature": `${this.id}.${attempt}`,
                "X-Figwharf-Instance-Load": this.load,
                ...this.extraHeaders,
                "Content-Length": Buffer.byteLength(text),
            });
            outgoing.end(text);
        }
        this.running--;
        const next = this.waiting.shift();
        if (next !== undefined) {
            void this.run(next);
        }
    }

    /** Ends at once, like a process that has crashed: connections are reset, new ones refused. */
    crash() {
        if (!this.isGone) {
            this.isGone = true;
            this.record.write(`${this.id} (${this.service}) crashes`);
            this.server.close();
            this.sockets.forEach(socket => socket.resetAndDestroy());
        }
    }

    close() {
        this.isGone = true;
        this.server?.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}
