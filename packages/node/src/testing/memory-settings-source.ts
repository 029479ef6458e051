/** Settings that a test sets, in place of a file. */
import { Err, Ok } from "@waxwingroute/core";
import type { Failure, Result } from "@waxwingroute/core";
import { parsePlatformSettings } from "@waxwingroute/platform-adapter";
import type { PlatformSettings } from "@waxwingroute/platform-adapter";
import { SettingsSource } from "../settings-source.js";

const settingsText = JSON.stringify({
    host: "host-1",
    zone: "north",
    ip: "10.0.0.1",
    peerPort: 7_420,
    callerAddress: "10.0.0.1:8183",
    readinessAddress: "10.0.0.1:8184",
    storeAddress: "10.0.0.9:8182",
    maxLeaseMs: 6_000,
    stopMs: 900,
    retentionSeconds: 120,
    graceSeconds: 6,
});

/** Returns valid settings with these fields changed. */
export function createSettings(changes: Partial<PlatformSettings> = {}): PlatformSettings {
    return { ...parsePlatformSettings(settingsText).unwrap(), ...changes };
}

/** Returns what was last set, and counts the reads. */
export class MemorySettingsSource extends SettingsSource {
    readCount = 0;
    private result: Result<PlatformSettings, Failure> = Ok(createSettings());
    private version = 0;

    set(settings: PlatformSettings): void {
        this.result = Ok(settings);
        this.version += 1;
    }

    fail(failure: Failure): void {
        this.result = Err(failure);
        this.version += 1;
    }

    protected override readSettings(): Result<PlatformSettings, Failure> {
        this.readCount += 1;
        return this.result;
    }

    override getVersion(): string {
        return String(this.version);
    }
}
