/** Group-committed, recoverable records of the jobs of a shard. */
export {};
