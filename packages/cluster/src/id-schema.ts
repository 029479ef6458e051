/**
 * Schemas of branded ids in messages. The brand is checked by the compiler only; on receipt an id is any string.
 */
import type { Id } from "@waxwingroute/core";
import { z } from "zod";

/** Accepts any string of at most 200 characters as an id of type `T`. */
export function createIdSchema<T extends Id<string>>(): z.ZodType<T> {
    return z.custom<T>(value => typeof value === "string" && value.length <= 200, "must be an id");
}
