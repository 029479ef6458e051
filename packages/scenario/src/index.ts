/** A small language for failure scenarios, its parser and its runner. */
export { ChildProgram } from "./child-program.js";
export type { ChildProgramOptions } from "./child-program.js";
export type { EntryHost, LinkBytes } from "./cluster-plan.js";
export { InProcessSystem, InProcessWorld } from "./in-process-world.js";
export type { InProcessWorldOptions } from "./in-process-world.js";
export { createJobSpec } from "./operator-client.js";
export { parseScenario } from "./parse-scenario.js";
export { ProcessWorld } from "./process-world.js";
export type { ProcessWorldOptions } from "./process-world.js";
export { runScenario, runScenarioFile } from "./run-scenario.js";
export type { RunOptions, ScenarioSummary } from "./run-scenario.js";
export { ScenarioWorld } from "./scenario-world.js";
export type { JobRecord, Observation, RequestRecord, ResourceWrite } from "./scenario-world.js";
export type { OutgoingRequest, RequestReply } from "./submissions.js";
export type {
    Action,
    Expectation,
    JobState,
    JobSubmission,
    ProcessState,
    RequestState,
    RequestSubmission,
    Step,
} from "./types.js";
export { readWorldFile } from "./world-file.js";
