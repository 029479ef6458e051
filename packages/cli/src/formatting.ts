/**
 * Formats the output of commands: tables for people, JSON for programs.
 */

/** Maximum length of a table cell, in characters; longer values are truncated. */
const maxCellLength = 48;

/**
 * Formats objects as a table with a column per field. Fields of nested objects become columns such as `limit.slots`;
 * fields of `spec` become columns without the prefix `spec.`.
 */
export function formatTable(rows: readonly object[]): string {
    const cellsByColumn = rows.map(row => collectCells(row));
    const columns = [...new Set(cellsByColumn.flatMap(row => [...row.keys()]))];
    if (columns.length === 0) {
        return "none\n";
    }
    const lines = [
        columns.map(column => column.toUpperCase()),
        ...cellsByColumn.map(row => columns.map(name => row.get(name) ?? "-")),
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
        const column = name === "spec" ? prefix : `${prefix}${name}`;
        if (typeof field === "object" && field !== null && !Array.isArray(field)) {
            collectCells(field, column === "" ? "" : `${column}.`, cells);
        }
        else if (field !== undefined) {
            cells.set(column, formatCell(field));
        }
    }
    return cells;
}

function formatCell(value: unknown): string {
    // Values may come from other operators; control characters in them could manipulate the terminal.
    const text = (typeof value === "string" ? value : JSON.stringify(value)).replace(/\p{Cc}/gu, " ");
    return text.length > maxCellLength ? `${text.slice(0, maxCellLength - 1)}…` : text;
}
