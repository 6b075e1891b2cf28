import test from "ava";
import { once } from "node:events";
import net from "node:net";
import { listenOn } from "./listen.js";

async function occupyPort(): Promise<{ readonly server: net.Server; readonly port: number; }> {
    const server = net.createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    return { server, port: (server.address() as net.AddressInfo).port };
}

test("guards against a process that ends because the one that it replaces still has the port", async t => {
    const { server: previous, port } = await occupyPort();
    const server = net.createServer();
    t.teardown(() => server.close());
    const listening = listenOn(server, { host: "127.0.0.1", port });
    setTimeout(() => previous.close(), 300);
    t.is(await listening, port);
    t.is(server.listenerCount("error") + server.listenerCount("listening"), 0, "no listeners remain");
});

test("guards against a wait without end for a port that stays in use", async t => {
    const { server: other, port } = await occupyPort();
    t.teardown(() => other.close());
    const error = await t.throwsAsync(listenOn(net.createServer(), { host: "127.0.0.1", port }, 300));
    t.is((error as NodeJS.ErrnoException).code, "EADDRINUSE");
});

test("guards against a wait for an address that cannot be bound", async t => {
    const error = await t.throwsAsync(listenOn(net.createServer(), { host: "203.0.113.1", port: 0 }));
    t.is((error as NodeJS.ErrnoException).code, "EADDRNOTAVAIL");
});
