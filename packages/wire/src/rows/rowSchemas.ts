import { z } from "zod";

const name = z.string().min(1);
const count = z.int().min(0);

const rulesHead = z.object({
  type: z.literal("rulesHead"),
  revision: count,
  text: z.string(),
  appliedBy: z.string(),
  appliedAtMs: z.number(),
});

const audit = z.object({
  type: z.literal("audit"),
  revision: count,
  fromRevision: count,
  appliedBy: z.string(),
  appliedAtMs: z.number(),
  added: z.array(z.string()),
  removed: z.array(z.string()),
});

const member = z.object({
  type: z.literal("member"),
  entryHostId: name,
  availabilityZone: name,
  incarnation: name,
  callerAddress: name,
  peerAddress: name,
  revisionInForce: count,
  left: z.boolean(),
  drained: z.array(z.object({ hostId: name, drainEpoch: count })),
});

const host = z.object({
  type: z.literal("host"),
  hostId: name,
  availabilityZone: name,
  rack: name,
  pool: name,
  address: name,
  slots: count,
  phase: z.enum(["inService", "leaving", "stopped"]),
  drainEpoch: count,
  drainReason: z.enum(["operator", "wave", "move", "platform"]).nullable(),
  moveTo: name.nullable(),
  waveId: name.nullable(),
});

const permit = z.object({ hostId: name, rack: name, waveId: name.nullable() });

const poolBudget = z.object({
  type: z.literal("poolBudget"),
  pool: name,
  permits: z.array(permit),
  absent: z.array(z.object({ hostId: name, rack: name })),
});

const maintainerLease = z.object({
  type: z.literal("maintainerLease"),
  pool: name,
  holder: name,
  incarnation: name,
  epoch: count,
  termMs: count,
  released: z.boolean(),
});

const wave = z.object({
  type: z.literal("wave"),
  waveId: name,
  status: z.enum(["running", "paused", "halted", "done"]),
  planned: z.array(name),
  done: z.array(name),
  failed: z.array(name),
  startedAtMs: z.number().nullable(),
});

const limitStamp = { limit: count, above: count };

const teamEscrow = z.object({
  type: z.literal("teamEscrow"),
  team: name,
  limit: count,
  revision: count,
  zones: z.record(
    name,
    z.object({ ...limitStamp, cap: count, wanted: count, wantedUntilMs: z.number() }),
  ),
  earlier: z.array(z.object({ limit: count, untilMs: z.number() })),
});

const grant = z.object({
  ...limitStamp,
  holder: name,
  base: count,
  burst: count,
  held: count,
  wanted: count,
  baseUntilMs: z.number(),
  burstUntilMs: z.number(),
});

const zoneEscrow = z.object({
  ...limitStamp,
  type: z.literal("zoneEscrow"),
  availabilityZone: name,
  team: name,
  cap: count,
  grants: z.array(grant),
});

const claim = z.object({
  type: z.literal("claim"),
  team: name,
  idempotencyKey: z.string(),
  entryHostId: name,
  incarnation: name,
});

/** Schema of the body of a row, by its type. */
export const ROW_BODY_SCHEMA = z.discriminatedUnion("type", [
  rulesHead,
  audit,
  member,
  host,
  poolBudget,
  maintainerLease,
  wave,
  teamEscrow,
  zoneEscrow,
  claim,
]);

/** Schema of a row as the platform's table returns it. */
export const TABLE_ROW_SCHEMA = z.object({
  key: name,
  version: count,
  committedAtMs: z.number(),
  writeIds: z.array(z.string()),
  body: ROW_BODY_SCHEMA,
});
