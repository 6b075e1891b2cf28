import type { ControlLogger } from "../control/options.js";
import type { PeerLinks } from "../control/peerLinks.js";
import { type Clock, readInstant } from "../core/clock.js";
import { type EntryState, isAnyServing, mergeEntryStates, PeerEntryLists } from "./entryLists.js";
import { DirectoryMethod, type EntryListAnswer, type EntryListParams } from "./messages.js";
import type { ControlNode } from "./model.js";

/** Time for which a control VM may hold a poll without changes, by whether it crosses availability zones. */
const localWaitMs = 500;
const remoteWaitMs = 1000;
/** Time for the answer in addition to the wait. */
const answerTimeoutMs = 500;
/**
 * Pause after a failed poll of a connected control VM; doubles up to the maximum. One of an earlier version rejects
 * each poll and logs it.
 */
const initialPauseMs = 500;
const maxPauseMs = 8000;

/** Dependencies of EntryListExchange. */
export interface EntryListExchangeOptions {
    readonly self: Pick<ControlNode, "peerAddress" | "availabilityZone">;
    readonly links: Pick<PeerLinks, "call" | "isConnected">;
    readonly clock: Clock;
    readonly logger: ControlLogger;
    readonly listNodes: () => readonly ControlNode[];
    /** Lists the entries attached to this control VM. */
    readonly listOwn: () => readonly EntryState[];
}

interface Pause {
    readonly untilMs: number;
    readonly durationMs: number;
}

/**
 * Polls the control VMs of the same availability zone for their attached entries. Those of other zones are polled only
 * while no entry of this zone is known to serve, since traffic between zones is billed.
 */
export class EntryListExchange {
    private readonly peerLists: PeerEntryLists;
    private readonly polledAddresses = new Set<string>();
    private readonly pauses = new Map<string, Pause>();
    private isZoneServed = true;

    constructor(private readonly options: EntryListExchangeOptions) {
        this.peerLists = new PeerEntryLists(options.clock);
    }

    /** Lists the entries attached to this control VM and to the polled ones. */
    listAll(): readonly EntryState[] {
        return mergeEntryStates(this.options.listOwn(), this.peerLists.list());
    }

    /** Starts polling the control VMs that are not polled yet; called every second and when the directory changes. */
    refresh(): void {
        const nowMs = this.options.clock.monotonicMs();
        this.logZoneChange();
        for (const node of this.listPolledNodes()) {
            const isPaused = (this.pauses.get(node.peerAddress)?.untilMs ?? -Infinity) > nowMs;
            if (!this.polledAddresses.has(node.peerAddress) && !isPaused) {
                void this.pollWhileNeeded(node);
            }
        }
    }

    private logZoneChange(): void {
        const { self, logger } = this.options;
        const known = this.listAll();
        const isZoneServed = isAnyServing(known, self.availabilityZone);
        if (isZoneServed !== this.isZoneServed) {
            logger.info("lookups are answered with entries of " + (isZoneServed ? "this zone" : "other zones"), {
                known: known.length,
            });
        }
        this.isZoneServed = isZoneServed;
    }

    /** Lists the control VMs whose entries this one needs. */
    private listPolledNodes(): readonly ControlNode[] {
        const { self, listNodes } = this.options;
        const others = listNodes().filter(node => node.peerAddress !== self.peerAddress);
        return isAnyServing(this.listAll(), self.availabilityZone)
            ? others.filter(node => node.availabilityZone === self.availabilityZone)
            : others;
    }

    private async pollWhileNeeded({ peerAddress, availabilityZone }: ControlNode): Promise<void> {
        const waitMs = availabilityZone === this.options.self.availabilityZone ? localWaitMs : remoteWaitMs;
        this.polledAddresses.add(peerAddress);
        let isAnswered = true;
        while (isAnswered && this.listPolledNodes().some(node => node.peerAddress === peerAddress)) {
            isAnswered = await this.poll(peerAddress, waitMs);
        }
        this.polledAddresses.delete(peerAddress);
    }

    private async poll(peerAddress: string, waitMs: number): Promise<boolean> {
        const { links, clock, logger } = this.options;
        if (!links.isConnected(peerAddress)) {
            this.pauses.delete(peerAddress);
            return false;
        }
        const params: EntryListParams = { version: this.peerLists.versionOf(peerAddress), waitMs };
        const sentAt = readInstant(clock);
        try {
            const answer = await links.call(peerAddress, DirectoryMethod.entryList, params, waitMs + answerTimeoutMs);
            this.peerLists.apply(peerAddress, answer as EntryListAnswer, sentAt);
            this.pauses.delete(peerAddress);
            return true;
        }
        catch (error) {
            const previousMs = this.pauses.get(peerAddress)?.durationMs ?? 0;
            const durationMs = Math.min(maxPauseMs, Math.max(initialPauseMs, 2 * previousMs));
            this.pauses.set(peerAddress, { untilMs: clock.monotonicMs() + durationMs, durationMs });
            logger.info("poll for the entries of a control VM failed", {
                peerAddress,
                reason: (error as Error).message,
            });
            return false;
        }
    }
}
