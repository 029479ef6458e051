/** Pure placement decisions over tables of workers, jobs and teams. */
export {};
