import test from "ava";
import { ManualClock } from "../core/clock.js";
import { EntryListExchange } from "./entryListExchange.js";
import type { EntryState } from "./entryLists.js";
import type { EntryListAnswer, EntryListParams } from "./messages.js";

const local = "10.1.0.2:7000";
const remote = "10.2.0.1:7000";

interface Poll extends EntryListParams {
    readonly address: string;
    readonly answer: (answer: EntryListAnswer) => Promise<void>;
    readonly fail: () => Promise<void>;
}

/** Makes an exchange of a control VM in zone az-1, whose polls the test answers. */
function makeExchange() {
    const clock = new ManualClock();
    const polls: Poll[] = [];
    const own: EntryState[] = [];
    const settle = () => new Promise<void>(resolve => setImmediate(resolve));
    const call = (address: string, _method: string, params: unknown) =>
        new Promise<EntryListAnswer>((resolve, reject) => {
            const answer = (result: EntryListAnswer) => {
                resolve(result);
                return settle();
            };
            const fail = () => {
                reject(new Error("there is no such method"));
                return settle();
            };
            polls.push({ address, ...params as EntryListParams, answer, fail });
        });
    const toNode = (peerAddress: string, availabilityZone: string) => ({
        peerAddress,
        operatorAddress: peerAddress,
        availabilityZone,
    });
    const self = toNode("10.1.0.1:7000", "az-1");
    const exchange = new EntryListExchange({
        self,
        links: { call, isConnected: () => true },
        clock,
        logger: { info: () => 0, warn: () => 0, error: () => 0 },
        listNodes: () => [self, toNode(local, "az-1"), toNode(remote, "az-2")],
        listOwn: () => own,
    });
    return { exchange, clock, polls, own };
}

test("guards against polls across availability zones while an entry of the zone serves", async t => {
    const { exchange, polls, own } = makeExchange();
    exchange.refresh();
    t.deepEqual(polls.map(({ address }) => address), [local, remote], "no entry of the zone is known");
    await polls[1].answer({ version: 7, isFull: true, rows: [["e-2", "10.2.1.1:80", "az-2", true, 10]] });
    t.deepEqual(exchange.listAll().map(({ id }) => id), ["e-2"]);
    t.deepEqual(polls.slice(2).map(({ address, version }) => [address, version]), [[remote, 7]]);
    own.push({ id: "e-1", address: "10.1.1.1:80", availabilityZone: "az-1", isServing: true, sinceMs: 0 });
    await polls[2].answer({ version: 7 });
    await polls[0].answer({ version: 3, isFull: true, rows: [] });
    exchange.refresh();
    t.deepEqual(polls.slice(3).map(({ address }) => address), [local]);
});

test("guards against polling a control VM of an earlier version again and again", async t => {
    const { exchange, clock, polls } = makeExchange();
    exchange.refresh();
    await polls[0].fail();
    const countLocal = () => polls.filter(({ address }) => address === local).length;
    for (let second = 0; second < 60; second++) {
        clock.advance(1000);
        exchange.refresh();
        if (polls.at(-1)?.address === local) {
            await polls.at(-1)?.fail();
        }
    }
    t.true(countLocal() >= 5 && countLocal() <= 12, `${countLocal()} polls in a minute`);
});
