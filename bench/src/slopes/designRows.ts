import { createHash } from "node:crypto";
import { rowKey, tableVersion, writeId } from "@heatherferry/common";
import type { RowBody, TableRow } from "@heatherferry/core";
import { DESIGN_SIZE } from "./designSize.js";

/** Limit of each team in {@link designRules}; one entry host holds a grant for all of it. */
const GRANTED_COUNT = 600;
const GRANT_EXPIRY_MS = 1e12;

const hashOf = (text: string): string => createHash("sha256").update(text).digest("hex");

const numbered = <T>(count: number, make: (index: number) => T): T[] =>
  Array.from({ length: count }, (_unused, index) => make(index));

/** @returns Text of a rules file of the design size. */
export const designRules = (): string =>
  [
    ...numbered(
      DESIGN_SIZE.TEAMS,
      (i) => `team team-${i} share=${(i % 7) + 1} limit=600 # asked by branch ${i}`,
    ),
    ...numbered(
      DESIGN_SIZE.POOLS,
      (i) =>
        `pool pool-${i} hosts=p${i}-* max-unavailable=12 max-unavailable-per-rack=2 # asked by branch ${i}`,
    ),
    ...numbered(
      DESIGN_SIZE.QUEUES,
      (i) =>
        `queue queue-${i} pool=pool-${i % DESIGN_SIZE.POOLS} max-queued=500 timeout-ms=10000 # asked by branch ${i}`,
    ),
    ...numbered(
      DESIGN_SIZE.KEYS,
      (i) =>
        `key key-${i} team=team-${i % DESIGN_SIZE.TEAMS} hash=${hashOf(`secret ${i}`)} # asked by branch ${i}`,
    ),
  ].join("\n");

/** @returns Hash of the key with this number in {@link designRules}. */
export const designKeyHash = (index: number): string => hashOf(`secret ${index}`);

const row = (key: string, version: number, body: object): TableRow => ({
  key: rowKey(key),
  version: tableVersion(version),
  committedAtMs: 1_000,
  writeIds: [writeId(`e-4-3/0123456789abcdef/${version}`)],
  body: body as RowBody,
});

/**
 * @param number - Revision of the rules.
 * @param text - The rules file.
 * @returns The head row of the rules.
 */
export const rulesHeadRow = (number: number, text: string): TableRow =>
  row("rules/head", number, {
    type: "rulesHead",
    revision: number,
    text,
    appliedBy: "operator",
    appliedAtMs: 0,
  });

/**
 * @param index - Number of the host in its zone.
 * @param version - Version of the row.
 * @param zone - Number of the zone.
 * @returns The row of the host.
 */
export const hostRowAt = (index: number, version: number, zone = 4): TableRow => {
  const pool = index % DESIGN_SIZE.POOLS;
  return row(`host/z${zone}/p${pool}-z${zone}-${index}`, version, {
    type: "host",
    hostId: `p${pool}-z${zone}-${index}`,
    availabilityZone: `z${zone}`,
    rack: `z${zone}-r${Math.floor(index / 16)}`,
    pool: `pool-${pool}`,
    address: `127.0.${Math.floor(index / 250)}.${index % 250}:9000`,
    slots: DESIGN_SIZE.SLOTS_PER_HOST,
    phase: "inService",
    drainEpoch: 0,
    drainReason: null,
    moveTo: null,
    waveId: null,
  });
};

/**
 * @param index - Number of the entry host in its zone.
 * @param version - Version of the row.
 * @param zone - Number of the zone.
 * @returns The member row that its heartbeat writes.
 */
export const memberRowAt = (index: number, version: number, zone = 4): TableRow =>
  row(`member/z${zone}/e-${zone}-${index}`, version, {
    type: "member",
    entryHostId: `e-${zone}-${index}`,
    availabilityZone: `z${zone}`,
    incarnation: "0123456789abcdef",
    callerAddress: `127.0.9.${index}:8000`,
    peerAddress: `127.0.9.${index}:8001`,
    revisionInForce: 1,
    left: false,
    drained: [],
  });

/** @returns All hosts of a zone. */
export const zoneHostRows = (zone: number): TableRow[] =>
  numbered(DESIGN_SIZE.HOSTS_PER_ZONE, (i) => hostRowAt(i, i + 2, zone));

/** @returns An escrow row that grants a team's whole limit to the entry host e-4-0. */
const grantRowAt = (index: number): TableRow => {
  const count = {
    limit: GRANTED_COUNT,
    above: 0,
    base: 0,
    burst: GRANTED_COUNT,
    held: 0,
    wanted: 0,
  };
  const holder = "e-4-0/0123456789abcdef";
  const grants = [
    { holder, ...count, baseUntilMs: GRANT_EXPIRY_MS, burstUntilMs: GRANT_EXPIRY_MS },
  ];
  const team = `team-${index}`;
  const cap = { cap: GRANTED_COUNT, limit: GRANTED_COUNT, above: 0 };
  const body = { type: "zoneEscrow", availabilityZone: "z4", team, ...cap, grants };
  return row(`escrow/zone/z4/${team}`, index + 3_000, body);
};

/** @returns All rows that an entry host of zone z4 mirrors. */
export const zoneRows = (): TableRow[] => [
  rulesHeadRow(1, designRules()),
  ...zoneHostRows(4),
  ...numbered(DESIGN_SIZE.ENTRY_HOSTS_PER_ZONE, (i) => memberRowAt(i, i + 2_000)),
  ...numbered(DESIGN_SIZE.TEAMS, grantRowAt),
];
