import {
  address,
  availabilityZoneId,
  hostId,
  rackId,
  rowKey,
  tableVersion,
} from "@heatherferry/common";
import { z } from "zod";
import { NO_FAULTS } from "./initialPlatformState.js";

const KEY = z.string().min(1).transform(rowKey);
const VERSION = z.int().min(0).transform(tableVersion);

/** Body of a table read. */
export const READ_BODY = z.object({
  ranges: z.array(z.object({ prefix: z.string().transform(rowKey), afterVersion: VERSION })),
});

/** Body of a table write: one transaction. */
export const WRITE_BODY = z.object({
  writeId: z.string(),
  conditions: z.array(z.object({ key: KEY, version: VERSION })).default([]),
  puts: z
    .array(z.object({ key: KEY, writeIds: z.array(z.string()), body: z.unknown() }))
    .default([]),
  deletes: z.array(KEY).default([]),
});

/** Body of `POST /control/hosts`. */
export const HOSTS_BODY = z.object({
  hosts: z.array(
    z.object({
      hostId: z.string().transform(hostId),
      availabilityZone: z.string().transform(availabilityZoneId),
      rack: z.string().transform(rackId),
      address: z.string().transform(address),
      slots: z.int().min(0),
      state: z.enum(["live", "leaving"]).default("live"),
    }),
  ),
});

/** Body of `PUT /control/faults`; faults that are left out are off. */
export const FAULTS_BODY = z.strictObject({
  down: z.boolean().default(NO_FAULTS.down),
  delayMs: z.number().min(0).default(NO_FAULTS.delayMs),
  loseReplyFraction: z.number().min(0).max(1).default(NO_FAULTS.loseReplyFraction),
  listLagMs: z.number().min(0).default(NO_FAULTS.listLagMs),
  lostHosts: z.array(z.string().transform(hostId)).default([]),
  seed: z.int().nullable().default(null),
});
