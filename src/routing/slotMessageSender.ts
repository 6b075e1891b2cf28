import type { Service } from "../catalogue/model.js";
import type { AttemptId, EntryId } from "../core/ids.js";
import type { EntryEffect } from "../entry/messages.js";
import type { PendingAttempt } from "./slotClient.js";
import type {
    AcquireParams,
    GrantParams,
    HeldParams,
    ReleaseParams,
    ReportParams,
    SyncParams,
} from "./slotMessages.js";
import { SlotMethod } from "./slotMessages.js";

/** Emits the messages of the slot protocol as effects. */
export class SlotMessageSender {
    constructor(private readonly emit: (effect: EntryEffect) => void) {}

    acquire(to: EntryId, params: AcquireParams): void {
        this.send(to, SlotMethod.acquire, params, params.attemptId);
    }

    grant(to: EntryId, params: GrantParams): void {
        this.send(to, SlotMethod.grant, params, params.attemptId);
    }

    release(to: EntryId, params: ReleaseParams): void {
        this.send(to, SlotMethod.release, params);
    }

    sync(to: EntryId, params: SyncParams): void {
        this.send(to, SlotMethod.sync, params);
    }

    held(to: EntryId, params: HeldParams): void {
        this.send(to, SlotMethod.held, params);
    }

    report(to: EntryId, params: ReportParams): void {
        this.send(to, SlotMethod.report, params);
    }

    private send(to: EntryId, method: SlotMethod, params: unknown, correlationId?: AttemptId): void {
        this.emit({ kind: "send-peer", to, message: { method, params, correlationId } });
    }
}

/** Returns the parameters of the slot request for an attempt. */
export function acquireParamsOf(
    service: Service,
    attempt: PendingAttempt,
    availabilityZone: string,
    nowMs: number,
): AcquireParams {
    return {
        service: service.name,
        attemptId: attempt.attemptId,
        class: service.class,
        remainingMs: attempt.request.deadlineAtMs - nowMs,
        avoid: attempt.avoid,
        availabilityZone,
        isRetry: attempt.avoid.length > 0,
    };
}
