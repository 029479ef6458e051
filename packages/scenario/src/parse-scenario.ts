/**
 * Parses scenario files.
 */
import type { Failure, Result } from "@waxwingroute/core";
import { createFailure, Err, Ok } from "@waxwingroute/core";
import * as parser from "./generated/scenario-parser.js";
import type { Step } from "./types.js";

interface SyntaxProblem {
    readonly message: string;
    readonly location: { readonly start: { readonly line: number; readonly column: number; }; };
}

interface Parser {
    readonly parse: (text: string) => readonly Step[];
}

/**
 * Parses the text of a scenario; `file` names it in messages. Fails with `scenario-invalid` and a message such as
 * `outage.scenario:3:6: Expected a name but "!" found.`
 *
 * @example
 * ```ts
 * const steps = parseScenario("outage.scenario", "stop the store\nwait 10s\n").unwrap();
 * ```
 */
export function parseScenario(file: string, text: string): Result<readonly Step[], Failure> {
    try {
        return Ok((parser as unknown as Parser).parse(text));
    }
    catch (error) {
        if (!isSyntaxProblem(error)) {
            throw error;
        }
        const { line, column } = error.location.start;
        return Err(createFailure("scenario-invalid", `${file}:${line}:${column}: ${error.message}`, "notRun"));
    }
}

function isSyntaxProblem(error: unknown): error is SyntaxProblem {
    return error instanceof Error && "location" in error;
}
