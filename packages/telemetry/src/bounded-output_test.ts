import { expect } from "earl";
import { describe, it } from "node:test";
import { BoundedOutput } from "./bounded-output.js";

/** A pipe with room for some bytes. */
class FakePipe {
    room = Infinity;
    text = "";

    write(bytes: Buffer): number {
        if (this.room === 0) {
            throw Object.assign(new Error("full"), { code: "EAGAIN" });
        }
        const taken = bytes.subarray(0, Math.min(this.room, bytes.length));
        this.text += taken.toString("utf8");
        this.room -= taken.length;
        return taken.length;
    }
}

describe("BoundedOutput", () => {
    it("loses nothing when the pipe takes only a part", () => {
        // Guards against log lines that were cut in the middle whenever a batch was larger than the pipe.
        const pipe = new FakePipe();
        const output = new BoundedOutput({ write: bytes => pipe.write(bytes) });
        pipe.room = 5;
        output.append("first line\n");
        expect(pipe.text).toEqual("first");
        pipe.room = Infinity;
        output.append("second line\n");
        expect(pipe.text).toEqual("first line\nsecond line\n");
        expect(output.dropped).toEqual(0);
    });

    it("drops whole batches beyond its bound and counts them", () => {
        const pipe = new FakePipe();
        const output = new BoundedOutput({ write: bytes => pipe.write(bytes), maxKeptBytes: 10 });
        pipe.room = 0;
        output.append("12345\n");
        output.append("67890\n");
        pipe.room = Infinity;
        output.flush();
        expect(pipe.text).toEqual("12345\n");
        expect(output.dropped).toEqual(1);
    });

    it("does not throw when nobody reads the pipe", () => {
        const output = new BoundedOutput({
            write: () => {
                throw Object.assign(new Error("closed"), { code: "EPIPE" });
            },
        });
        output.append("line\n");
        expect(output.dropped).toEqual(1);
        expect(output.hasKept).toEqual(false);
    });
});
