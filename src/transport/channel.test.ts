import test from "ava";
import net from "node:net";
import { ChannelClient, ChannelServer, computeBackoffMs } from "./channel.js";
import { TcpRelay } from "./relay.js";

const secret = "test-secret";

async function waitUntil(isDone: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 500 && !isDone(); attempt++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

async function openPair(clientSecret: string) {
    const received: unknown[] = [];
    const server = new ChannelServer({ selfId: "server", secret }, (method, params, from) => {
        received.push([method, params, from]);
        if (method === "fail") {
            throw new Error("refused by handler");
        }
        return method === "silent" ? new Promise(() => undefined) : { echoed: params };
    });
    const port = await server.listen("127.0.0.1", 0);
    const client = new ChannelClient(`127.0.0.1:${port}`, { selfId: "client", secret: clientSecret });
    return { server, client, port, received };
}

test("a call reaches the handler with the authenticated peer id, and its result is returned", async t => {
    const { server, client, received } = await openPair(secret);
    await waitUntil(() => client.isConnected());
    t.deepEqual(await client.call("echo", { value: 1 }, 2000), { echoed: { value: 1 } });
    t.deepEqual(received, [["echo", { value: 1 }, "client"]]);
    client.close();
    await server.close();
});

test("guards against a call that never settles: a silent handler causes a timeout, a failing one an error", async t => {
    const { server, client } = await openPair(secret);
    await waitUntil(() => client.isConnected());
    await t.throwsAsync(client.call("silent", {}, 50), { message: /did not answer silent within 50 ms/ });
    await t.throwsAsync(client.call("fail", {}, 2000), { message: /refused by handler/ });
    client.notify("note", {});
    t.deepEqual(await client.call("echo", 1, 2000), { echoed: 1 });
    client.close();
    await server.close();
});

test("guards against unauthenticated peers: a wrong secret is refused and counted, and no call is handled", async t => {
    const { server, client, received } = await openPair("wrong");
    await waitUntil(() => server.authenticationFailureCount > 0);
    t.true(server.authenticationFailureCount > 0);
    t.false(client.isConnected());
    await t.throwsAsync(client.call("echo", {}, 50));
    t.deepEqual(received, []);
    client.close();
    await server.close();
});

test("guards against an oversized or malformed first frame of an unauthenticated peer", async t => {
    const { server, client, port } = await openPair(secret);
    for (const bytes of [Buffer.from([0x7f, 0xff, 0xff, 0xff, 1]), Buffer.from([0, 0, 0, 2, 0xc1, 0xc1])]) {
        const socket = net.connect(port, "127.0.0.1", () => socket.write(bytes));
        socket.on("error", () => undefined);
        socket.resume();
        await new Promise(resolve => socket.on("close", resolve));
    }
    await waitUntil(() => client.isConnected());
    t.deepEqual(await client.call("echo", 1, 2000), { echoed: 1 });
    client.close();
    await server.close();
});

test("a client reconnects to a restarted server", async t => {
    const { server, client, port } = await openPair(secret);
    await waitUntil(() => client.isConnected());
    await server.close();
    await waitUntil(() => !client.isConnected());
    const second = new ChannelServer({ selfId: "server", secret }, () => "second");
    await second.listen("127.0.0.1", port);
    await waitUntil(() => client.isConnected());
    t.is(await client.call("echo", {}, 2000), "second");
    client.close();
    await second.close();
});

test("guards against a late connection to a peer because the first attempt hangs", async t => {
    const server = new ChannelServer({ selfId: "server", secret }, () => "here");
    const port = await server.listen("127.0.0.1", 0);
    const sockets: net.Socket[] = [];
    // The first connection gets no response, as with a VM that is powering on.
    const proxy = net.createServer(socket => {
        socket.on("error", () => socket.destroy());
        sockets.push(socket);
        if (sockets.length > 1) {
            socket.pipe(net.connect(port, "127.0.0.1").on("error", () => socket.destroy())).pipe(socket);
        }
    });
    await new Promise<void>(resolve => proxy.listen(0, "127.0.0.1", resolve));
    const { port: proxyPort } = proxy.address() as net.AddressInfo;
    const client = new ChannelClient(`127.0.0.1:${proxyPort}`, { selfId: "client", secret });
    t.true(await client.waitConnected(60_000));
    t.is(await client.call("where", {}, 60_000), "here");
    client.close();
    sockets.forEach(socket => socket.destroy());
    proxy.close();
    await server.close();
});

test("guards against a reconnect delay that does not grow, or grows without bound, while a peer is unreachable", t => {
    t.deepEqual([0, 1, 2, 3, 4, 1000].map(failures => computeBackoffMs(150, 1200, failures)), [
        150,
        300,
        600,
        1200,
        1200,
        1200,
    ]);
});

test("guards against bytes that pile up unseen for a peer that reads slowly", async t => {
    const unread: [string, number][] = [];
    const server = new ChannelServer({ selfId: "server", secret }, () => Buffer.alloc(12 * 1024 * 1024));
    server.onUnreadAtClose = (peerId, unreadBytes) => unread.push([peerId, unreadBytes]);
    const relay = new TcpRelay("127.0.0.1", await server.listen("127.0.0.1", 0));
    const client = new ChannelClient(`127.0.0.1:${await relay.listen()}`, { selfId: "client", secret });
    await client.waitConnected(60_000);
    t.deepEqual(server.queuedBytes, { total: 0, max: 0, maxPeer: "" });
    relay.throttle(64 * 1024);
    client.call("table", {}, 60_000).catch(() => undefined);
    await waitUntil(() => server.queuedBytes.total > 1024 * 1024);
    t.is(server.queuedBytes.maxPeer, "client");
    t.is(server.queuedBytes.max, server.queuedBytes.total);
    client.close();
    await waitUntil(() => unread.length > 0);
    t.is(unread[0]?.[0], "client");
    t.true(unread[0][1] > 1024 * 1024);
    await server.close();
    await relay.close();
});

const mebibyte = 1024 * 1024;

/** Opens a client that reaches a server over a relay; `answerBytes` is the size of each answer. */
async function openOverRelay(answerBytes: number) {
    const handled: unknown[] = [];
    const server = new ChannelServer({ selfId: "server", secret }, (_method, params) => {
        handled.push(params);
        return Buffer.alloc(answerBytes);
    });
    const relay = new TcpRelay("127.0.0.1", await server.listen("127.0.0.1", 0));
    const client = new ChannelClient(`127.0.0.1:${await relay.listen()}`, { selfId: "client", secret });
    await client.waitConnected(60_000);
    const close = async () => {
        client.close();
        await relay.close();
        await server.close();
    };
    return { server, relay, client, handled, close };
}

test("guards against a call that is given up while its answer arrives over a slow link", async t => {
    const { relay, client, close } = await openOverRelay(mebibyte);
    relay.throttle(mebibyte);
    t.is((await client.call("table", {}, 200) as Buffer).length, mebibyte);
    await close();
});

test("guards against answers that pile up for a peer that asks again before it has read them", async t => {
    const { server, relay, client, handled, close } = await openOverRelay(8 * mebibyte);
    relay.throttle(256 * 1024);
    const calls = Array.from({ length: 20 }, (_value, index) => client.call("table", { index }, 300));
    const allSettled = Promise.allSettled(calls);
    let maxQueuedBytes = 0;
    for (let check = 0; check < 50; check++) {
        await new Promise(resolve => setTimeout(resolve, 10));
        maxQueuedBytes = Math.max(maxQueuedBytes, server.queuedBytes.max);
    }
    t.true(maxQueuedBytes > 0);
    t.true(maxQueuedBytes <= 9 * mebibyte, `${maxQueuedBytes} bytes`);
    relay.restore();
    const ends = await allSettled;
    t.is(ends[0].status, "fulfilled", "its answer was arriving all the time");
    const answeredCount = ends.filter(({ status }) => status === "fulfilled").length;
    t.true(answeredCount < 5, `${answeredCount} calls were answered, though their callers no longer waited`);
    client.call("table", {}, 300).catch(() => undefined);
    await waitUntil(() => handled.length > 20);
    t.is(handled.length, 21, "later calls are handled");
    await close();
});

test("guards against messages that pile up for a peer that does not read them", async t => {
    const { relay, client, close } = await openOverRelay(0);
    relay.throttle(1024);
    const params = { bytes: Buffer.alloc(mebibyte) };
    let refusal: unknown;
    for (let count = 0; count < 200 && refusal === undefined; count++) {
        client.notify("note", params);
        await Promise.race([
            client.call("echo", params, 60_000).catch((error: unknown) => refusal = error),
            new Promise(resolve => setImmediate(resolve)),
        ]);
    }
    t.regex((refusal as Error | undefined)?.message ?? "", /has not read \d+ bytes/);
    await close();
});
