/**
 * Runs a command line and returns its exit code. This module looks up commands and validates options itself, because
 * citty ignores unknown options and accepts inherited property names such as `constructor` as commands.
 */
import { renderUsage, runCommand } from "citty";
import type { ArgsDef, CommandDef, CommandMeta } from "citty";
import { createRequire } from "node:module";
import { CommandError, exitCodes } from "./program-io.js";
import type { ProgramIo } from "./program-io.js";
import { createProgram } from "./program.js";

interface CommandMatch {
    readonly command: CommandDef;
    readonly parent: CommandDef | undefined;
    readonly remainingArguments: readonly string[];
}

/**
 * Runs the program and returns its exit code: 0 done, 1 refused or failed, 2 usage, 3 unreachable.
 *
 * @example
 * ```ts
 * process.exitCode = await runProgram(process.argv.slice(2), createProcessIo());
 * ```
 */
export async function runProgram(rawArguments: readonly string[], io: ProgramIo): Promise<number> {
    const version = readVersion();
    const program = createProgram(io, version);
    try {
        if (rawArguments.length === 1 && rawArguments[0] === "--version") {
            io.writeOut(`${version}\n`);
            return exitCodes.done;
        }
        const match = findCommand(program, rawArguments);
        if (rawArguments.includes("--help") || rawArguments.includes("-h")) {
            io.writeOut(`${await renderHelp(match)}\n`);
            return exitCodes.done;
        }
        validateArguments(match);
        const { result } = await runCommand(match.command, { rawArgs: [...match.remainingArguments] });
        return result as number;
    }
    catch (error) {
        return reportError(error, io);
    }
}

function findCommand(program: CommandDef, rawArguments: readonly string[]): CommandMatch {
    let match: CommandMatch = { command: program, parent: undefined, remainingArguments: rawArguments };
    for (;;) {
        const subCommands = match.command.subCommands as Record<string, CommandDef> | undefined;
        const [name, ...rest] = match.remainingArguments;
        if (subCommands === undefined || name === "--help" || name === "-h") {
            return match;
        }
        const names = Object.keys(subCommands).join(", ");
        if (name === undefined || !Object.hasOwn(subCommands, name)) {
            const problem = name === undefined ? "no command" : `command "${name}" does not exist`;
            throw new CommandError(`${problem}: use one of ${names}`, exitCodes.usage);
        }
        match = { command: subCommands[name] as CommandDef, parent: program, remainingArguments: rest };
    }
}

/** Throws `CommandError` for unknown options, options without a value and too many positional arguments. */
function validateArguments({ command, remainingArguments }: CommandMatch): void {
    const definitions = command.args as ArgsDef;
    const maxPositionalCount = Object.values(definitions).filter(({ type }) => type === "positional").length;
    let givenPositionalCount = 0;
    for (let index = 0; index < remainingArguments.length; index++) {
        const argument = remainingArguments[index] ?? "";
        if (!argument.startsWith("-") || argument === "-") {
            givenPositionalCount++;
            continue;
        }
        const [name = "", value] = splitOption(argument);
        const definition = Object.hasOwn(definitions, name) ? definitions[name] : undefined;
        if (definition === undefined || definition.type === "positional" || !argument.startsWith("--")) {
            const optionDefinitions = Object.entries(definitions).filter(([, { type }]) => type !== "positional");
            const options = optionDefinitions.map(([option]) => `--${option}`).join(", ");
            throw new CommandError(`option "${argument}" does not exist: use ${options}`, exitCodes.usage);
        }
        if (definition.type === "boolean" || value !== undefined) {
            continue;
        }
        index++;
        if (remainingArguments[index] === undefined || remainingArguments[index]?.startsWith("--") === true) {
            throw new CommandError(`option --${name} needs a value: write --${name}=<value>`, exitCodes.usage);
        }
    }
    if (givenPositionalCount > maxPositionalCount) {
        throw new CommandError(
            `${givenPositionalCount} arguments: give at most ${maxPositionalCount}`,
            exitCodes.usage,
        );
    }
}

function splitOption(text: string): [string, string | undefined] {
    const separator = text.indexOf("=");
    return separator < 0 ? [text.slice(2), undefined] : [text.slice(2, separator), text.slice(separator + 1)];
}

async function renderHelp({ command, parent }: CommandMatch): Promise<string> {
    const meta = parent?.meta as CommandMeta | undefined;
    // citty prints the parent's version after the name of the command, so the version is left out.
    const parentWithoutVersion = parent === undefined ? undefined : { meta: { name: meta?.name } };
    return renderUsage(command, parentWithoutVersion);
}

function reportError(error: unknown, io: ProgramIo): number {
    if (error instanceof CommandError) {
        io.writeError(`waxwing: ${error.message}\n`);
        return error.exitCode;
    }
    const message = error instanceof Error ? error.message : String(error);
    // citty throws errors of this name for invalid arguments.
    const isUsageError = error instanceof Error && error.name === "CLIError";
    io.writeError(`waxwing: ${message}${isUsageError ? " See --help" : ""}\n`);
    return isUsageError ? exitCodes.usage : exitCodes.failed;
}

function readVersion(): string {
    const manifest = createRequire(import.meta.url)("../package.json") as { readonly version: string; };
    return manifest.version;
}
