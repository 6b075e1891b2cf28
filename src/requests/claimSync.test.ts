import test from "ava";
import type { EntryList } from "../catalogue/model.js";
import { ClaimSync } from "./claimSync.js";
import { ClaimTable } from "./claimTable.js";
import { Outbox } from "./outbox.js";

const retentionMs = 600_000;
const entryIds = ["entry-1", "entry-2", "entry-3"];

function listAt(revision: number, ids: readonly string[] = entryIds): EntryList {
    return { revision, entryIds: ids, availabilityZones: ids.map((_, index) => `zone-${index}`) };
}

interface AbstentionCase {
    readonly failure: string;
    readonly firstControlRevision: number;
    readonly lists: readonly EntryList[];
    readonly isAbstaining: boolean;
}

const abstentionCases: readonly AbstentionCase[] = [
    {
        failure: "a new cluster that refuses keyed requests until the retention time has passed",
        firstControlRevision: 0,
        lists: [listAt(1)],
        isAbstaining: false,
    },
    {
        failure: "a restarted replica that grants a claim which its earlier incarnation granted to another entry",
        firstControlRevision: 1,
        lists: [listAt(1)],
        isAbstaining: true,
    },
    {
        failure: "an added entry that abstains although it has granted nothing before",
        firstControlRevision: 1,
        lists: [listAt(1, ["entry-2", "entry-3"]), listAt(2)],
        isAbstaining: false,
    },
    {
        failure: "a restarted replica that does not abstain because the entry list has changed since its start",
        firstControlRevision: 1,
        lists: [listAt(1), listAt(2)],
        isAbstaining: true,
    },
    {
        failure: "a replica that grants before it has any entry list",
        firstControlRevision: 0,
        lists: [],
        isAbstaining: true,
    },
];

for (const abstentionCase of abstentionCases) {
    test(`guards against ${abstentionCase.failure}`, t => {
        const sync = new ClaimSync(
            {
                selfId: "entry-1",
                incarnation: 1,
                abstentionMs: retentionMs,
                entryLists: () => abstentionCase.lists,
                isNewList: list => list.revision > abstentionCase.firstControlRevision,
            },
            new ClaimTable({ retentionMs, maxStoredClaims: 10, maxRetainedBytes: 1000 }),
            new Outbox(),
        );
        sync.tick(0);
        t.is(sync.isAbstaining([entryIds], 1), abstentionCase.isAbstaining);
    });
}
