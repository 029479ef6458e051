/** The state machine that decides which entry host may place work in a shard. */
export {};
