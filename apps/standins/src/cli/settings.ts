import { loadSettings, SETTINGS_ERROR_KIND, SettingsError } from "@heatherferry/common";
import { z } from "zod";
import { LOOPBACK } from "../http/constants.js";
import { LOAD } from "../load/constants.js";
import type { LoadPlan } from "../load/types.js";
import { TARGET } from "../target/constants.js";
import type { FleetPlan } from "../target/targetFleet.js";

const LISTEN = z
  .strictObject({
    host: z.string().min(1).default(LOOPBACK),
    port: z.int().min(0).max(65_535).default(0),
  })
  .prefault({});

/** Settings of the `platform` command. */
export const PLATFORM_SETTINGS = z.strictObject({
  listen: LISTEN,
  table: z.strictObject({ clock_offset_ms: z.number().default(0) }).prefault({}),
});

/** Settings of the `target` command. */
export const TARGET_SETTINGS = z.strictObject({
  listen: LISTEN,
  targets: z
    .strictObject({
      availability_zone: z.string().min(1).default("a"),
      services: z.array(z.string().min(1)).min(1).default(["register"]),
      per_service: z.int().min(1).default(1),
      slots: z.int().min(1).default(TARGET.DEFAULT_SLOTS),
      hosts_per_rack: z.int().min(1).default(4),
    })
    .prefault({}),
});

const COUNT = z.int().min(0);
const FRACTION = z.number().min(0).max(1);

const STREAM = z
  .strictObject({
    team: z.string().min(1),
    secret: z.string().nullable().default(null),
    queue: z.string().min(1),
    mean_per_second: z.number().min(0),
    phases: z
      .array(z.strictObject({ duration_ms: z.int().min(1), factor: z.number().min(0) }))
      .default([]),
    idempotent_fraction: FRACTION.default(0.5),
    work_ms: COUNT.default(TARGET.DEFAULT_WORK_MS),
    work_jitter_ms: COUNT.default(0),
    body_bytes: COUNT.default(0),
    answer_bytes: COUNT.max(TARGET.MAX_ANSWER_BYTES).default(TARGET.DEFAULT_ANSWER_BYTES),
    timeout_ms: z.int().min(1).nullable().default(null),
  })
  .transform((stream) => ({
    team: stream.team,
    secret: stream.secret,
    queue: stream.queue,
    meanPerSecond: stream.mean_per_second,
    phases: stream.phases.map((phase) => ({
      durationMs: phase.duration_ms,
      factor: phase.factor,
    })),
    idempotentFraction: stream.idempotent_fraction,
    workMs: stream.work_ms,
    workJitterMs: stream.work_jitter_ms,
    bodyBytes: stream.body_bytes,
    answerBytes: stream.answer_bytes,
    timeoutMs: stream.timeout_ms,
  }));

/** Settings of the `load` command. */
export const LOAD_SETTINGS = z.strictObject({
  listen: LISTEN,
  load: z.strictObject({
    entry_hosts: z.array(z.string().regex(/^[^:\s]+:\d+$/, "expected IP:PORT")).min(1),
    duration_ms: z.int().min(1),
    seed: z.int().default(LOAD.DEFAULT_SEED),
  }),
  streams: z.array(STREAM).min(1),
});

export type PlatformSettings = z.output<typeof PLATFORM_SETTINGS>;
export type TargetSettings = z.output<typeof TARGET_SETTINGS>;
export type LoadSettings = z.output<typeof LOAD_SETTINGS>;

/**
 * Loads and validates the settings of a command.
 *
 * @param path - Path of a TOML file; undefined for the defaults.
 * @param schema - The schema of the settings.
 * @returns The validated settings.
 * @throws SettingsError, with the file, the invalid keys and the remedy, when a key is invalid or
 *   missing.
 */
export const settingsOrDefaults = <Schema extends z.ZodType>(
  path: string | undefined,
  schema: Schema,
): z.output<Schema> => {
  if (path !== undefined) {
    return loadSettings(path, schema);
  }
  const defaults = schema.safeParse({});
  if (defaults.success) {
    return defaults.data;
  }
  throw new SettingsError(
    SETTINGS_ERROR_KIND.INVALID,
    "This command needs settings that have no defaults",
    "Pass a TOML file with --settings; --help lists its keys",
  );
};

/** Converts the settings of the `target` command to a fleet plan. */
export const fleetPlanOf = ({ targets }: TargetSettings): FleetPlan => ({
  availabilityZone: targets.availability_zone,
  services: targets.services,
  targetsPerService: targets.per_service,
  slots: targets.slots,
  hostsPerRack: targets.hosts_per_rack,
});

/** Converts the settings of the `load` command to a load plan. */
export const loadPlanOf = ({ load, streams }: LoadSettings): LoadPlan => ({
  entryHosts: load.entry_hosts,
  streams,
  durationMs: load.duration_ms,
  seed: load.seed,
});
