/** The program that serves the resource interface to operators. */
export {};
