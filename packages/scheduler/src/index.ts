/** The program that owns shards: placement, executor slots, journal and configuration relay. */
export {};
