// Loads the data folder given as an argument, commits all of its records, and writes how many there are.
import { SeededRandom } from "../../core/random.js";
import { ControlStore } from "../../storage/controlStore.js";
import { FileDisk } from "../../storage/fileDisk.js";
import { Replica } from "../replica.js";
import { CountingMachine } from "./countingMachine.js";

const persisted = new ControlStore(new FileDisk(process.argv[2])).load();
const { records } = persisted;
const last = records[records.length - 1];
const machine = new CountingMachine();
const replica = new Replica({ selfId: "a", persisted, machine, random: new SeededRandom(1), nowMs: 0 });
const { term, index } = last;
replica.handle({
    kind: "message",
    from: "b",
    message: {
        kind: "append",
        term,
        previousIndex: index,
        previousTerm: term,
        records: [],
        commitIndex: index,
        round: 1,
    },
}, 0);
process.stdout.write(String(machine.revision));
