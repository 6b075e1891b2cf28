/** Maximum number of organisations with a metric label of their own; further ones share a label. */
const maxLabels = 256;
const sharedLabel = "(others)";

/** Metric labels of organisations, bounded in number. */
export class OrganisationLabels {
    private readonly names: ReadonlySet<string>;

    /** `names` are those of all organisations that are configured. */
    constructor(names: readonly string[]) {
        this.names = new Set(names.slice(0, maxLabels));
    }

    /** Returns the label of an organisation. */
    get(name: string): string {
        return this.names.has(name) ? name : sharedLabel;
    }

    /** Returns the labels that `other` does not have; their metrics can be removed. */
    listMissingIn(other: OrganisationLabels): readonly string[] {
        return [...this.names].filter(name => !other.names.has(name));
    }
}
