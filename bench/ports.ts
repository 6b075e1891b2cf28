import net from "node:net";

/** Returns free TCP ports of the loopback interface. Another process may bind one before it is used. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, openServer));
    const ports = servers.map(server => (server.address() as net.AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function openServer(): Promise<net.Server> {
    return new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
