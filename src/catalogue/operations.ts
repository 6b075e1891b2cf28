/** What an argument of a runbook operation names. */
export const ArgumentKind = {
    service: "service",
    upstream: "upstream",
    entryVm: "entry VM",
    limit: "limit",
    value: "number",
} as const;

export type ArgumentKind = typeof ArgumentKind[keyof typeof ArgumentKind];

/** Operations that a runbook command can stand for, with the kinds of their arguments in order. */
export const runbookOperations: Readonly<Record<string, readonly ArgumentKind[]>> = {
    "upstream-list": [],
    "upstream-drain": [ArgumentKind.service, ArgumentKind.upstream],
    "upstream-resume": [ArgumentKind.service, ArgumentKind.upstream],
    "entry-vm-list": [],
    "entry-vm-drain": [ArgumentKind.entryVm],
    "entry-vm-resume": [ArgumentKind.entryVm],
    "service-limit": [ArgumentKind.service, ArgumentKind.limit, ArgumentKind.value],
    "status": [],
    "audit": [],
};

const placeholder = /\{([1-9]\d*)\}/g;

/** Returns the highest number of a placeholder in the arguments of a runbook command; 0 when there is none. */
export function countCommandArguments(templates: readonly string[]): number {
    const numbers = templates.flatMap(template => [...template.matchAll(placeholder)].map(match => Number(match[1])));
    return Math.max(0, ...numbers);
}

/** Returns the arguments of the operation, with the placeholders replaced by the arguments of the command. */
export function fillArguments(templates: readonly string[], commandArguments: readonly string[]): string[] {
    return templates.map(template =>
        template.replace(placeholder, (whole, number: string) => commandArguments[Number(number) - 1] ?? whole)
    );
}

/** True when a template contains a placeholder, so that its value is known only when the command runs. */
export function hasPlaceholder(template: string): boolean {
    return template.search(placeholder) >= 0;
}
