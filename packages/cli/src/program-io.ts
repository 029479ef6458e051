/**
 * What the program reads and writes, so that tests can run it in their own process.
 */
import { readFile } from "node:fs/promises";

/** Exit codes of the program. */
export const exitCodes = {
    done: 0,
    /** The system refused, or the command failed. */
    failed: 1,
    usage: 2,
    /** No server could be reached, and nothing was done. */
    unreachable: 3,
} as const;

/** The surroundings of the program. */
export interface ProgramIo {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly writeOut: (data: string | Uint8Array) => void;
    readonly writeError: (text: string) => void;
    /** Reads a whole file; `-` is standard input. */
    readonly readText: (path: string) => Promise<string>;
    /** Ends long commands. */
    readonly signal?: AbortSignal;
}

/** A failure that ends a command. The message names the remedy. */
export class CommandError extends Error {
    constructor(message: string, readonly exitCode: number, readonly code = "") {
        super(message);
        this.name = "CommandError";
    }
}

/** Creates the surroundings of the real program. */
export function createProcessIo(): ProgramIo {
    return {
        environment: process.env,
        writeOut: data => process.stdout.write(data),
        writeError: text => process.stderr.write(text),
        readText: path => path === "-" ? readStandardInput() : readFile(path, "utf8"),
    };
}

async function readStandardInput(): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of process.stdin as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
