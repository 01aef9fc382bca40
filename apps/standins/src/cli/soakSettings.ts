import { z } from "zod";
import { FAULT } from "../soak/constants.js";
import type { KindPlan, SoakPlan, Spread } from "../soak/types.js";

const MS = z.int().min(0);
const SHARE = z.number().min(0).max(1);
const NAME = z.string().regex(/^[a-z0-9-]+$/, "expected small letters, digits and hyphens");

const SPREAD = z
  .strictObject({
    mean: z.number().positive(),
    spread: z.number().min(0).default(0),
    max: z.number().positive().optional(),
  })
  .transform(({ mean, spread, max }): Spread => ({ mean, spread, max: max ?? Infinity }));

const POOL = z
  .strictObject({
    name: NAME,
    hosts: z.int().min(1),
    hosts_per_rack: z.int().min(1).default(4),
    cpu_milli: z.int().min(1),
    memory_mb: z.int().min(1),
    standby: z.boolean().default(false),
  })
  .transform((pool) => ({
    name: pool.name,
    hosts: pool.hosts,
    hostsPerRack: pool.hosts_per_rack,
    capacity: { cpu: pool.cpu_milli, memMb: pool.memory_mb, gpu: 0 },
    standby: pool.standby,
  }));

const TEAM = z
  .strictObject({
    name: NAME,
    share: z.number().positive().default(1),
    weight: z.number().positive().default(10),
    ceiling_cpu_milli: z.int().min(0).default(0),
  })
  .transform((team) => ({
    name: team.name,
    share: team.share,
    weight: team.weight,
    ceilingCpuMilli: team.ceiling_cpu_milli,
  }));

const KIND = z
  .strictObject({
    name: NAME,
    pool: NAME,
    per_second: z.number().min(0),
    turn: z.int().min(0).nullable().default(null),
    priority: z.int().min(0).default(0),
    max_attempts: z.int().min(1).default(3),
    stretch_factor: z.number().positive().default(2),
    target_duration_ms: MS.default(600),
    steps: SPREAD,
    items_per_step: SPREAD,
    cpu_milli: SPREAD,
    memory_mb: SPREAD,
    work_ms: SPREAD.nullable().default(null),
    failure_share: SHARE.default(0),
    hopeless_share: SHARE.default(0),
    all_items_hopeless: z.boolean().default(false),
    one_by_worker_share: SHARE.default(0),
    cancelled_share: SHARE.default(0),
  })
  .transform((kind): KindPlan => ({
    name: kind.name,
    pool: kind.pool,
    perSecond: kind.per_second,
    turn: kind.turn,
    priority: kind.priority,
    maxAttempts: kind.max_attempts,
    stretchFactor: kind.stretch_factor,
    targetDurationMs: kind.target_duration_ms,
    steps: kind.steps,
    itemsPerStep: kind.items_per_step,
    cpuMilli: kind.cpu_milli,
    memoryMb: kind.memory_mb,
    workMs: kind.work_ms,
    failureShare: kind.failure_share,
    hopelessShare: kind.hopeless_share,
    allItemsHopeless: kind.all_items_hopeless,
    oneByWorkerShare: kind.one_by_worker_share,
    cancelledShare: kind.cancelled_share,
  }));

const FAULT_PLAN = z
  .strictObject({
    kind: z.enum(Object.values(FAULT)),
    chance: SHARE.default(1),
    times: z.int().min(1).default(1),
    at_ms: MS.nullable().default(null),
    for_ms: MS.default(4_000),
    strength: z.number().min(0).default(1),
  })
  .transform((fault) => ({
    kind: fault.kind,
    chance: fault.chance,
    times: fault.times,
    atMs: fault.at_ms,
    forMs: fault.for_ms,
    strength: fault.strength,
  }));

/** Settings of the `soak` command. */
export const SOAK_SETTINGS = z
  .strictObject({
    site: z.strictObject({
      zones: z.array(NAME).min(1),
      nodes_per_zone: z.int().min(1),
      cores_per_node: z.number().positive().nullable().default(null),
      commit_ms: MS.default(6),
      lead_ms: MS.default(1_000),
      traffic_ms: MS.default(30_000),
      settle_ms: MS.default(14_000),
      turn_ms: z.int().min(1).default(5_000),
      turn_factor: z.number().min(0).default(1),
      rest_factor: z.number().min(0).default(1),
    }),
    pools: z.array(POOL).min(1),
    teams: z.array(TEAM).min(1),
    kinds: z.array(KIND).min(1),
    faults: z.array(FAULT_PLAN).default([]),
  })
  .transform(({ site, pools, teams, kinds, faults }): SoakPlan => ({
    zones: site.zones,
    nodesPerZone: site.nodes_per_zone,
    coresPerNode: site.cores_per_node,
    commitMs: site.commit_ms,
    leadMs: site.lead_ms,
    trafficMs: site.traffic_ms,
    settleMs: site.settle_ms,
    turnMs: site.turn_ms,
    turnFactor: site.turn_factor,
    restFactor: site.rest_factor,
    pools,
    teams,
    kinds,
    faults,
  }));
