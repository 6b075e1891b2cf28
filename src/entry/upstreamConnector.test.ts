import test from "ava";
import { once } from "node:events";
import net from "node:net";
import { reportResets } from "./upstreamConnector.js";

async function connectPair(): Promise<{ readonly client: net.Socket; readonly peer: net.Socket; close(): void; }> {
    const server = net.createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const accepted = once(server, "connection") as Promise<[net.Socket]>;
    const client = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    await once(client, "connect");
    const [peer] = await accepted;
    return { client, peer, close: () => server.close() };
}

test("guards against a reset that appears as the end of the stream", async t => {
    const { client, peer, close } = await connectPair();
    reportResets(client);
    // A connection that was reset has no remote address.
    Object.defineProperty(client, "remoteAddress", { value: undefined });
    client.resume();
    const failed = once(client, "error") as Promise<[NodeJS.ErrnoException]>;
    peer.end("part");
    const [error] = await failed;
    t.is(error.code, "UPSTREAM_RESET");
    close();
});

test("guards against a normal end of the stream that is mistaken for a reset", async t => {
    const { client, peer, close } = await connectPair();
    reportResets(client);
    client.on("error", error => t.fail(error.message));
    client.resume();
    peer.end("whole");
    await once(client, "end");
    t.is(client.bytesRead, 5);
    close();
});

test("guards against a reset whose code undici treats as the end of a response", async t => {
    const { client, peer, close } = await connectPair();
    reportResets(client);
    client.resume();
    const failed = once(client, "error") as Promise<[NodeJS.ErrnoException]>;
    peer.resetAndDestroy();
    const [error] = await failed;
    t.is(error.code, "UPSTREAM_RESET");
    close();
});
