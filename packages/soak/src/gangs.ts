/** The gangs of all executors: members wait for each other, work together, and end together. */
import type { RunEndKind, RunRecord } from "./run-record.js";

/** Time that a member waits for the others, ms. */
const gangMs = 3_000;

/** A member as its executor sees it. */
export interface GangMember {
    /** Called when all members are present. */
    readonly onComplete: () => void;
    /** Called when the member ends. */
    readonly onEnd: (kind: RunEndKind) => void;
}

/** One run of a gang: how many members it has, and how it works once they are present. */
export interface GangRun {
    /** Step and run. */
    readonly key: string;
    readonly size: number;
    readonly workMs: number;
    /** Whether one of the members ends as failed. */
    readonly isFailure: boolean;
}

interface Gang {
    readonly run: GangRun;
    readonly members: Map<string, GangMember>;
    timer: NodeJS.Timeout | undefined;
}

/** Keeps the members that are present. */
export class Gangs {
    private readonly gangs = new Map<string, Gang>();
    private readonly waits = new Set<NodeJS.Timeout>();

    constructor(private readonly record: RunRecord) {}

    /** Adds a member. It works from the time when all are present, and ends alone if they are not in time. */
    add(run: GangRun, task: string, member: GangMember): void {
        const gang = this.gangs.get(run.key) ?? { run, members: new Map<string, GangMember>(), timer: undefined };
        this.gangs.set(run.key, gang);
        gang.members.set(task, member);
        if (gang.members.size === run.size) {
            this.record.write("gang-complete", { gang: run.key, size: run.size });
            gang.members.forEach(({ onComplete }) => onComplete());
            gang.timer = setTimeout(() => this.finish(gang), run.workMs);
            return;
        }
        const wait = setTimeout(() => {
            this.waits.delete(wait);
            if (gang.timer === undefined && gang.members.get(task) === member) {
                gang.members.delete(task);
                member.onEnd("alone");
            }
        }, gangMs);
        this.waits.add(wait);
    }

    /** Removes a member that ended by itself, which ends the others. */
    remove(key: string, task: string): void {
        const gang = this.gangs.get(key);
        if (gang?.members.delete(task) === true) {
            this.endAll(gang, () => "broken");
        }
    }

    close(): void {
        this.waits.forEach(wait => clearTimeout(wait));
        this.gangs.forEach(gang => clearTimeout(gang.timer));
    }

    private finish(gang: Gang): void {
        const [first] = gang.members.keys();
        this.endAll(gang, task => !gang.run.isFailure ? "done" : task === first ? "failed" : "broken");
    }

    private endAll(gang: Gang, chooseEnd: (task: string) => RunEndKind): void {
        clearTimeout(gang.timer);
        this.gangs.delete(gang.run.key);
        const members = [...gang.members];
        gang.members.clear();
        members.forEach(([task, { onEnd }]) => onEnd(chooseEnd(task)));
    }
}
