import test from "ava";
import { ControlVmSearch } from "./controlVmSearch.js";

/** A connection to a control VM; `answers` are returned in turn, the last one again and again, "none" never arrives. */
class FakeClient {
    askCount = 0;
    isClosed = false;

    constructor(readonly address: string, private readonly answers: readonly ("none" | "behind" | "current")[]) {}

    isConnected(): boolean {
        return this.answers[0] !== "none";
    }

    close(): void {
        this.isClosed = true;
    }

    ask(): Promise<string | undefined> {
        const answer = this.answers[Math.min(this.askCount, this.answers.length - 1)];
        this.askCount++;
        return answer === "none"
            ? new Promise(() => undefined)
            : Promise.resolve(answer === "current" ? this.address : undefined);
    }
}

function makeSearch(clients: readonly FakeClient[], current?: FakeClient) {
    const connected: string[] = [];
    const search = new ControlVmSearch<FakeClient, string>({
        connect: address => {
            connected.push(address);
            return clients.find(client => client.address === address) ?? new FakeClient(address, ["none"]);
        },
        ask: client => client.ask(),
    }, current);
    const candidates = clients.map(client => client.address);
    return { search, candidates, connected };
}

test("guards against a search that waits for control VMs which are down before it asks the others", async t => {
    const clients = [
        new FakeClient("gone-1", ["none"]),
        new FakeClient("gone-2", ["none"]),
        new FakeClient("gone-3", ["none"]),
        new FakeClient("live", ["current"]),
    ];
    const { search, candidates } = makeSearch(clients);
    const found = await search.runRound(candidates);
    t.is(found?.answer, "live");
    t.deepEqual(search.listSilent(), ["gone-1", "gone-2", "gone-3"]);
    search.close(found?.client);
    t.deepEqual(clients.map(client => client.isClosed), [true, true, true, false]);
});

test("guards against a control VM that is left for seconds since it heard no leader for a moment", async t => {
    const clients = [new FakeClient("a", ["behind", "current"]), new FakeClient("gone", ["none"])];
    const { search, candidates, connected } = makeSearch(clients);
    t.is(await search.runRound(candidates), undefined);
    t.is((await search.runRound(candidates))?.answer, "a");
    t.deepEqual(connected, ["a", "gone"], "connections are kept between rounds");
});

test("guards against connections to all control VMs while the first one can be used", async t => {
    const used = new FakeClient("a", ["current"]);
    const { search, candidates, connected } = makeSearch([used, new FakeClient("b", ["current"])], used);
    t.is((await search.runRound(candidates))?.client, used);
    t.deepEqual(connected, []);
});

test("guards against a search that ends too early: the only usable control VM answers last", async t => {
    const clients = [
        new FakeClient("a", ["behind"]),
        new FakeClient("b", ["behind"]),
        new FakeClient("c", ["current"]),
    ];
    const { search, candidates } = makeSearch(clients);
    t.is((await search.runRound(candidates))?.answer, "c");
    t.deepEqual(await makeSearch([]).search.runRound([]), undefined);
});
