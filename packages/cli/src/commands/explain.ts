/**
 * `waxwing explain`: the story of one job from the logs of several processes.
 *
 * Prints the lines that name the job, its steps or its tasks in the order of their times, and between them the changes that
 * can explain a delay: changes of the owner, of the configuration and of the way to the store.
 */
import { defineCommand } from "citty";
import type { CommandDef } from "citty";
import { formatJson } from "../formatting.js";
import { CommandError, exitCodes } from "../program-io.js";
import type { ProgramIo } from "../program-io.js";

/** Lines that matter to every job. */
const contextMessages = new Set([
    "all executors settled",
    "cell ownership acquired",
    "cell ownership lost",
    "cell recovered",
    "commit failed",
    "configuration applied",
    "executor does not answer",
    "executors settled",
    "host started",
    "runs lost",
    "shutdown begins",
    "store does not serve this host",
    "store reached again",
]);

/** Time around the job's own lines in which the context is shown, ms. */
const contextMs = 2_000;
/** Fields that every line has. */
const commonFields = new Set(["program", "host", "zone", "logLevel"]);

interface LogLine {
    readonly timeMs: number;
    readonly host: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
    readonly isContext: boolean;
}

/** Reads the logs and prints the story of the job. */
export async function explainJob(
    io: ProgramIo,
    job: string,
    files: readonly string[],
    form: string,
): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of files) {
        const text = await readLog(io, file);
        for (const line of text.split("\n")) {
            const parsed = parseLine(line, job);
            if (parsed !== undefined) {
                lines.push(parsed);
            }
        }
    }
    const own = lines.filter(line => !line.isContext);
    if (own.length === 0) {
        throw new CommandError(`no line of the logs names job ${job}: pass the logs of all hosts`, exitCodes.failed);
    }
    const times = own.map(line => line.timeMs);
    const first = Math.min(...times);
    const last = Math.max(...times);
    const story = lines
        .filter(line => !line.isContext || line.timeMs >= first - contextMs && line.timeMs <= last + contextMs)
        .sort((one, other) => one.timeMs - other.timeMs);
    io.writeOut(form === "json" ? formatJson(story) : story.map(line => formatLine(line, first)).join(""));
    return exitCodes.done;
}

/** Builds `waxwing explain`. */
export function createExplainCommand(io: ProgramIo): CommandDef {
    return defineCommand({
        meta: {
            name: "explain",
            description:
                "Tells what happened to a job, for example: waxwing explain 5c0e7a21d94b36f8 --logs a.log,b.log",
        },
        args: {
            job: { type: "positional", description: "Id of the job", required: true },
            logs: {
                type: "string",
                description: "Log files of the hosts, separated by commas; - for standard input",
                required: true,
                valueHint: "files",
            },
            output: { type: "enum", options: ["table", "json"], default: "table", description: "Form of the output" },
        },
        run: ({ args }) => explainJob(io, args.job, args.logs.split(","), args.output),
    }) as CommandDef;
}

async function readLog(io: ProgramIo, file: string): Promise<string> {
    try {
        return await io.readText(file);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw new CommandError(`log file "${file}" cannot be read (${reason}): check --logs`, exitCodes.usage);
    }
}

/** Parses a line; text before the JSON object is skipped, since collectors put times and names there. */
function parseLine(text: string, job: string): LogLine | undefined {
    const start = text.indexOf("{\"context\"");
    const namesJob = text.includes(job);
    if (start < 0 || !namesJob && ![...contextMessages].some(message => text.includes(message))) {
        return undefined;
    }
    try {
        const { context, message, time } = JSON.parse(text.slice(start)) as {
            context: Record<string, unknown>;
            message: string;
            time: number;
        };
        const host = typeof context.host === "string" ? context.host : "?";
        const fields = Object.fromEntries(Object.entries(context).filter(([name]) => !commonFields.has(name)));
        return { timeMs: time, host, message, fields, isContext: !namesJob };
    }
    catch {
        // A line that was cut off when its process ended.
        return undefined;
    }
}

function formatLine(line: LogLine, firstMs: number): string {
    const seconds = ((line.timeMs - firstMs) / 1_000).toFixed(3).padStart(9);
    const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    const mark = line.isContext ? "*" : " ";
    return `${seconds} ${mark} ${line.host.padEnd(20)} ${line.message}: ${fields}\n`;
}
