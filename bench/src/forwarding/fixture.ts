import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { rowKey, tableVersion, writeId } from "@heatherferry/common";
import type { HostRow, RowBody, RulesHeadRow, TableWrite } from "@heatherferry/core";
import { FORWARDING } from "./constants.js";

/** Secret of the benchmark's only key. */
export const SECRET = "benchmark-secret-0123456789abcdef";

const RULES = [
  "team bench share=1 limit=10000 # benchmark",
  `key k1 team=bench hash=${createHash("sha256").update(SECRET).digest("hex")} # benchmark`,
  "pool bench hosts=bench-* max-unavailable=1 max-unavailable-per-rack=1 # benchmark",
  "queue bench pool=bench max-queued=10000 timeout-ms=30000 # benchmark",
].join("\n");

const rulesHead = {
  type: "rulesHead",
  revision: 1,
  text: RULES,
  appliedBy: "benchmark",
  appliedAtMs: 0,
} as unknown as RulesHeadRow;

const hostBody = (name: string, address: string): HostRow =>
  ({
    type: "host",
    hostId: name,
    availabilityZone: "a",
    rack: "r1",
    pool: "bench",
    address,
    slots: FORWARDING.SLOTS_PER_TARGET,
    phase: "inService",
    drainEpoch: 0,
    drainReason: null,
    moveTo: null,
    waveId: null,
  }) as unknown as HostRow;

/**
 * @param targets - Addresses of the targets.
 * @returns The transaction that writes the rules and the hosts.
 */
export const fixtureWrite = (targets: readonly string[]): TableWrite => {
  const id = writeId("benchmark");
  const put = (key: string, body: RowBody) => ({ key: rowKey(key), writeIds: [id], body });
  const hosts = targets.map((address, index) => {
    const name = `bench-${index}`;
    return put(`host/a/${name}`, hostBody(name, address));
  });
  const puts = [put("rules/head", rulesHead), ...hosts];
  const conditions = puts.map(({ key }) => ({ key, version: tableVersion(0) }));
  return { writeId: id, conditions, puts };
};

const listener = (name: string): string => `[${name}]\nhost = "127.0.0.1"\nport = 0\n`;

const settingsFile = (
  listeners: readonly string[],
  platformOrigin: string,
  id: string,
  availabilityZone: string,
): string => {
  const path = join(mkdtempSync(join(tmpdir(), "bench-")), "settings.toml");
  const text = [
    `[node]\nid = "${id}"\navailability_zone = "${availabilityZone}"\n`,
    ...listeners.map(listener),
    `[platform]\norigin = "${platformOrigin}"\n`,
  ].join("\n");
  writeFileSync(path, text);
  return path;
};

/**
 * @param platformOrigin - Origin of the platform.
 * @param id - The entry host's id.
 * @param availabilityZone - Its zone.
 * @returns Path of the settings file that was written for the entry host.
 */
export const entrySettingsFile = (
  platformOrigin: string,
  id = "e1",
  availabilityZone = "a",
): string => settingsFile(["callers", "peers", "admin"], platformOrigin, id, availabilityZone);

/**
 * @param platformOrigin - Origin of the platform.
 * @param id - Id of the entry host that the maintainer runs on.
 * @param availabilityZone - Its zone.
 * @returns Path of the settings file that was written for the maintainer.
 */
export const maintainerSettingsFile = (
  platformOrigin: string,
  id: string,
  availabilityZone: string,
): string => settingsFile(["admin"], platformOrigin, id, availabilityZone);
