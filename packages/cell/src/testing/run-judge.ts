/** Judges what fake executors ran: no task in two places, none again after an acknowledged end. */
import type { ExecutorId } from "@waxwingroute/core";
import type { RunOutcome, TaskKey } from "@waxwingroute/workflow";

interface TaskRecord {
    readonly running: Map<number, ExecutorId>;
    readonly done: Set<number>;
    isDoneAcknowledged: boolean;
    starts: number;
}

export class RunJudge {
    readonly violations: string[] = [];
    private readonly tasks = new Map<TaskKey, TaskRecord>();

    /** Number of starts of all tasks. */
    get startCount(): number {
        return [...this.tasks.values()].reduce((sum, task) => sum + task.starts, 0);
    }

    recordStart(executor: ExecutorId, task: TaskKey, run: number): void {
        const record = this.getRecord(task);
        record.starts += 1;
        for (const [other, place] of record.running) {
            this.violations.push(`${task}: run ${run} on ${executor} while run ${other} is on ${place}`);
        }
        if (record.isDoneAcknowledged) {
            this.violations.push(`${task}: run ${run} on ${executor} after an acknowledged end`);
        }
        record.running.set(run, executor);
    }

    recordEnd(task: TaskKey, run: number, outcome: RunOutcome): void {
        const record = this.getRecord(task);
        record.running.delete(run);
        if (outcome === "done") {
            record.done.add(run);
        }
    }

    recordLost(task: TaskKey, run: number): void {
        this.getRecord(task).running.delete(run);
    }

    recordAcknowledged(task: TaskKey, run: number): void {
        const record = this.getRecord(task);
        record.isDoneAcknowledged ||= record.done.has(run);
    }

    isDone(task: TaskKey): boolean {
        return (this.tasks.get(task)?.done.size ?? 0) > 0;
    }

    private getRecord(task: TaskKey): TaskRecord {
        const existing = this.tasks.get(task);
        if (existing !== undefined) {
            return existing;
        }
        const created: TaskRecord = { running: new Map(), done: new Set(), isDoneAcknowledged: false, starts: 0 };
        this.tasks.set(task, created);
        return created;
    }
}
