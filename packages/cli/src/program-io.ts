/**
 * Input, output and exit codes of the program. Input and output are injected, so that tests run the program in their
 * own process.
 */
import { readFile } from "node:fs/promises";

/** Exit codes of the program. */
export const exitCodes = {
    done: 0,
    /** A server refused the request, or the command failed. */
    failed: 1,
    usage: 2,
    /** No server could be reached, and no request was executed. */
    unreachable: 3,
} as const;

/** Environment variables, input and output of the program. */
export interface ProgramIo {
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly writeOut: (data: string | Uint8Array) => void;
    readonly writeError: (text: string) => void;
    /** Reads a whole file; `-` is standard input. */
    readonly readTextFile: (path: string) => Promise<string>;
    /** Stops commands that run until they are interrupted, such as `watch`. */
    readonly signal?: AbortSignal;
}

/** An error that ends a command. Its message says what to change; `exitCode` is the exit code of the process. */
export class CommandError extends Error {
    constructor(message: string, readonly exitCode: number, readonly code = "") {
        super(message);
        this.name = "CommandError";
    }
}

/** Creates the input and output of this process. */
export function createProcessIo(): ProgramIo {
    return {
        environment: process.env,
        writeOut: data => process.stdout.write(data),
        writeError: text => process.stderr.write(text),
        readTextFile: path => path === "-" ? readStandardInput() : readFile(path, "utf8"),
    };
}

async function readStandardInput(): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of process.stdin as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
