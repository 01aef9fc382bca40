import { EVACUATION_STATE, SUBMISSION_STATE } from "@heatherferry/core";

/** Returns whether a stored value has the shape that the code relies on. */
type Check = (value: unknown) => boolean;

type JsonObject = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is JsonObject =>
  typeof value === "object" && value !== null && !Array.isArray(value);

const isString: Check = (value) => typeof value === "string";
const isNumber: Check = (value) => typeof value === "number" && Number.isFinite(value);
const isCount: Check = (value) => Number.isInteger(value) && Number(value) >= 0;
const isHex: Check = (value) => typeof value === "string" && /^[0-9a-f]*$/u.test(value);
const isBoolean: Check = (value) => typeof value === "boolean";

const nullOr =
  (check: Check): Check =>
  (value) =>
    value === null || check(value);

/** Allows a field that earlier versions do not write. */
const optional =
  (check: Check): Check =>
  (value) =>
    value === undefined || check(value);

const listOf =
  (check: Check): Check =>
  (value) =>
    Array.isArray(value) && value.every(check);

const recordOf =
  (check: Check): Check =>
  (value) =>
    isObject(value) && Object.values(value).every(check);

/** Ignores further fields, because a later version may have written the row. */
const withFields =
  (fields: Readonly<Record<string, Check>>): Check =>
  (value) =>
    isObject(value) && Object.entries(fields).every(([name, check]) => check(value[name]));

const STEP = withFields({
  count: isCount,
  needs: withFields({ cpuMilli: isNumber, memoryMb: isNumber, gpus: isNumber }),
  estimateMs: isNumber,
  after: listOf(isCount),
  requiredLabel: nullOr(isString),
  preferredRack: nullOr(isString),
  maxPerWorker: nullOr(isNumber),
  tailTargetMs: nullOr(isNumber),
  maxUnavailable: nullOr(isNumber),
});

/** Whether every step depends only on steps before it in the list. */
const dependOnEarlierSteps: Check = (value) =>
  Array.isArray(value) &&
  value.every((step: { after: readonly number[] }, index) =>
    step.after.every((earlier) => earlier < index),
  );

const COUNT_LISTS = recordOf(listOf(isCount));

const RESOURCE_ADMISSION = withFields({
  withinRateMs: isNumber,
  freeUnits: isNumber,
  lines: listOf(
    withFields({
      team: isString,
      priority: isNumber,
      duesMs: listOf(isNumber),
      waitsMs: listOf(isNumber),
    }),
  ),
});

/** Checks of the rows that this system stores. */
export const ROW_CHECK = {
  SUBMISSION: withFields({
    id: isString,
    queue: isString,
    pool: isString,
    team: nullOr(isString),
    acceptedWallMs: isNumber,
    maxAttempts: optional(isCount),
    refusedBefore: optional(
      recordOf(withFields({ agoMs: isNumber, beyondRateOf: optional(isString) })),
    ),
    work: withFields({
      payload: isString,
      steps: (value) => listOf(STEP)(value) && dependOnEarlierSteps(value),
      occurrences: isCount,
      firstDueWallMs: isNumber,
      intervalMs: isNumber,
    }),
  }),
  PROGRESS: withFields({
    id: isString,
    state: (value) => Object.values<unknown>(SUBMISSION_STATE).includes(value),
    done: COUNT_LISTS,
    failures: COUNT_LISTS,
    endedWallMs: nullOr(isNumber),
    window: optional(withFields({ firstOpen: isCount, done: isHex })),
    obstacle: optional(isString),
  }),
  WAVE: withFields({
    wave: isCount,
    completed: isBoolean,
    seenWallMs: isNumber,
    doneHosts: listOf(isString),
  }),
  EVACUATION: withFields({
    zone: isString,
    state: (value) => Object.values<unknown>(EVACUATION_STATE).includes(value),
    requestVersion: isCount,
    sinceWallMs: isNumber,
    workers: isCount,
    batchRuns: isCount,
    movingRuns: isCount,
    heldRuns: isCount,
    unplacedRuns: isCount,
  }),
  /** The kinds in it are checked one by one as they are restored. */
  RUN_TIMES: withFields({
    form: isCount,
    writtenWallMs: isNumber,
    levels: listOf(listOf(withFields({ key: isString }))),
  }),
  OWNER: withFields({
    holder: isString,
    incarnation: isString,
    fence: isCount,
    released: isBoolean,
    orderedHosts: recordOf(nullOr(isNumber)),
    pending: nullOr(withFields({ asOfStoreMs: isNumber, byQueue: recordOf(isNumber) })),
    strongestMilli: isNumber,
    termMs: optional(isCount),
    storesWindows: optional(isBoolean),
  }),
  ADMISSION: withFields({
    asOfStoreMs: isNumber,
    pools: recordOf(recordOf(RESOURCE_ADMISSION)),
    offeredPerS: recordOf(isNumber),
  }),
  HELD: withFields({ teams: listOf(nullOr(isString)) }),
  LEASE: withFields({
    pool: isString,
    items: COUNT_LISTS,
    stopping: isBoolean,
    startWallMs: optional(nullOr(isNumber)),
    lateLeaseMs: optional(isNumber),
    leaseTermMs: optional(isNumber),
  }),
} as const;
