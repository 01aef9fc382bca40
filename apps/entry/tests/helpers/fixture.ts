import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { rowKey, tableVersion, writeId } from "@heatherferry/common";
import type { RowBody } from "@heatherferry/core";
import { HttpPlatformTable } from "@heatherferry/runners";
import { Program } from "@heatherferry/standins";

export const SECRET = "secret-of-lots-0123456789abcdef";

export const RULES = [
  "team lots share=1 limit=20 # asked by lots",
  `key k1 team=lots hash=${createHash("sha256").update(SECRET).digest("hex")} # asked by lots`,
  "pool register hosts=register-* max-unavailable=1 max-unavailable-per-rack=1 # asked by lots",
  "queue register pool=register max-queued=50 timeout-ms=10000 # asked by lots",
].join("\n");

const ENTRY_MAIN = fileURLToPath(new URL("../../src/main.js", import.meta.url));

const listener = (name: string): string => `[${name}]\nhost = "127.0.0.1"\nport = 0\n`;

export const settingsText = (id: string, zone: string, origin: string): string =>
  [
    `[node]\nid = "${id}"\navailability_zone = "${zone}"\n`,
    listener("callers"),
    listener("peers"),
    listener("admin"),
    `[platform]\norigin = "${origin}"\n`,
  ].join("\n");

export const settingsFile = (text: string): string => {
  const path = join(mkdtempSync(join(tmpdir(), "entry-")), "entry.toml");
  writeFileSync(path, text);
  return path;
};

export const startEntryProgram = (text: string, runtimeOptions: readonly string[] = []): Program =>
  new Program(ENTRY_MAIN, ["--settings", settingsFile(text)], runtimeOptions);

export const addressIn = (record: Readonly<Record<string, unknown>>, name: string): string => {
  const value = record[name];
  if (typeof value !== "string") {
    throw new Error(`The log line has no text field ${name}`);
  }
  return value;
};

/**
 * Polls until a condition holds. The limit on the polls (at least 30 s in all) only stops a failed
 * test from hanging.
 */
export const until = async (holds: () => Promise<boolean>, awaited: string): Promise<void> => {
  for (let polls = 0; polls < 1_200; polls += 1) {
    if (await holds()) {
      return;
    }
    await sleep(25);
  }
  throw new Error(`Timed out waiting for ${awaited}`);
};

export const isReady = async (admin: string): Promise<boolean> => {
  const response = await fetch(`http://${admin}/readyz`);
  return response.status === 200;
};

/** Writes hosts, and the rules unless the table has some, as maintainer and operators would. */
export const writeFleetRows = async (
  origin: string,
  hosts: readonly { name: string; zone: string; address: string }[],
): Promise<void> => {
  const table = new HttpPlatformTable(origin, () => undefined);
  const id = writeId("fixture");
  const put = (key: string, body: object) => ({
    key: rowKey(key),
    writeIds: [id],
    body: body as RowBody,
  });
  const existing = await table.read([
    { prefix: rowKey("rules/head"), afterVersion: tableVersion(0) },
  ]);
  const rules = { type: "rulesHead", revision: 1, text: RULES, appliedBy: "me", appliedAtMs: 0 };
  const puts = [
    ...(existing.rows.length === 0 ? [put("rules/head", rules)] : []),
    ...hosts.map(({ name, zone, address }) =>
      put(`host/${zone}/${name}`, {
        type: "host",
        hostId: name,
        availabilityZone: zone,
        rack: "r1",
        pool: "register",
        address,
        slots: 8,
        phase: "inService",
        drainEpoch: 0,
        drainReason: null,
        moveTo: null,
        waveId: null,
      }),
    ),
  ];
  const conditions = puts.map(({ key }) => ({ key, version: tableVersion(0) }));
  await table.write({ writeId: id, conditions, puts });
  await table.close();
};

/** Applies another revision of the rules, as the operators' command would. */
export const changeRules = async (
  origin: string,
  revision: number,
  text: string,
): Promise<void> => {
  const table = new HttpPlatformTable(origin, () => undefined);
  const key = rowKey("rules/head");
  const { rows } = await table.read([{ prefix: key, afterVersion: tableVersion(0) }]);
  const id = writeId(`fixture-${revision}`);
  const body = { type: "rulesHead", revision, text, appliedBy: "me", appliedAtMs: 0 };
  await table.write({
    writeId: id,
    conditions: [{ key, version: rows[0]?.version ?? tableVersion(0) }],
    puts: [{ key, writeIds: [id], body: body as unknown as RowBody }],
  });
  await table.close();
};
