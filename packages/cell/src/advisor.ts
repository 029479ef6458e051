/** The service that knows which executors may run a step. */
import type { ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { AdviceGrant, StepKey } from "@waxwingroute/workflow";

export abstract class Advisor {
    /** Asks which of the named executors may run the step. The service answers one call at a time for each host. */
    abstract ask(
        step: StepKey,
        executors: readonly ExecutorId[],
        timeoutMs: number,
    ): Promise<Result<readonly AdviceGrant[], Failure>>;
}
