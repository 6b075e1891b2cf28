import type { Organisation, Route, RouteTable } from "../directory/model.js";
import type { GatewayMetrics } from "../metrics/gatewayMetrics.js";
import { authenticate, type Authentication } from "./authentication.js";
import { isHome } from "./homes.js";
import { OrganisationIndex } from "./organisationIndex.js";
import { OrganisationLabels } from "./organisationLabels.js";
import type { QuotaDecision, QuotaGate } from "./quotaGate.js";

/** Outcomes of a request of an organisation in the metrics. */
const Outcome = { admitted: "admitted", overQuota: "over-quota" } as const;

/** Options of OrganisationAdmission. */
export interface OrganisationAdmissionOptions {
    readonly quotaGate: QuotaGate;
    readonly metrics: Pick<GatewayMetrics, "organisationRequests" | "rejectedKeys">;
    /** Region of the entry; undefined if it is not known. */
    readonly region: string | undefined;
}

/** Decides which requests are admitted to placement, by key, home region and quota. */
export class OrganisationAdmission {
    private index = new OrganisationIndex();
    private labels = new OrganisationLabels([]);

    constructor(private readonly options: OrganisationAdmissionOptions) {}

    /** Whether organisations are configured. */
    get hasOrganisations(): boolean {
        return this.index.isKeyRequired;
    }

    /** Replaces the organisations in force. */
    setTable({ organisations }: RouteTable): void {
        this.index = new OrganisationIndex(organisations ?? []);
        const labelsBefore = this.labels;
        this.labels = new OrganisationLabels(this.index.organisations.map(organisation => organisation.name));
        for (const organisation of labelsBefore.listMissingIn(this.labels)) {
            Object.values(Outcome).forEach(outcome =>
                this.options.metrics.organisationRequests.remove({ organisation, outcome })
            );
        }
    }

    /** Authenticates a request and checks its home regions. `readKeys` is called only if a key is required. */
    check(route: Route, readKeys: () => readonly string[], isConfirmed: boolean): Authentication {
        const { index } = this;
        const isKeyRequired = index.isKeyRequired && route.isPublic !== true;
        const receivedKeys = isKeyRequired ? readKeys() : [];
        const authentication = authenticate({ index, route, receivedKeys, isConfirmed });
        if (authentication.kind === "refused") {
            this.options.metrics.rejectedKeys.inc({ reason: authentication.reason });
            return authentication;
        }
        return isHome(this.options.region, route, authentication.organisation) ? authentication : {
            kind: "refused",
            status: 503,
            reason: "not-home",
            detail: "No instance in a home region can be reached.",
            isUnconfirmed: false,
        };
    }

    /** Takes a request of an organisation from its quota. */
    takeQuota({ name }: Organisation): QuotaDecision {
        const decision = this.options.quotaGate.take(name);
        const outcome = decision.isAdmitted ? Outcome.admitted : Outcome.overQuota;
        this.options.metrics.organisationRequests.inc({ organisation: this.labels.get(name), outcome });
        return decision;
    }
}
