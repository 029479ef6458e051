/**
 * What the kernel counts for a process that this program started.
 */
import { readFileSync } from "node:fs";

/** Counters of one process since its start. */
export interface ProcessUsage {
    /** Processor time in user and system mode, in milliseconds. */
    readonly cpuMs: number;
    /** Resident memory in megabytes. */
    readonly residentMb: number;
    /** Bytes written to sockets and files. */
    readonly writtenBytes: number;
}

// Linux reports processor time in ticks of 1/100 s on all architectures that Node.js supports.
const tickMs = 10;

/** Reads the counters of a process; throws if it has ended. */
export function readProcessUsage(processId: number): ProcessUsage {
    const stat = readFileSync(`/proc/${processId}/stat`, "utf8");
    // The name in parentheses can contain spaces; the fields after it begin with the state, which is field 3.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const io = readFileSync(`/proc/${processId}/io`, "utf8");
    return {
        cpuMs: (Number(fields[11]) + Number(fields[12])) * tickMs,
        residentMb: readField(status, /^VmRSS:\s+(\d+)/m) / 1024,
        writtenBytes: readField(io, /^wchar: (\d+)/m),
    };
}

function readField(text: string, pattern: RegExp): number {
    return Number(pattern.exec(text)?.[1] ?? Number.NaN);
}
