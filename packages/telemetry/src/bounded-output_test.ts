import { expect } from "earl";
import { describe, it } from "node:test";
import { BoundedOutput } from "./bounded-output.js";

/** A pipe that accepts a limited number of bytes. */
class FakePipe {
    capacity = Infinity;
    text = "";

    write(bytes: Buffer): number {
        if (this.capacity === 0) {
            throw Object.assign(new Error("full"), { code: "EAGAIN" });
        }
        const taken = bytes.subarray(0, Math.min(this.capacity, bytes.length));
        this.text += taken.toString("utf8");
        this.capacity -= taken.length;
        return taken.length;
    }
}

describe("BoundedOutput", () => {
    // Guards against log lines that are cut in the middle when a batch is larger than the pipe.
    it("writes every byte when the pipe accepts only a part at a time", () => {
        const pipe = new FakePipe();
        const output = new BoundedOutput({ write: bytes => pipe.write(bytes) });
        pipe.capacity = 5;
        output.append("first line\n");
        expect(pipe.text).toEqual("first");
        pipe.capacity = Infinity;
        output.append("second line\n");
        expect(pipe.text).toEqual("first line\nsecond line\n");
        expect(output.droppedBatches).toEqual(0);
    });

    // Guards against memory that grows while nobody reads the pipe, and against dropping parts of lines.
    it("drops whole batches beyond its limit and counts them", () => {
        const pipe = new FakePipe();
        const output = new BoundedOutput({ write: bytes => pipe.write(bytes), maxPendingBytes: 10 });
        pipe.capacity = 0;
        output.append("12345\n");
        output.append("67890\n");
        pipe.capacity = Infinity;
        output.flush();
        expect(pipe.text).toEqual("12345\n");
        expect(output.droppedBatches).toEqual(1);
    });

    // Guards against a program that ends because the reader of its logs has ended.
    it("does not throw when the pipe is closed", () => {
        const output = new BoundedOutput({
            write: () => {
                throw Object.assign(new Error("closed"), { code: "EPIPE" });
            },
        });
        output.append("line\n");
        expect(output.droppedBatches).toEqual(1);
        expect(output.hasPending).toEqual(false);
    });
});
