/** Seeded runs of real host processes under overlapping faults, judged by the stand-ins' own records. */
export type { Breaks } from "./checks.js";
export { isShapeName, shapes } from "./shapes.js";
export type { Shape, ShapeName } from "./shapes.js";
export { SoakRun } from "./soak-run.js";
export type { SoakOptions, SoakResult } from "./soak-run.js";
