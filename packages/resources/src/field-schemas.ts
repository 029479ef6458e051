/**
 * Schemas of single fields. Each message says how to correct the field; `validation.ts` adds its path and its value.
 */
import { isValidName, maxNameLength } from "@waxwingroute/core";
import { z } from "zod";

/** Returns a schema of an integer between two inclusive bounds. */
export function createIntegerSchema(minimum: number, maximum: number): z.ZodNumber {
    const remedy = `use an integer from ${minimum} to ${maximum}`;
    return z.number(remedy).refine(value => Number.isSafeInteger(value), remedy).min(minimum, remedy).max(
        maximum,
        remedy,
    );
}

const nameRemedy = `use 1 to ${maxNameLength} lower-case letters, digits and inner hyphens`;

/** Schema of a resource name, a zone or a host id. */
export const nameSchema = z.string(nameRemedy).refine(isValidName, nameRemedy);

/**
 * Returns a schema of a text with inclusive bounds on its length in characters. Of the control characters it allows
 * only tab and line feed.
 */
export function createTextSchema(minimum: number, maximum: number): z.ZodString {
    const remedy = `use a text of ${minimum} to ${maximum} characters without control characters`;
    return z.string(remedy).min(minimum, remedy).max(maximum, remedy).refine(
        text => !/[\u0000-\u0008\u000b-\u001f\u007f]/.test(text),
        remedy,
    );
}

/** Returns a schema of one of several strings. */
export function createEnumSchema<const Choices extends readonly [string, ...string[]]>(choices: Choices) {
    return z.enum(choices, `use one of ${choices.join(", ")}`);
}

/** Schema of `true` or `false`. */
export const booleanSchema = z.boolean("use true or false");

/** Schema of a time with an offset, for example `2026-12-05T06:00:00Z`. */
export const timeSchema = z.iso.datetime({
    offset: true,
    error: "use a time with an offset, for example 2026-12-05T06:00:00Z",
});
