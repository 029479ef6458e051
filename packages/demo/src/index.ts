/** Starts a layout on stand-ins and drives it through the command line and HTTP. The program is `main.ts`. */
export {};
