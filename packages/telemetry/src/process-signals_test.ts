import { expect } from "earl";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import { ProcessSignals } from "./process-signals.js";

describe("ProcessSignals", () => {
    describe("a signal that comes before the program can handle it", () => {
        // Guards against a stop or a change of the settings that is forgotten because it came during the start.
        it("is kept once and passed to the listener at once", () => {
            const source = new EventEmitter();
            const signals = new ProcessSignals(source);
            ["SIGHUP", "SIGTERM", "SIGTERM", "SIGINT"].forEach(signal => source.emit(signal));
            expect(signals.has("stop")).toEqual(true);
            const stops: string[] = [];
            signals.handle("stop", signal => stops.push(signal));
            expect(stops).toEqual(["SIGTERM", "SIGINT"]);
            expect(signals.has("stop")).toEqual(false);
            expect(signals.has("reload")).toEqual(true);
        });
    });

    describe("a signal that comes later", () => {
        // Guards against a signal that is passed to the listener of another purpose, or not at all.
        it("is passed to the listener of its purpose", () => {
            const source = new EventEmitter();
            const signals = new ProcessSignals(source);
            const received: string[] = [];
            signals.handle("stop", signal => received.push(`stop ${signal}`));
            signals.handle("reload", signal => received.push(`reload ${signal}`));
            signals.handle("unused", signal => received.push(`unused ${signal}`));
            ["SIGHUP", "SIGUSR1", "SIGTERM", "SIGHUP"].forEach(signal => source.emit(signal));
            expect(received).toEqual(["reload SIGHUP", "unused SIGUSR1", "stop SIGTERM", "reload SIGHUP"]);
        });
    });
});
