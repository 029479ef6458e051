/**
 * The sections that start real processes.
 */
import { runControlCost } from "./control-cost.js";
import { runRecovery } from "./recovery.js";
import type { SectionReport } from "./report.js";
import { runRequestPath } from "./request-path.js";

export interface ProcessSection {
    readonly run: () => Promise<SectionReport>;
    /** Whether a run without `--only` includes it. */
    readonly isDefault: boolean;
}

export const processSections: Readonly<Record<string, ProcessSection>> = {
    path: { run: runRequestPath, isDefault: true },
    // These take minutes.
    recovery: { run: runRecovery, isDefault: false },
    control: { run: runControlCost, isDefault: false },
};

/** Returns the names of the sections that a run without `--only` includes. */
export function listProcessSections(): readonly string[] {
    return Object.entries(processSections).filter(([, section]) => section.isDefault).map(([name]) => name);
}
