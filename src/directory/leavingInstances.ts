import type { UpstreamId } from "../core/ids.js";
import type { EntryReport } from "./messages.js";
import { type Registration, RegistrationState } from "./model.js";

/** Dependencies of LeavingInstances. */
export interface LeavingInstancesOptions {
    /** Returns the registration of an instance in the replicated state. */
    readonly find: (id: UpstreamId) => Registration | undefined;
    /** Submits a registration to the leader; resolves when its outcome is known or it was given up. */
    readonly submit: (registration: Registration) => Promise<unknown>;
}

/**
 * Records instances whose responses announced to an entry that they leave as draining, which is final within an
 * incarnation. Entries repeat their reports until they see the change, so a failed submission needs no retry here.
 */
export class LeavingInstances {
    /** Instances with a submission under way; all entries report an instance at about the same time. */
    private readonly submittedIds = new Set<UpstreamId>();

    constructor(private readonly options: LeavingInstancesOptions) {}

    /** Handles the report of an attached entry. */
    recordReport({ leaving }: EntryReport): void {
        for (const { id, bornAtMs } of leaving ?? []) {
            const registration = this.options.find(id);
            const isRecordable = registration?.bornAtMs === bornAtMs && bornAtMs !== 0 &&
                registration.state === RegistrationState.ready;
            if (isRecordable && !this.submittedIds.has(id)) {
                this.submittedIds.add(id);
                void this.options.submit({ ...registration, state: RegistrationState.draining })
                    .finally(() => this.submittedIds.delete(id));
            }
        }
    }
}
