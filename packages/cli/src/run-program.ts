/**
 * From the command line to an exit code. Commands are found and options checked here, because citty ignores unknown options
 * and takes names such as `constructor` for commands.
 */
import { renderUsage, runCommand } from "citty";
import type { ArgsDef, CommandDef, CommandMeta } from "citty";
import { createRequire } from "node:module";
import { CommandError, exitCodes } from "./program-io.js";
import type { ProgramIo } from "./program-io.js";
import { createProgram } from "./program.js";

interface FoundCommand {
    readonly command: CommandDef;
    readonly parent: CommandDef | undefined;
    readonly rest: readonly string[];
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
        const found = findCommand(program, rawArguments);
        if (rawArguments.includes("--help") || rawArguments.includes("-h")) {
            io.writeOut(`${await renderHelp(found)}\n`);
            return exitCodes.done;
        }
        checkArguments(found);
        const { result } = await runCommand(found.command, { rawArgs: [...found.rest] });
        return result as number;
    }
    catch (error) {
        return reportError(error, io);
    }
}

function findCommand(program: CommandDef, rawArguments: readonly string[]): FoundCommand {
    let found: FoundCommand = { command: program, parent: undefined, rest: rawArguments };
    for (;;) {
        const subCommands = found.command.subCommands as Record<string, CommandDef> | undefined;
        const [name, ...rest] = found.rest;
        if (subCommands === undefined || name === "--help" || name === "-h") {
            return found;
        }
        const known = Object.keys(subCommands).join(", ");
        if (name === undefined || !Object.hasOwn(subCommands, name)) {
            const problem = name === undefined ? "no command" : `command "${name}" does not exist`;
            throw new CommandError(`${problem}: use one of ${known}`, exitCodes.usage);
        }
        found = { command: subCommands[name] as CommandDef, parent: program, rest };
    }
}

/** Refuses unknown options, options without a value and surplus arguments. */
function checkArguments({ command, rest }: FoundCommand): void {
    const definitions = command.args as ArgsDef;
    const positionalCount = Object.values(definitions).filter(({ type }) => type === "positional").length;
    let positionals = 0;
    for (let index = 0; index < rest.length; index++) {
        const text = rest[index] ?? "";
        if (!text.startsWith("-") || text === "-") {
            positionals++;
            continue;
        }
        const [name = "", value] = splitOption(text);
        const definition = Object.hasOwn(definitions, name) ? definitions[name] : undefined;
        if (definition === undefined || definition.type === "positional" || !text.startsWith("--")) {
            const known = Object.entries(definitions).filter(([, { type }]) => type !== "positional");
            const options = known.map(([option]) => `--${option}`).join(", ");
            throw new CommandError(`option "${text}" does not exist: use ${options}`, exitCodes.usage);
        }
        if (definition.type === "boolean" || value !== undefined) {
            continue;
        }
        index++;
        if (rest[index] === undefined || rest[index]?.startsWith("--") === true) {
            throw new CommandError(`option --${name} needs a value: write --${name}=<value>`, exitCodes.usage);
        }
    }
    if (positionals > positionalCount) {
        throw new CommandError(`${positionals} arguments: give at most ${positionalCount}`, exitCodes.usage);
    }
}

function splitOption(text: string): [string, string | undefined] {
    const separator = text.indexOf("=");
    return separator < 0 ? [text.slice(2), undefined] : [text.slice(2, separator), text.slice(separator + 1)];
}

async function renderHelp({ command, parent }: FoundCommand): Promise<string> {
    const meta = parent?.meta as CommandMeta | undefined;
    // citty prints the version of the parent after the command's name.
    const plainParent = parent === undefined ? undefined : { meta: { name: meta?.name } };
    return renderUsage(command, plainParent);
}

function reportError(error: unknown, io: ProgramIo): number {
    if (error instanceof CommandError) {
        io.writeError(`waxwing: ${error.message}\n`);
        return error.exitCode;
    }
    const message = error instanceof Error ? error.message : String(error);
    // citty reports bad arguments with errors of this name.
    const isUsage = error instanceof Error && error.name === "CLIError";
    io.writeError(`waxwing: ${message}${isUsage ? " See --help" : ""}\n`);
    return isUsage ? exitCodes.usage : exitCodes.failed;
}

function readVersion(): string {
    const manifest = createRequire(import.meta.url)("../package.json") as { readonly version: string; };
    return manifest.version;
}
