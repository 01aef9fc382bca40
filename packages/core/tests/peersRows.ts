import {
  address,
  availabilityZoneId,
  hostId,
  keyHash,
  poolId,
  rackId,
  revision,
  rowKey,
} from "@heatherferry/common";
import type { RowPut } from "../src/index.js";

export const ZONE = availabilityZoneId("z");
export const POOL = poolId("press");
export const SECRET = keyHash("a".repeat(64));

export const rulesPut = (text: string, number: number): Omit<RowPut, "writeIds"> => ({
  key: rowKey("rules/head"),
  body: {
    type: "rulesHead",
    revision: revision(number),
    text,
    appliedBy: "operator",
    appliedAtMs: 0,
  },
});

export const hostPut = (name: string, slots: number): Omit<RowPut, "writeIds"> => ({
  key: rowKey(`host/z/${name}`),
  body: {
    type: "host",
    hostId: hostId(name),
    availabilityZone: ZONE,
    rack: rackId("r"),
    pool: POOL,
    address: address(`${name}:1`),
    slots,
    phase: "inService",
    drainEpoch: 0,
    drainReason: null,
    moveTo: null,
    waveId: null,
  },
});
