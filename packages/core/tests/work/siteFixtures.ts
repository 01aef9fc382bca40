import { poolId, queueId, teamId } from "@heatherferry/common";
import type { Catalog, WorkBounds } from "../../src/index.js";

export const BOUNDS: WorkBounds = {
  revokeMs: 5_000,
  configApplyMs: 2_000,
  holdMaxMs: 10_000,
  stopMs: 400,
  gangMs: 3_000,
  graceMs: 6_000,
  drainMs: 2_000,
  statusRetentionMs: 120_000,
  visibleMs: 3_000,
  hostOrderLeaseMs: 3_000,
  noticeMs: 4_500,
  impactMs: 4_000,
  moveMs: 1_500,
  maintenanceMs: 2_000,
  evacuationMs: null,
};

/** The standby pool, whose hosts are off. */
export const STANDBY_POOL = "spare";

export const TEAM_CEILING = { cpuMilli: 12_000, memoryMb: 0, gpus: 0 };

export const CATALOG: Catalog = {
  revision: 1,
  queues: ["mills", "dies"].map((name) => ({
    id: queueId(name),
    callerHost: "site.example",
    pathPrefix: `/${name}/`,
    pool: poolId(name),
    priority: 0,
    maxAttempts: 3,
    stretchFactor: 2,
    targetDurationMs: 500,
    openToAll: false,
  })),
  pools: ["mills", "dies", STANDBY_POOL].map((name) => ({
    id: poolId(name),
    standby: name === STANDBY_POOL,
  })),
  teams: [{ id: teamId("lots"), keys: ["key"], weight: 1, ceiling: TEAM_CEILING }],
  maxBodyBytes: 100_000,
};
