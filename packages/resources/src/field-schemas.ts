/**
 * Schemas of single fields. Each message is the remedy; `validation.ts` adds the path and the value.
 */
import { isValidName, maxNameLength } from "@waxwingroute/core";
import { z } from "zod";

/** A schema of an integer between two bounds, both included. */
export function createIntegerSchema(minimum: number, maximum: number): z.ZodNumber {
    const remedy = `use an integer from ${minimum} to ${maximum}`;
    return z.number(remedy).refine(value => Number.isSafeInteger(value), remedy).min(minimum, remedy).max(
        maximum,
        remedy,
    );
}

const nameRemedy = `use 1 to ${maxNameLength} lower-case letters, digits and inner hyphens`;

/** A schema of a resource name, zone or host id. */
export const nameSchema = z.string(nameRemedy).refine(isValidName, nameRemedy);

/** A schema of a text between two lengths in characters, without control characters. */
export function createTextSchema(minimum: number, maximum: number): z.ZodString {
    const remedy = `use a text of ${minimum} to ${maximum} characters without control characters`;
    return z.string(remedy).min(minimum, remedy).max(maximum, remedy).refine(
        text => !/[\u0000-\u0008\u000b-\u001f\u007f]/.test(text),
        remedy,
    );
}

/** A schema of one of several words. */
export function createEnumSchema<const Choices extends readonly [string, ...string[]]>(choices: Choices) {
    return z.enum(choices, `use one of ${choices.join(", ")}`);
}

/** A schema of `true` or `false`. */
export const booleanSchema = z.boolean("use true or false");

/** A schema of a point in time with an offset, for example `2026-12-05T06:00:00Z`. */
export const timeSchema = z.iso.datetime({
    offset: true,
    error: "use a time with an offset, for example 2026-12-05T06:00:00Z",
});
