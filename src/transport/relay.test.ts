import test from "ava";
import net from "node:net";
import { BlackholeDirection, TcpRelay } from "./relay.js";

async function openRelay() {
    const sockets = new Set<net.Socket>();
    const echo = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", chunk => socket.write(chunk));
    });
    await new Promise<void>(resolve => echo.listen(0, "127.0.0.1", resolve));
    const relay = new TcpRelay("127.0.0.1", (echo.address() as net.AddressInfo).port);
    const port = await relay.listen();
    const close = async () => {
        await relay.close();
        sockets.forEach(socket => socket.destroy());
        echo.close();
    };
    return { relay, port, sockets, close };
}

async function connect(port: number): Promise<net.Socket> {
    const socket = net.connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    await new Promise(resolve => socket.once("connect", resolve));
    return socket;
}

function sendAndReceive(socket: net.Socket, text: string): Promise<string> {
    return new Promise(resolve => {
        socket.once("data", chunk => resolve(chunk.toString()));
        socket.once("close", () => resolve("closed"));
        socket.write(text);
    });
}

test("forwards bytes both ways, also with a delay", async t => {
    const { relay, port, close } = await openRelay();
    const socket = await connect(port);
    t.is(await sendAndReceive(socket, "one"), "one");
    relay.delay(20);
    t.is(await sendAndReceive(socket, "two"), "two");
    socket.destroy();
    await close();
});

test("cut closes connections and refuses new ones until restore", async t => {
    const { relay, port, close } = await openRelay();
    const socket = await connect(port);
    t.is(await sendAndReceive(socket, "one"), "one");
    relay.cut();
    t.is(await sendAndReceive(socket, "two"), "closed");
    t.is(await sendAndReceive(await connect(port), "three"), "closed");
    relay.restore();
    const last = await connect(port);
    t.is(await sendAndReceive(last, "four"), "four");
    last.destroy();
    await close();
});

for (const direction of [BlackholeDirection.toTarget, BlackholeDirection.fromTarget, BlackholeDirection.both]) {
    test(`a connection blackholed ${direction} stays open without data while a new one works`, async t => {
        const { relay, port, sockets, close } = await openRelay();
        const silent = await connect(port);
        t.is(await sendAndReceive(silent, "one"), "one");
        const received: string[] = [];
        [...sockets][0].on("data", chunk => received.push(chunk.toString()));
        relay.blackhole(direction);
        const answer = sendAndReceive(silent, "two");
        const working = await connect(port);
        t.is(await sendAndReceive(working, "three"), "three");
        t.is(await Promise.race([answer, new Promise(resolve => setTimeout(() => resolve("silent"), 50))]), "silent");
        t.deepEqual(received, direction === BlackholeDirection.fromTarget ? ["two"] : []);
        t.false(silent.destroyed);
        silent.destroy();
        working.destroy();
        await close();
    });
}
