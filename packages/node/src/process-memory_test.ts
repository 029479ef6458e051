/** Guards against a host that callers can drive beyond its memory. Each test runs a real process. */
import { expect } from "earl";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { RealHost } from "./testing/real-host.js";

const memoryMb = 200;
const bodyBytes = 262_000;
/** 157 MB of bodies, of which an eighth of the memory, 25 MB, may be held: 95 bodies. */
const connections = 600;
const head = "POST /a/0123456789abcdef HTTP/1.1\r\nhost: a.example\r\n";

describe("memory of a host", () => {
    let host: RealHost | undefined;

    afterEach(async () => {
        await host?.close();
        host = undefined;
    });

    describe("with bodies whose last byte does not come", () => {
        // Guards against bodies that are read until the platform ends the process.
        it("refuses those beyond its share at once and finishes the others", async () => {
            host = await RealHost.start({ settings: { memoryMb } });
            const body = Buffer.alloc(bodyBytes - 1, "x");
            const replies = await sendBodies(host, `${head}content-length: ${bodyBytes}\r\n\r\n`, body);
            expect(host.readPeakMemory()).toBeLessThan(memoryMb * 1_000_000);
            const refused = replies.filter(reply => reply.text.startsWith("HTTP/1.1 503"));
            expect(refused.length >= 450 && refused.length < connections).toEqual(true);
            expect(refused.every(({ text }) => /retry-after: 1\r\n/i.test(text) && text.includes("no-memory"))).toEqual(
                true,
            );
            expect([(await host.call("GET", "/a/")).status, (await host.readReadiness()).status]).toEqual([503, 503]);
            expect((await host.call("GET", "/a/")).text.includes("not-configured")).toEqual(true);
            expect(await host.readMetric("body_bytes")).toBeGreaterThan(20_000_000);
            expect(await host.readMetric("rejected_calls")).toEqual(refused.length);
            expect(host.countLogLines("refused for lack of a resource") <= 10).toEqual(true);
            // A body that was being read gets its own reply, and its memory is free afterwards.
            const read = replies.filter(reply => reply.text === "");
            read.forEach(({ socket }) => socket.write("x"));
            await host.waitFor(
                "every body has a reply",
                () => read.every(reply => reply.text.includes("not-configured")),
            );
            await host.waitFor("the memory is free", async () => await host?.readMetric("body_bytes") === 0);
        });
    });

    describe("with bodies of unknown length", () => {
        // Guards against a bound that holds only for bodies whose length is stated, and against the memory that many
        // small chunks take beside their bytes.
        it("refuses those that arrive when its share is used up", async () => {
            host = await RealHost.start({ settings: { memoryMb } });
            const body = Buffer.from(`64\r\n${"x".repeat(100)}\r\n`.repeat(2_600));
            const replies = await sendBodies(host, `${head}transfer-encoding: chunked\r\n\r\n`, body, 300);
            await host.waitFor(
                "bodies are refused",
                () => replies.some(({ text }) => text.startsWith("HTTP/1.1 503") && text.includes("no-memory")),
            );
            expect(host.readPeakMemory()).toBeLessThan(memoryMb * 1_000_000);
        });
    });

    describe("with more memory in use than the platform allows", () => {
        // Guards against a host that takes further jobs until the platform ends it.
        it("refuses a job before its body has come, and is not ready", async () => {
            host = await RealHost.start({ settings: { memoryMb: 40 } });
            const [reply] = await sendBodies(host, `${head}content-length: 1000\r\n\r\n`, Buffer.alloc(0), 1);
            await host.waitFor("the job is refused", () => reply?.text.startsWith("HTTP/1.1 503") === true, 1_000);
            expect(reply?.text.includes("no-memory")).toEqual(true);
            expect((await host.readReadiness()).text.includes("no memory for further jobs")).toEqual(true);
        });
    });
});

interface CallerReply {
    readonly socket: Socket;
    text: string;
}

/** Sends a head and a body over each of the connections, in groups, and waits until no further reply comes. */
async function sendBodies(host: RealHost, start: string, body: Buffer, count = connections): Promise<CallerReply[]> {
    const replies: CallerReply[] = [];
    for (let index = 0; index < count; index += 1) {
        const socket = host.open(start);
        const reply: CallerReply = { socket, text: "" };
        socket.on("data", data => {
            reply.text += data.toString();
        });
        if (body.length > 0) {
            socket.write(body);
        }
        replies.push(reply);
        if (index % 20 === 19) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    }
    const countReplies = () => replies.filter(({ text }) => text !== "").length;
    let previous = -1;
    while (previous !== countReplies()) {
        previous = countReplies();
        await new Promise(resolve => setTimeout(resolve, 1_000));
    }
    return replies;
}
