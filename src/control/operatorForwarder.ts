import { ControlError, FigwharfError } from "../core/errors.js";
import type { CatalogueHost } from "./catalogueHost.js";
import type { CatalogueService, OperatorCaller } from "./catalogueService.js";
import { type ApplyAnswer, ApplyOutcome, OperatorMethod } from "./operatorApi.js";
import type { PeerLinks } from "./peerLinks.js";

/** Channel method that forwards an operator's call to the leader. */
export const operateMethod = "replication.operate";

const leaderWaitMs = 2500;
const leaderPollMs = 50;
const forwardTimeoutMs = 11_000;

/** Parameters of `replication.operate`. */
export interface ForwardedCall {
    readonly method: string;
    readonly params: unknown;
    readonly caller: OperatorCaller;
}

/** Answer of `replication.operate`; `refusal` is the reason why the call had no effect. */
export interface ForwardedAnswer {
    readonly answer?: unknown;
    readonly refusal?: string;
}

/** Answers operators' calls on the leader; on other VMs, forwards them to it. */
export class OperatorForwarder {
    constructor(
        private readonly host: CatalogueHost,
        private readonly service: CatalogueService,
        private readonly links: PeerLinks,
    ) {}

    /** Answers a call locally or through the leader. Throws ControlError when the call had no effect. */
    async answer(method: string, params: unknown, caller: OperatorCaller): Promise<unknown> {
        await this.waitForLeader();
        const address = this.host.leaderAddress;
        const isLocal = this.host.isLeader || (address === undefined && method === OperatorMethod.status);
        if (isLocal) {
            return this.service.answer(method, params, caller);
        }
        if (address === undefined) {
            throw new ControlError("leader-unknown");
        }
        return this.forward(address, { method, params, caller });
    }

    /** Answers a call that another VM forwarded. */
    async answerForwarded(call: ForwardedCall): Promise<ForwardedAnswer> {
        if (!this.host.isLeader) {
            return { refusal: "the VM does not lead any more" };
        }
        try {
            return { answer: await this.service.answer(call.method, call.params, call.caller) };
        }
        catch (error) {
            if (error instanceof FigwharfError) {
                return { refusal: error.message };
            }
            throw error;
        }
    }

    private async forward(address: string, call: ForwardedCall): Promise<unknown> {
        const forwarded = await this.callLeader(address, call);
        if (forwarded?.refusal !== undefined) {
            throw new ControlError("leader-refused", { reason: forwarded.refusal });
        }
        if (forwarded !== undefined) {
            return forwarded.answer;
        }
        switch (call.method) {
            case OperatorMethod.apply:
                return this.makeUnknownAnswer();
            // Any VM can report the status that it knows.
            case OperatorMethod.status:
                return this.service.answer(call.method, call.params, call.caller);
            default:
                throw new ControlError("leader-unknown");
        }
    }

    private async callLeader(address: string, call: ForwardedCall): Promise<ForwardedAnswer | undefined> {
        try {
            return await this.links.call(address, operateMethod, call, forwardTimeoutMs) as ForwardedAnswer;
        }
        catch {
            // The leader may have handled the call before the connection broke.
            return undefined;
        }
    }

    private makeUnknownAnswer(): ApplyAnswer {
        return {
            outcome: ApplyOutcome.unknown,
            revision: this.host.state.revision,
            detail: "the connection to the leader broke; send the same command again to settle it",
            winner: undefined,
            entriesHolding: 0,
            entriesTotal: 0,
        };
    }

    private async waitForLeader(): Promise<void> {
        for (let waitedMs = 0; waitedMs < leaderWaitMs; waitedMs += leaderPollMs) {
            if (this.host.isLeader || this.host.leaderAddress !== undefined) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, leaderPollMs));
        }
    }
}
