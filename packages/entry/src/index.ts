/** The program that takes requests from callers. */
export {};
