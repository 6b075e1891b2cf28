import test from "ava";
import type { Registration } from "./model.js";
import { RegistrationTable } from "./registrations.js";
import { makeRegistration } from "./testing.js";

interface MessageCase {
    readonly name: string;
    readonly messages: readonly (Partial<Registration> | { readonly end: string; readonly bornAtMs?: number; })[];
    /** `id state address` of the rows that remain. */
    readonly rows: readonly string[];
}

const cases: readonly MessageCase[] = [
    { name: "a first message", messages: [{}], rows: ["i-1 ready 10.0.0.1:80"] },
    {
        name: "a late `ready` after `draining`",
        messages: [{ sequence: 4 }, { sequence: 6, state: "draining" }, { sequence: 5 }],
        rows: ["i-1 draining 10.0.0.1:80"],
    },
    {
        name: "a new life under the same id",
        messages: [{ state: "draining", sequence: 9 }, { bornAtMs: 2000, sequence: 1 }],
        rows: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a message of an earlier life under the same id",
        messages: [{ bornAtMs: 2000 }, { bornAtMs: 1000, state: "draining", sequence: 50 }],
        rows: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a new instance at the address of one that crashed",
        messages: [{}, { id: "i-2", bornAtMs: 2000, service: "moulds" }],
        rows: ["i-2 ready 10.0.0.1:80"],
    },
    {
        name: "a held up message of the instance that crashed at the address",
        messages: [{}, { id: "i-2", bornAtMs: 2000 }, { sequence: 2 }],
        rows: ["i-2 ready 10.0.0.1:80"],
    },
    {
        name: "a held up message of an instance that was never seen, for an address that is in use",
        messages: [{ id: "i-2", bornAtMs: 2000 }, { id: "i-0", bornAtMs: 500 }],
        rows: ["i-2 ready 10.0.0.1:80"],
    },
    { name: "a message after the instance has left", messages: [{}, { end: "i-1" }, { sequence: 9 }], rows: [] },
    {
        name: "a message that was held up until after the departure of an instance that was never seen",
        messages: [{ end: "i-1", bornAtMs: 1000 }, { sequence: 2 }],
        rows: [],
    },
    {
        name: "a message that was held up until after the departure of a life that was never seen",
        messages: [{}, { end: "i-1", bornAtMs: 2000 }, { bornAtMs: 2000 }],
        rows: [],
    },
    {
        name: "a new life after the departure of one that was never seen",
        messages: [{ end: "i-1", bornAtMs: 1000 }, { bornAtMs: 3000 }],
        rows: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a departure of an earlier life",
        messages: [{ bornAtMs: 2000 }, { end: "i-1", bornAtMs: 1000 }],
        rows: ["i-1 ready 10.0.0.1:80"],
    },
    {
        name: "a new life after the instance has left",
        messages: [{}, { end: "i-1" }, { bornAtMs: 3000 }],
        rows: ["i-1 ready 10.0.0.1:80"],
    },
];

for (const { name, messages, rows } of cases) {
    test(`guards against requests to an instance that is gone: ${name}`, t => {
        const table = new RegistrationTable();
        for (const message of messages) {
            if ("end" in message) {
                table.end(message.end, message.bornAtMs, true);
            }
            else {
                table.register(makeRegistration(message));
            }
        }
        t.deepEqual(table.list().map(row => `${row.id} ${row.state} ${row.address}`), rows);
    });
}

test("guards against a departure that is forgotten with a snapshot", t => {
    const table = new RegistrationTable();
    table.register(makeRegistration());
    table.end("i-1", undefined, true);
    const restored = new RegistrationTable();
    restored.fromImage(table.toImage());
    restored.register(makeRegistration({ sequence: 7 }));
    t.is(restored.size, 0);
});
