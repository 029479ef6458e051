/**
 * Section `control`: what each program costs at several sizes of the quantities that drive it, with fitted slopes.
 */
import { controlDrivers } from "./control-drivers.js";
import type { ControlDriver } from "./control-drivers.js";
import type { ControlSample } from "./control-sample.js";
import { computeFit } from "./fit-line.js";
import type { Figure, SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";

interface Measurement {
    readonly size: number;
    readonly sample: ControlSample;
}

/** Measures every quantity at every size, one after the other. */
export async function runControlCost(): Promise<SectionReport> {
    const lines: string[] = [];
    const figures: Figure[] = [];
    for (const driver of controlDrivers) {
        const measurements: Measurement[] = [];
        for (const size of driver.sizes) {
            try {
                measurements.push({ size, sample: await driver.measure(size) });
            }
            catch (error) {
                lines.push(`${driver.name} ${size}: not measured: ${String(error)}`);
            }
        }
        const report = createDriverReport(driver, measurements);
        lines.push(...report.lines, "");
        figures.push(...report.figures);
    }
    return { section: "control", lines, figures, goals: [] };
}

function createDriverReport(
    { name, unit }: ControlDriver,
    measurements: readonly Measurement[],
): Pick<SectionReport, "lines" | "figures"> {
    const values = measurements.map(({ size, sample }) => ({ size, values: new Map(listValues(sample)) }));
    const quantities = [...new Set(values.flatMap(measured => [...measured.values.keys()]))];
    const figures: Figure[] = [];
    const rows = quantities.map(quantity => {
        const points = values.map(measured => ({ x: measured.size, y: measured.values.get(quantity) ?? 0 }));
        figures.push(...points.map(({ x, y }) => ({ name: `control.${name}.${x}.${quantity}`, value: y, unit: "" })));
        if (points.length < 3) {
            return [quantity, ...points.map(point => formatNumber(point.y)), "-", "-", "-"];
        }
        const fit = computeFit(points);
        figures.push({ name: `control.${name}.slope.${quantity}`, value: fit.slope, unit: `per ${unit}` });
        figures.push({ name: `control.${name}.intercept.${quantity}`, value: fit.intercept, unit: "" });
        return [
            quantity,
            ...points.map(point => formatNumber(point.y)),
            formatNumber(fit.slope),
            formatNumber(fit.intercept),
            formatNumber(fit.determination),
        ];
    });
    const header = [
        `${name} (${unit})`,
        ...measurements.map(measured => String(measured.size)),
        "slope",
        "at 0",
        "R2",
    ];
    return { lines: formatTable([header, ...rows]), figures };
}

function listValues(sample: ControlSample): readonly (readonly [string, number])[] {
    return [
        ...Object.entries(sample.costs).flatMap(([program, cost]) => [
            [`${program} CPU %`, cost.cpuPercent] as const,
            [`${program} MB`, cost.residentMb] as const,
            [`${program} sent B/s`, cost.sentPerSecond] as const,
        ]),
        ["links in own zone B/s", sample.ownZoneBytes],
        ["links in own region B/s", sample.ownRegionBytes],
        ["links to other regions B/s", sample.otherRegionBytes],
        ["store value B/s", sample.storeBytes],
        ...Object.entries(sample.storeCalls).map(([cause, rate]) => [`store ${cause}/s`, rate] as const),
    ];
}
