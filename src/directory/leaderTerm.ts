import { ageMs, type Clock, type Instant, readInstant } from "../core/clock.js";

/** Time without maintenance after which this VM may have been suspended while another one led. */
const maxMaintenancePauseMs = 2500;

/** Detects when this control VM begins to lead, also anew after it was suspended. */
export class LeaderTerm {
    private hasBegun = false;
    private maintainedAt: Instant | undefined;

    constructor(private readonly log: { readonly isLeader: boolean; }, private readonly clock: Clock) {}

    /** Whether this VM leads and has begun to. */
    get isLeading(): boolean {
        return this.hasBegun;
    }

    /** Called every second, before decisions of the leader. */
    maintain(): void {
        if (!this.log.isLeader || this.wasSuspended) {
            this.hasBegun = false;
        }
        this.maintainedAt = readInstant(this.clock);
    }

    /** Returns true once for each time that this VM begins to lead. */
    begin(): boolean {
        const isBeginning = this.log.isLeader && !this.hasBegun;
        this.hasBegun ||= this.log.isLeader;
        return isBeginning;
    }

    /** Whether maintenance has been missed for so long that another VM may lead. */
    get wasSuspended(): boolean {
        return this.maintainedAt !== undefined && ageMs(this.maintainedAt, this.clock) > maxMaintenancePauseMs;
    }
}
