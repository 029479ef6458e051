/**
 * What a task does on a worker stand-in, parsed from its command string.
 */

/** What a task does. `durationMs` is `undefined` for a task that runs until it is stopped. */
export interface TaskBehaviour {
    readonly durationMs: number | undefined;
    readonly outcome: "succeeded" | "failed";
}

const unitMs: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000 };

/** Parses a duration such as `200ms`, `1.5s` or `2m` to milliseconds; `undefined` if it is malformed. */
export function parseDuration(text: string): number | undefined {
    const parts = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(text);
    const unit = unitMs[parts?.[2] ?? ""];
    return parts === null || unit === undefined ? undefined : Number(parts[1]) * unit;
}

/**
 * Parses a command: `run <duration>`, `run forever`, `fail`, `exit <code>` or `exit <code> after <duration>`. Any other
 * command fails at once, like an unknown program.
 */
export function parseCommand(command: string): TaskBehaviour {
    const words = command.trim().split(/\s+/);
    const [verb, argument] = words;
    if (verb === "run" && argument === "forever" && words.length === 2) {
        return { durationMs: undefined, outcome: "succeeded" };
    }
    if (verb === "run" && words.length === 2) {
        const durationMs = parseDuration(argument ?? "");
        return durationMs === undefined ? { durationMs: 0, outcome: "failed" } : { durationMs, outcome: "succeeded" };
    }
    if (verb === "exit" && /^\d+$/.test(argument ?? "")) {
        const delayMs = words.length === 2 ? 0 : parseDuration(words[3] ?? "");
        const isWellFormed = words.length === 2 || words.length === 4 && words[2] === "after" && delayMs !== undefined;
        return { durationMs: delayMs ?? 0, outcome: isWellFormed && argument === "0" ? "succeeded" : "failed" };
    }
    return { durationMs: 0, outcome: "failed" };
}
