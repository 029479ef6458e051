import { expect } from "earl";
import { describe, it } from "node:test";
import { isNetworkAddress } from "./network-address.js";

describe("isNetworkAddress", () => {
    for (const text of ["127.0.0.1:1", "10.0.0.255:65535"]) {
        it(`accepts ${text}`, () => {
            expect(isNetworkAddress(text)).toEqual(true);
        });
    }

    const invalid = ["", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:70000"]
        .concat(["127.0.0.1:080", "127.0.0.1:+80", "127.0.0.1:1e3", "256.0.0.1:80", "1.2.3:80", "1.2.3.4.5:80"])
        .concat(["01.2.3.4:80", "localhost:80", "[::1]:80", "127.0.0.1:80 ", "127.0.0.1:80\n", "127.0.0.1:80/x"]);
    for (const text of invalid) {
        it(`rejects ${JSON.stringify(text)}`, () => {
            // Guards against addresses for which the socket library throws or which it reads as another address.
            expect(isNetworkAddress(text)).toEqual(false);
        });
    }
});
