/** Group-committed, recoverable records of the jobs of a shard. */
export { countIndexes, hasIndex, mergeIndexRanges, subtractIndexRanges, toIndexRanges } from "./index-ranges.js";
export type { JobTable, Retention } from "./job-table.js";
export { Journal } from "./journal.js";
export type { JournalOptions } from "./options.js";
export { readJournal } from "./recovery.js";
export type { JournalContent } from "./recovery.js";
export type { IndexRange, JournalJob, JournalOutcome, JournalRecord } from "./types.js";
