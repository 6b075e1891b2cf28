/**
 * Time constant of the counts. Long enough for tens of requests at an entry that gets a few each second, short enough
 * that a wave of demand of 13 s does not carry over into the next one.
 */
const timeConstantMs = 10_000;
/** Counts below this are forgotten, so that the number of groups stays bounded by those with recent requests. */
const minRetainedCount = 0.05;
/** Groups with fewer counted requests have no meaningful share. */
const minOffered = 3;

interface GroupCount {
    offered: number;
    served: number;
    updatedAtMs: number;
}

/** Share of the requests that was served recently, for each group of requests, with exponentially aging counts. */
export class ServedShares {
    private readonly groups = new Map<string, GroupCount>();

    /** Records that a request of the groups was placed or rejected. */
    record(groups: readonly string[], isServed: boolean, nowMs: number): void {
        for (const name of groups) {
            const group = this.groups.get(name) ?? { offered: 0, served: 0, updatedAtMs: nowMs };
            age(group, nowMs);
            group.offered++;
            group.served += isServed ? 1 : 0;
            this.groups.set(name, group);
        }
    }

    /** Returns the share of a group that was served; undefined with too few requests. */
    get(name: string): number | undefined {
        const group = this.groups.get(name);
        return group === undefined || group.offered < minOffered ? undefined : group.served / group.offered;
    }

    /** Returns the share of all listed groups together; 1 with too few requests. */
    getMean(names: Iterable<string>): number {
        let offered = 0;
        let served = 0;
        for (const name of names) {
            offered += this.groups.get(name)?.offered ?? 0;
            served += this.groups.get(name)?.served ?? 0;
        }
        return offered < minOffered ? 1 : served / offered;
    }

    /** Lists the groups with recent requests whose name begins with a prefix. */
    list(prefix: string): readonly string[] {
        return [...this.groups.keys()].filter(name => name.startsWith(prefix));
    }

    /** Ages all counts and forgets groups without recent requests. */
    settle(nowMs: number): void {
        for (const [name, group] of this.groups) {
            age(group, nowMs);
            if (group.offered < minRetainedCount) {
                this.groups.delete(name);
            }
        }
    }
}

function age(group: GroupCount, nowMs: number): void {
    const remaining = Math.exp(-Math.max(0, nowMs - group.updatedAtMs) / timeConstantMs);
    group.offered *= remaining;
    group.served *= remaining;
    group.updatedAtMs = nowMs;
}
