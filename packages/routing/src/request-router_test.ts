import { expect } from "earl";
import { describe, it } from "node:test";
import { RouterFixture } from "./testing/router-fixture.js";

describe("RequestRouter", () => {
    describe("execute", () => {
        // Guards against answers that reach another caller.
        it("gives each of many callers its own answer", async () => {
            const fixture = new RouterFixture();
            await fixture.run(10);
            const texts = Array.from({ length: 50 }, (_, index) => `request ${index}`);
            const pending = texts.map(text => fixture.router.execute(fixture.createRequest(text)));
            await fixture.run(500);
            const results = await Promise.all(pending);
            expect(results.map(result => result.ok ? Buffer.from(result.val.body).toString() : result.val.code))
                .toEqual(texts);
            expect(fixture.executors.map(executor => executor.maxRunning)).toEqual([2, 2]);
        });
    });
});
