/** The JSON settings of the programs and their checks. */
export {};
