import { request } from "undici";
import type { UpstreamProcessOptions } from "./upstream.js";

const initialRenewIntervalMs = 800;
const leaseMs = 10_000;
const announceTimeoutMs = 600;
const drainRetryMs = 50;
/** Number of entries that get announcements until an answer lists the entries for renewals. */
const initialEntryCount = 2;

interface RenewAnswer {
    readonly renewInMs: number;
    readonly renewAt: readonly string[];
    readonly echo?: string;
}

interface Echo {
    readonly text: string;
    readonly receivedAtMs: number;
}

type State = "starting" | "ready" | "draining";

/** Announces an upstream to the entries and renews the announcement, through the public HTTP API only. */
export class AnnouncementLoop {
    state: State = "ready";
    private address = "";
    private sequence = 0;
    private renewInMs = initialRenewIntervalMs;
    private renewAt: readonly string[];
    private readonly echoes = new Map<string, Echo>();

    constructor(private readonly options: UpstreamProcessOptions) {
        this.renewAt = options.entryAddresses.slice(0, initialEntryCount);
    }

    start(address: string): void {
        this.address = address;
        if (this.options.startingMs !== undefined) {
            this.announceStarting(this.options.startingMs, () => undefined);
        }
        void this.renewForever();
    }

    /** Announces `starting` now and `ready` after `durationMs`; does nothing while draining. */
    announceStarting(durationMs: number, onReady: () => void): void {
        if (this.state === "draining") {
            return;
        }
        this.state = "starting";
        void this.renew();
        setTimeout(() => {
            onReady();
            this.state = this.state === "starting" ? "ready" : this.state;
            void this.renew();
        }, durationMs);
    }

    /** Announces draining until one entry acknowledges it. */
    async drain(): Promise<void> {
        this.state = "draining";
        for (let attempt = 0;; attempt++) {
            const { entryAddresses } = this.options;
            if (await this.announce(entryAddresses[attempt % entryAddresses.length]) !== undefined) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, drainRetryMs));
        }
    }

    private async renewForever(): Promise<void> {
        for (;;) {
            const startedAtMs = performance.now();
            if (this.state !== "draining") {
                await this.renew();
            }
            const elapsedMs = performance.now() - startedAtMs;
            await new Promise(resolve => setTimeout(resolve, Math.max(0, this.renewInMs - elapsedMs)));
        }
    }

    private async renew(): Promise<void> {
        const answers = await Promise.all(this.renewAt.map(address => this.announce(address)));
        const answer = answers.find(it => it !== undefined);
        if (answer !== undefined) {
            this.renewInMs = answer.renewInMs;
            this.renewAt = answer.renewAt.length > 0 ? answer.renewAt : this.renewAt;
            return;
        }
        for (const address of this.options.entryAddresses) {
            if (await this.announce(address) !== undefined) {
                this.renewAt = [address];
                return;
            }
        }
    }

    private async announce(entryAddress: string): Promise<RenewAnswer | undefined> {
        const { id, service, availabilityZone, slots, incarnation } = this.options;
        const echo = this.echoes.get(entryAddress);
        const body = JSON.stringify({
            id,
            service,
            availabilityZone,
            slots,
            incarnation,
            address: this.address,
            state: this.state,
            sequence: ++this.sequence,
            leaseMs,
            ...(echo === undefined ? {} : { echo: echo.text, echoHeldMs: performance.now() - echo.receivedAtMs }),
        });
        try {
            const signal = AbortSignal.timeout(announceTimeoutMs);
            const headers = { "content-type": "application/json" };
            const url = `http://${entryAddress}/v1/upstreams`;
            const response = await request(url, { method: "POST", headers, body, signal });
            const answer = await response.body.json() as RenewAnswer;
            if (response.statusCode !== 200) {
                return undefined;
            }
            if (answer.echo !== undefined) {
                this.echoes.set(entryAddress, { text: answer.echo, receivedAtMs: performance.now() });
            }
            return answer;
        }
        catch {
            return undefined;
        }
    }
}
