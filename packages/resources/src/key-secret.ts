/**
 * Secrets of keys. A secret is shown once, when its key is created; only its hash is kept.
 */
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";

/** Length of a secret's random part, in bytes. */
const secretBytes = 32;
/** Marks a text as a secret of this system, so that scanners find it in files. */
const secretPrefix = "wxr_";
/** Longest text that is hashed as a presented secret, in characters. */
const maxSecretLength = 256;

/** Generates a secret with 256 random bits from the operating system. */
export function generateSecret(): string {
    return `${secretPrefix}${randomBytes(secretBytes).toString("base64url")}`;
}

/** Returns the SHA-256 of a secret as 64 lower-case hexadecimal digits. */
export function hashSecret(secret: string): string {
    return createHash("sha256").update(secret, "utf8").digest("hex");
}

/** Returns whether a text is short enough to be a secret; longer ones are refused without hashing. */
export function hasSecretLength(text: string): boolean {
    return text.length > 0 && text.length <= maxSecretLength;
}

/**
 * Compares two hashes in constant time. Hashes of different lengths differ.
 *
 * @example
 * ```ts
 * isSameHash(hashSecret(presented), settings.operatorTokenHash);
 * ```
 */
export function isSameHash(first: string, second: string): boolean {
    const firstBytes = Buffer.from(first, "utf8");
    const secondBytes = Buffer.from(second, "utf8");
    return firstBytes.length === secondBytes.length && timingSafeEqual(firstBytes, secondBytes);
}
