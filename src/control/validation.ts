import type { Catalogue } from "../catalogue/model.js";
import { applyParamsSchema } from "../catalogue/schema.js";
import { formatCatalogueProblem, validateCatalogue, validateOperation } from "../catalogue/validate.js";
import { applyOperation } from "./operations.js";
import type { ApplyParams, ChangeOperation } from "./operatorApi.js";

const maxReportedProblems = 10;

/** Returns why an operation cannot be applied to a catalogue, or undefined. */
export function findChangeProblem(catalogue: Catalogue, operation: ChangeOperation): string | undefined {
    const operationProblems = validateOperation(catalogue, operation);
    if (operationProblems.length > 0) {
        return formatProblems(operationProblems);
    }
    const next = applyOperation(catalogue, operation);
    return "problem" in next ? next.problem : formatProblems(validateCatalogue(next));
}

function formatProblems(problems: ReturnType<typeof validateCatalogue>): string | undefined {
    if (problems.length === 0) {
        return undefined;
    }
    const lines = problems.slice(0, maxReportedProblems).map(formatCatalogueProblem);
    const omittedCount = problems.length - lines.length;
    return [...lines, ...omittedCount > 0 ? [`${omittedCount} more`] : []].join("; ");
}

/** Parameters of `catalogue.apply` with all defaults filled in, or why they are invalid. */
export type ParsedParams =
    | { readonly params: ApplyParams; readonly problem: undefined; }
    | { readonly params: undefined; readonly problem: string; };

/** Validates the parameters of `catalogue.apply` against their schema. */
export function parseApplyParams(params: unknown): ParsedParams {
    const result = applyParamsSchema.safeParse(params);
    if (result.success) {
        return { params: result.data as ApplyParams, problem: undefined };
    }
    const [issue] = result.error.issues;
    return { params: undefined, problem: `${issue.path.join(".") || "parameters"}: expected ${issue.message}` };
}
