import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";

describe("HttpClient", () => {
    describe("in a process that is paused before its connection is made", () => {
        it("sends no order later than the call's time", async () => {
            // Guards against an order of a paused process that goes out after its permission has run out.
            const received: number[] = [];
            const server = createServer((_request, response) => {
                received.push(performance.now());
                response.end("{}");
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
            const code = `
                import { HttpClient } from ${JSON.stringify(new URL("./http-client.js", import.meta.url).href)};
                const client = new HttpClient("test", { url: ${JSON.stringify(url)} });
                const sent = client.send({ operation: "order", method: "POST", path: "/", body: "{}", timeoutMs: 300 });
                process.kill(process.pid, "SIGSTOP");
                console.log(JSON.stringify(await sent));
                client.close();`;
            const child = spawn(process.execPath, ["--input-type=module", "-e", code], {
                stdio: ["ignore", "pipe", 2],
            });
            let output = "";
            child.stdout?.on("data", chunk => output += String(chunk));
            await new Promise(resolve => setTimeout(resolve, 3_000));
            child.kill("SIGCONT");
            await once(child, "exit");
            await new Promise(resolve => setTimeout(resolve, 200));
            server.close();
            expect(output).toInclude("timedOut");
            expect(received.length).toEqual(0);
        });
    });
});
