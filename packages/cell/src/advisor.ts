/** The external service that decides which executors may run a step. */
import type { ExecutorId, Failure, Result } from "@waxwingroute/core";
import type { AdviceGrant, StepKey } from "@waxwingroute/workflow";

/** Client of the service. Adapters implement the call. */
export abstract class Advisor {
    /** Asks which of the given executors may run the step. The service processes one call of each host at a time. */
    abstract ask(
        step: StepKey,
        executors: readonly ExecutorId[],
        timeoutMs: number,
    ): Promise<Result<readonly AdviceGrant[], Failure>>;
}
