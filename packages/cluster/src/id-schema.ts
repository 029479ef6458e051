/**
 * The schema of branded ids in messages. Only the compiler checks the brand; a received id may be any string.
 */
import type { Id } from "@waxwingroute/core";
import { z } from "zod";

/** Accepts any string of at most 200 characters as an id of type `T`. */
export function createIdSchema<T extends Id<string>>(): z.ZodType<T> {
    return z.custom<T>(value => typeof value === "string" && value.length <= 200, "must be an id");
}
