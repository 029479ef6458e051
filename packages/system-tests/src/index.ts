/** Tests that run the scenario files, in process and over real processes. */
export {};
