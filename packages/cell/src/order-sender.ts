/** Sends the decisions of a scheduler tick to the executors and logs each of them. */
import type { ExecutorId } from "@waxwingroute/core";
import type { LogWriter, Supervisor } from "@waxwingroute/telemetry";
import type { StartDecision, StopDecision, ThrottleDecision, TickDecisions } from "@waxwingroute/workflow";
import type { ExecutorSession } from "./executor-session.js";

/** The sessions and callbacks of an order sender. */
export interface OrderSenderOptions {
    readonly logger: LogWriter;
    readonly supervisor: Supervisor;
    readonly getSession: (executor: ExecutorId) => ExecutorSession | undefined;
    /** Called when an executor did not confirm a throttle order, so that its effect is unknown. */
    readonly onThrottleUnconfirmed: (throttle: ThrottleDecision) => void;
}

/** Passes starts, stops and throttle orders to the sessions of their executors. */
export class OrderSender {
    constructor(private readonly options: OrderSenderOptions) {}

    send({ starts, stops, throttles }: Omit<TickDecisions, "changes">): void {
        starts.forEach(start => this.sendStart(start));
        stops.forEach(stop => this.sendStop(stop));
        throttles.forEach(throttle => {
            const { executor, task } = throttle;
            this.options.supervisor.start("throttle", { executor, task }, () => this.sendThrottle(throttle));
        });
    }

    private sendStart(start: StartDecision): void {
        const { executor, task, run, slackMs, checkpoint, isProbe, earlierRun } = start;
        if (earlierRun !== undefined) {
            this.options.logger.write("info", "task starts again", {
                executor,
                task,
                run,
                earlierRun: earlierRun.run,
                earlierExecutor: earlierRun.executor,
                outcome: earlierRun.outcome,
                source: earlierRun.source,
                ageMs: Math.round(earlierRun.ageMs),
            });
        }
        this.options.logger.write("info", "start", {
            executor,
            task,
            run,
            slackMs: Math.round(slackMs),
            resumes: checkpoint !== "",
            isProbe: isProbe || undefined,
        });
        this.options.getSession(executor)?.startRun(start);
    }

    private sendStop({ executor, task, run, reason, percent }: StopDecision): void {
        this.options.logger.write("info", "stop", { executor, task, run, reason, percent });
        this.options.getSession(executor)?.startStop(task, run);
    }

    private async sendThrottle(throttle: ThrottleDecision): Promise<void> {
        const { executor, task, run, percent } = throttle;
        const isConfirmed = await this.options.getSession(executor)?.throttle(task, run, percent) ?? false;
        this.options.logger.write("info", "pace", { executor, task, run, percent, isConfirmed });
        if (!isConfirmed) {
            this.options.onThrottleUnconfirmed(throttle);
        }
    }
}
