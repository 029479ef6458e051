/**
 * Tables and JSON for people and programs.
 */

/** Longest cell of a table, in characters. */
const maxCellLength = 48;

/**
 * Formats objects as a table. Fields of inner objects become columns such as `limit.slots`; the field `spec` adds none of
 * its own.
 */
export function formatTable(rows: readonly object[]): string {
    const flat = rows.map(row => collectCells(row));
    const columns = [...new Set(flat.flatMap(row => [...row.keys()]))];
    if (columns.length === 0) {
        return "none\n";
    }
    const lines = [
        columns.map(column => column.toUpperCase()),
        ...flat.map(row => columns.map(name => row.get(name) ?? "-")),
    ];
    const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
    return lines.map(line => `${line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  ").trimEnd()}\n`)
        .join("");
}

/** Formats a value as indented JSON. */
export function formatJson(value: unknown): string {
    return `${JSON.stringify(value, undefined, 4)}\n`;
}

function collectCells(value: object, prefix = "", cells = new Map<string, string>()): Map<string, string> {
    for (const [name, field] of Object.entries(value) as [string, unknown][]) {
        const path = name === "spec" ? prefix : `${prefix}${name}`;
        if (typeof field === "object" && field !== null && !Array.isArray(field)) {
            collectCells(field, path === "" ? "" : `${path}.`, cells);
        }
        else if (field !== undefined) {
            cells.set(path, formatCell(field));
        }
    }
    return cells;
}

function formatCell(value: unknown): string {
    // Values come from other operators; control characters would act on the terminal.
    const text = (typeof value === "string" ? value : JSON.stringify(value)).replace(/\p{Cc}/gu, " ");
    return text.length > maxCellLength ? `${text.slice(0, maxCellLength - 1)}…` : text;
}
