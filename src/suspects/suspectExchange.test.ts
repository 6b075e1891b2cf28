import test from "ava";
import { ManualClock } from "../core/clock.js";
import { areParametersValid } from "../directory/messageChecks.js";
import { DirectoryMethod } from "../directory/messages.js";
import { SuspectExchange } from "./suspectExchange.js";
import type { SuspectReport } from "./suspectMessages.js";

interface Vm {
    readonly name: string;
    readonly log: { isLeader: boolean; leaderAddress: string | undefined; };
    readonly exchange: SuspectExchange;
    newsCount: number;
    changeCount: number;
}

/** Control VMs that exchange suspects by direct calls. */
class Group {
    readonly clock = new ManualClock();
    readonly vms: readonly Vm[];

    constructor() {
        this.vms = ["a", "b", "c"].map(name => {
            const vm = {
                name,
                log: { isLeader: name === "a", leaderAddress: name === "a" ? undefined : "a" as string | undefined },
                newsCount: 0,
                changeCount: 0,
            };
            const exchange = new SuspectExchange({
                log: vm.log,
                clock: this.clock,
                logger: { info: () => 0, warn: () => 0, error: () => 0 },
                onChanged: () => vm.changeCount++,
                onNews: () => vm.newsCount++,
            });
            return Object.assign(vm, { exchange });
        });
    }

    /** Makes another VM the leader. */
    elect(leaderName: string): void {
        this.vms.forEach(({ name, log }) => {
            log.isLeader = name === leaderName;
            log.leaderAddress = log.isLeader ? undefined : leaderName;
        });
    }

    /** Runs the report that each VM sends to the leader every second. */
    report(knowsSuspects = true): void {
        this.clock.advance(1000);
        const leader = this.vms.find(vm => vm.log.isLeader);
        for (const { exchange, log } of this.vms) {
            if (!log.isLeader) {
                const report = exchange.buildReport();
                exchange.applyAnswer(report, knowsSuspects ? leader?.exchange.handleReport(report) : undefined);
            }
            exchange.runMaintenance();
        }
    }

    /** Returns what entries of each VM get. */
    describeAll(): readonly string[] {
        return this.vms.map(({ exchange }) => JSON.stringify(exchange.describe(-1)?.rows));
    }
}

function loss(id: string, fingerprint = "f"): SuspectReport {
    return { losses: [[fingerprint, id, 1]], survived: [] };
}

test("guards against entries that each learn by a lost instance that a request crashes instances", t => {
    const group = new Group();
    const [a, b, c] = group.vms;
    b.exchange.recordEntryReport(loss("i-1"));
    b.exchange.recordEntryReport(loss("i-1"));
    t.is(b.newsCount, 1, "a repeated report is no news");
    group.report();
    t.deepEqual(group.describeAll(), ["[]", "[]", "[]"], "one loss can have another cause");
    c.exchange.recordEntryReport(loss("i-2"));
    group.report();
    group.report();
    t.deepEqual(group.describeAll(), Array(3).fill("[[\"f\",2]]"));
    a.exchange.recordEntryReport(loss("i-3"));
    group.report();
    t.deepEqual(group.describeAll(), Array(3).fill("[[\"f\",3]]"));
    t.deepEqual([a, b, c].map(vm => vm.changeCount > 0), [true, true, true], "held calls of entries are answered");
});

test("guards against a request that stays refused after an instance has survived it", t => {
    const group = new Group();
    ["i-1", "i-2", "i-3"].forEach((id, index) => group.vms[index].exchange.recordEntryReport(loss(id)));
    group.report();
    group.report();
    t.deepEqual(group.describeAll(), Array(3).fill("[[\"f\",3]]"));
    group.vms[1].exchange.recordEntryReport({ losses: [], survived: ["f"] });
    group.report();
    group.report();
    t.deepEqual(group.describeAll(), Array(3).fill("[]"));
});

test("guards against suspects that are forgotten when another control VM leads", t => {
    const group = new Group();
    ["i-1", "i-2", "i-3"].forEach((id, index) => group.vms[index].exchange.recordEntryReport(loss(id)));
    group.report();
    group.report();
    group.elect("b");
    group.report();
    group.report();
    t.deepEqual(group.describeAll().slice(1), Array(2).fill("[[\"f\",3]]"));
});

test("guards against suspects that are lost beside a leader of an earlier version, or without a leader", t => {
    const group = new Group();
    const [, b] = group.vms;
    b.exchange.recordEntryReport({ losses: [["f", "i-1", 1], ["f", "i-2", 1]], survived: [] });
    group.report(false);
    t.deepEqual(group.describeAll()[1], "[[\"f\",2]]", "what its own entries saw");
    group.elect("c");
    group.report();
    group.report();
    t.deepEqual(group.describeAll()[2], "[[\"f\",2]]", "a leader of this version is told");
});

test("guards against suspects that are kept for ever", t => {
    const group = new Group();
    group.vms[0].exchange.recordEntryReport({ losses: [["f", "i-1", 1], ["f", "i-2", 1]], survived: [] });
    t.is(group.describeAll()[0], "[[\"f\",2]]");
    group.clock.advance(11 * 60_000);
    group.report();
    t.is(group.describeAll()[0], "[]");
});

test("guards against suspects that are sent again and again, or to entries of earlier versions", t => {
    const group = new Group();
    const { exchange } = group.vms[0];
    exchange.recordEntryReport({ losses: [["f", "i-1", 1], ["f", "i-2", 1]], survived: [] });
    const described = exchange.describe(0);
    t.deepEqual(described?.rows, [["f", 2]]);
    t.false(exchange.hasNews(described?.version));
    t.is(exchange.describe(described?.version), undefined);
    t.false(exchange.hasNews(undefined));
    t.is(exchange.describe(undefined), undefined);
});

test("guards against messages of earlier versions that are refused, and malformed ones that are accepted", t => {
    const entry = { id: "e", address: "10.0.0.1:80", availabilityZone: "az-1", isServing: true };
    const watch = { entry, version: 1, waitMs: 400 };
    t.true(areParametersValid(DirectoryMethod.watch, watch), "of the version before");
    const withSuspects = { ...watch, suspectsVersion: 0, entry: { ...entry, suspects: loss("i-1") } };
    t.true(areParametersValid(DirectoryMethod.watch, withSuspects));
    t.true(areParametersValid(DirectoryMethod.watch, { ...withSuspects, later: { field: 1 } }), "of a later version");
    for (const suspects of [{ losses: [["f", 1, 1]], survived: [] }, { losses: [], survived: [2] }, [], "f"]) {
        t.false(areParametersValid(DirectoryMethod.reportEntry, { ...entry, suspects }));
        t.false(areParametersValid(DirectoryMethod.reportHeartbeats, { ids: [], suspects }));
    }
});
