/** Splits each team's upper limit into grants to shards. */
export {};
