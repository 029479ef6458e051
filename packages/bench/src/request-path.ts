/**
 * Section `path`: what the way of a request through an entry host costs, and what happens above its peak.
 */
import { headers } from "./executor-headers.js";
import type { LoadResult, LoadTarget } from "./load-generator.js";
import { runLoad } from "./load-generator.js";
import type { DeclaredTeam } from "./process-zone.js";
import { ProcessZone } from "./process-zone.js";
import type { SectionReport } from "./report.js";
import { formatNumber, formatTable } from "./report.js";

const teamCount = 4;
const closedMs = 5_000;
const openMs = 6_000;
const closedConcurrency = 64;
/** Rate of the latency comparison, well below the peak so that no queue forms. */
const latencyRate = 300;
const overloadConcurrency = 4_000;
const deadlineMs = 2_000;
const body = Buffer.alloc(64, "x");

interface MeteredResult {
    readonly result: LoadResult;
    /** Processor time of the system's programs, in milliseconds. */
    readonly cpuMs: number;
    readonly cpuByProgram: Readonly<Record<string, number>>;
}

/** Measures the request path over real processes. */
export async function runRequestPath(): Promise<SectionReport> {
    const zone = new ProcessZone();
    try {
        await zone.open();
        const teams = await zone.createTeams(teamCount);
        const refusedTeam = await createFullTeam(zone);
        const owner = await zone.findOwner("glasgow") ?? "glasgow-1";
        return await measure(zone, owner, teams, refusedTeam);
    }
    finally {
        await zone.close();
    }
}

/** Declares a team without slots and without a queue, so that the owner refuses each of its requests. */
async function createFullTeam(zone: ProcessZone): Promise<DeclaredTeam> {
    const team = "full";
    await zone.create("Team", team, { limit: { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 } });
    await zone.create("Queue", team, { access: "team", team, maximumWaiting: 0 });
    const key = await zone.create("Key", team, { team });
    await zone.awaitRevisions();
    return { team, secret: String(key["secret"]) };
}

async function measure(
    zone: ProcessZone,
    owner: string,
    teams: readonly DeclaredTeam[],
    refusedTeam: DeclaredTeam,
): Promise<SectionReport> {
    const direct = createDirectTargets(zone);
    const entry = teams.map(team => createEntryTarget(zone, owner, team));
    const refusals = [createEntryTarget(zone, owner, refusedTeam)];
    const closed = { durationMs: closedMs, concurrency: closedConcurrency };
    // The first run warms up both paths and lets the owner ask for grants.
    await runLoad({ targets: [...direct, ...entry], durationMs: 3_000, concurrency: closedConcurrency });
    const directPeak = await measureRun(zone, () => runLoad({ targets: direct, ...closed }));
    const peak = await measureRun(zone, () => runLoad({ targets: entry, ...closed }));
    const open = { durationMs: openMs, concurrency: overloadConcurrency };
    const directLatency = await measureRun(
        zone,
        () => runLoad({ targets: direct, ...open, ratePerSecond: latencyRate }),
    );
    const entryLatency = await measureRun(zone, () => runLoad({ targets: entry, ...open, ratePerSecond: latencyRate }));
    const peakRate = toRate(peak.result.served, peak.result);
    const overload = await measureRun(
        zone,
        () => runLoad({ targets: entry, ...open, ratePerSecond: Math.round(peakRate * 2) }),
    );
    const refused = await measureRun(zone, () => runLoad({ targets: refusals, ...closed }));
    const records = await zone.readCounts();
    const rows = { directPeak, peak, directLatency, entryLatency, overload, refused };
    return createReport(rows, records.repeatedRequests.length + records.overloads.length);
}

async function measureRun(zone: ProcessZone, run: () => Promise<LoadResult>): Promise<MeteredResult> {
    const before = zone.readUsage();
    const result = await run();
    const cpuByProgram = Object.fromEntries(
        [...zone.readUsage()].map(([name, usage]) => [name, usage.cpuMs - (before.get(name)?.cpuMs ?? 0)]),
    );
    return { result, cpuByProgram, cpuMs: Object.values(cpuByProgram).reduce((sum, cpuMs) => sum + cpuMs, 0) };
}

function createEntryTarget(zone: ProcessZone, host: string, { team, secret }: DeclaredTeam): LoadTarget {
    const fixed = {
        "authorization": `Bearer ${secret}`,
        "content-type": "application/octet-stream",
        "waxwing-deadline-ms": String(deadlineMs),
    };
    return { url: `${zone.world.getUrl(host, "entry")}/v1/queues/${team}/requests`, createHeaders: () => fixed, body };
}

function createDirectTargets(zone: ProcessZone): readonly LoadTarget[] {
    let sequence = 0;
    return zone.world.addresses.executors.map(({ url }) => ({
        url: `${url}${headers.path}`,
        createHeaders: () => headers.create(`direct-${sequence++}`, deadlineMs),
        body,
    }));
}

function createReport(rows: Readonly<Record<string, MeteredResult>>, violations: number): SectionReport {
    const get = (name: string) => rows[name] as MeteredResult;
    const { peak, overload, refused, directLatency, entryLatency } = {
        peak: get("peak"),
        overload: get("overload"),
        refused: get("refused"),
        directLatency: get("directLatency").result.latency,
        entryLatency: get("entryLatency").result.latency,
    };
    const peakRate = toRate(peak.result.served, peak.result);
    const share = toRate(overload.result.served, overload.result) / peakRate;
    const servedCost = peak.cpuMs / peak.result.served;
    const refusedCost = refused.cpuMs / Math.max(1, refused.result.refused);
    const countOthers = ({ others }: LoadResult) => Object.values(others).reduce((sum, count) => sum + count, 0);
    const addedMs = (percentile: number) =>
        (entryLatency.getValueAtPercentile(percentile) - directLatency.getValueAtPercentile(percentile)) / 1_000;
    const figures = [
        { name: "path.peak", value: peakRate, unit: "requests/s" },
        {
            name: "path.directPeak",
            value: toRate(get("directPeak").result.served, get("directPeak").result),
            unit: "requests/s",
        },
        { name: "path.addedP50", value: addedMs(50), unit: "ms" },
        { name: "path.addedP99", value: addedMs(99), unit: "ms" },
        { name: "path.servedCost", value: servedCost, unit: "CPU ms" },
        { name: "path.refusedCost", value: refusedCost, unit: "CPU ms" },
    ];
    return {
        section: "path",
        lines: [
            `${teamCount} teams, 33 executors of 8 slots, 64-byte bodies, one log line per decision, through the owner's entry host`,
            ...formatTable([
                ["run", "sent/s", "served/s", "not run/s", "other", "skipped", "p50 ms", "p99 ms", "CPU ms/request"],
                ...Object.entries(rows).map(([name, row]) => formatRow(name, row)),
            ]),
            ...Object.entries(rows).map(([name, { result, cpuByProgram }]) =>
                `${name}: codes ${JSON.stringify(result.codes)}, others ${JSON.stringify(result.others)}, CPU ms ${
                    JSON.stringify(cpuByProgram)
                }`
            ),
            ...figures.map(figure => `${figure.name}: ${formatNumber(figure.value)} ${figure.unit}`),
        ],
        figures,
        goals: [
            {
                name: "useful answers at 2x the peak",
                value: share * 100,
                unit: "% of the peak",
                bound: 90,
                direction: "atLeast",
            },
            {
                name: "refusals without \"not run\"",
                value: countOthers(overload.result) + countOthers(refused.result),
                unit: "requests",
                bound: 1,
                direction: "below",
            },
            {
                name: "cost of a refused request",
                value: refusedCost / servedCost * 100,
                unit: "% of a served one",
                bound: 10,
                direction: "below",
            },
            {
                name: "overloaded executors and repeated requests",
                value: violations,
                unit: "records",
                bound: 1,
                direction: "below",
            },
        ],
    };
}

function formatRow(name: string, { result, cpuMs }: MeteredResult): readonly string[] {
    const latency = result.served > 0 ? result.latency : result.refusalLatency;
    return [
        name,
        formatNumber(toRate(result.sent, result)),
        formatNumber(toRate(result.served, result)),
        formatNumber(toRate(result.refused, result)),
        String(Object.values(result.others).reduce((sum, count) => sum + count, 0)),
        String(result.skipped),
        formatNumber(latency.getValueAtPercentile(50) / 1_000),
        formatNumber(latency.getValueAtPercentile(99) / 1_000),
        formatNumber(cpuMs / Math.max(1, result.sent)),
    ];
}

const toRate = (count: number, { elapsedMs }: LoadResult) => count / elapsedMs * 1_000;
