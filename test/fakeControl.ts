import http from "node:http";
import type net from "node:net";

/** How the fake handles a call: an answer, or a fault of a control VM or its network. */
export type FakeBehaviour =
    | { readonly kind: "result"; readonly result: unknown; }
    | { readonly kind: "error"; readonly code: string; readonly message: string; }
    | { readonly kind: "status"; readonly status: number; }
    /** Reads the call and closes the connection without an answer. */
    | { readonly kind: "hang-up"; }
    /** Reads the call and never answers, as a paused process does. */
    | { readonly kind: "silent"; };

/** A call received by the fake. */
export interface FakeCall {
    readonly method: string;
    readonly params: Record<string, unknown>;
    readonly authorization: string | undefined;
}

/** Fake of a control VM's operator API, for tests of the commands. */
export class FakeControl {
    readonly calls: FakeCall[] = [];
    private readonly server = http.createServer((request, response) => {
        this.handle(request, response).catch(() => response.destroy());
    });

    /** `script` lists the behaviours of each method in order; the last one is repeated. */
    constructor(private readonly script: Readonly<Record<string, readonly FakeBehaviour[]>>) {}

    /** Listens on loopback and returns the address. */
    listen(): Promise<string> {
        return new Promise(resolve =>
            this.server.listen(0, "127.0.0.1", () => {
                resolve(`127.0.0.1:${(this.server.address() as net.AddressInfo).port}`);
            })
        );
    }

    close(): Promise<void> {
        this.server.closeAllConnections();
        return new Promise(resolve => this.server.close(() => resolve()));
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const { id, method, params } = JSON.parse(Buffer.concat(chunks).toString());
        const earlierCalls = this.calls.filter(call => call.method === method).length;
        this.calls.push({ method, params, authorization: request.headers.authorization });
        const behaviours = this.script[method] ?? [];
        const behaviour = behaviours[Math.min(earlierCalls, behaviours.length - 1)] ?? { kind: "status", status: 404 };
        this.respond(behaviour, id, response);
    }

    private respond(behaviour: FakeBehaviour, id: unknown, response: http.ServerResponse): void {
        switch (behaviour.kind) {
            case "result":
                response.end(JSON.stringify({ jsonrpc: "2.0", id, result: behaviour.result }));
                return;
            case "error": {
                const error = { code: -32000, message: behaviour.message, data: { code: behaviour.code } };
                response.end(JSON.stringify({ jsonrpc: "2.0", id, error }));
                return;
            }
            case "status":
                response.writeHead(behaviour.status).end("{}");
                return;
            case "hang-up":
                response.destroy();
                return;
            case "silent":
                return;
        }
    }
}
