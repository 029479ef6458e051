/**
 * Figures, goals and their comparison with an earlier run.
 */

/** One measured value. */
export interface Figure {
    /** Stable name, for example `decisions.700.1000.perSecond`. */
    readonly name: string;
    readonly value: number;
    readonly unit: string;
}

/** A figure with a bound that was stated before the measurement. */
export interface Goal {
    readonly name: string;
    readonly value: number;
    readonly unit: string;
    readonly bound: number;
    readonly direction: "atLeast" | "below";
}

/** What one section measured. */
export interface SectionReport {
    readonly section: string;
    readonly lines: readonly string[];
    readonly figures: readonly Figure[];
    readonly goals: readonly Goal[];
}

/** The result of one run, as written with `--output json`. */
export interface BenchReport {
    readonly seed: number;
    readonly nodeVersion: string;
    readonly sections: readonly SectionReport[];
}

export function isGoalMet(goal: Goal): boolean {
    return goal.direction === "atLeast" ? goal.value >= goal.bound : goal.value < goal.bound;
}

/** Returns a number with three significant digits. */
export function formatNumber(value: number): string {
    if (!Number.isFinite(value)) {
        return "-";
    }
    return Math.abs(value) >= 1000 ? Math.round(value).toLocaleString("en") : String(Number(value.toPrecision(3)));
}

/** Returns rows of cells as lines with aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
    const columnCount = Math.max(0, ...rows.map(row => row.length));
    const widths = Array.from(
        { length: columnCount },
        (_, column) => Math.max(...rows.map(row => (row[column] ?? "").length)),
    );
    return rows.map(row =>
        row
            .map((cell, column) => column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0))
            .join("  ")
    );
}

/** Returns a section for people: its lines, and each goal as met or missed. */
export function formatSection(report: SectionReport): string[] {
    const goals = report.goals.map(goal => {
        const relation = goal.direction === "atLeast" ? "at least" : "below";
        const verdict = isGoalMet(goal) ? "met   " : "MISSED";
        return `${verdict} ${goal.name}: ${formatNumber(goal.value)} ${goal.unit}, goal ${relation} `
            + `${formatNumber(goal.bound)} ${goal.unit}`;
    });
    return [`== ${report.section} ==`, ...report.lines, ...goals, ""];
}

/** Returns the figures that differ by more than 5% from an earlier run. */
export function compareReports(current: BenchReport, baseline: BenchReport): string[] {
    const earlier = new Map(baseline.sections.flatMap(section => section.figures).map(figure => [figure.name, figure]));
    const lines = [`== compared with the baseline (seed ${baseline.seed}), changes of more than 5% ==`];
    for (const figure of current.sections.flatMap(section => section.figures)) {
        const before = earlier.get(figure.name);
        if (before === undefined) {
            lines.push(`${figure.name}: ${formatNumber(figure.value)} ${figure.unit}, not in the baseline`);
        }
        else if (Math.abs(figure.value - before.value) > 0.05 * Math.abs(before.value)) {
            const percent = before.value === 0 ? "from 0" : formatPercent(figure.value / before.value - 1);
            lines.push(
                `${figure.name}: ${formatNumber(before.value)} -> ${
                    formatNumber(figure.value)
                } ${figure.unit} (${percent})`,
            );
        }
    }
    return lines;
}

function formatPercent(ratio: number): string {
    return `${ratio > 0 ? "+" : ""}${Math.round(ratio * 100)}%`;
}
