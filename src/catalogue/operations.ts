/** Kinds of arguments of runbook operations. */
export const ArgumentKind = {
    service: "service",
    upstream: "upstream",
    entryVm: "entry VM",
    limit: "limit",
    value: "number",
} as const;

export type ArgumentKind = typeof ArgumentKind[keyof typeof ArgumentKind];

/** Operations that a runbook command can run, with the kinds of their arguments in order. */
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

/** Returns how many arguments a runbook command takes: the highest placeholder number, or 0 without placeholders. */
export function countCommandArguments(templates: readonly string[]): number {
    const numbers = templates.flatMap(template => [...template.matchAll(placeholder)].map(match => Number(match[1])));
    return Math.max(0, ...numbers);
}

/** Returns the arguments of the operation, with the placeholders replaced by the arguments of the command. */
export function fillArguments(templates: readonly string[], commandArguments: readonly string[]): string[] {
    return templates.map(template =>
        template.replace(placeholder, (unfilled, number: string) => commandArguments[Number(number) - 1] ?? unfilled)
    );
}

/** True when a template contains a placeholder, whose value is known only when the command runs. */
export function hasPlaceholder(template: string): boolean {
    return template.search(placeholder) >= 0;
}
