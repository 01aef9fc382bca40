import { SUBMISSION_STATE } from "@heatherferry/core";

/** Tells whether a value that was read has the shape that the code relies on. */
type Check = (value: unknown) => boolean;

type Body = Readonly<Record<string, unknown>>;

const isBody = (value: unknown): value is Body =>
  typeof value === "object" && value !== null && !Array.isArray(value);

const isText: Check = (value) => typeof value === "string";
const isNumber: Check = (value) => typeof value === "number" && Number.isFinite(value);
const isCount: Check = (value) => Number.isInteger(value) && Number(value) >= 0;
const isFlag: Check = (value) => typeof value === "boolean";

const orNull =
  (check: Check): Check =>
  (value) =>
    value === null || check(value);

const listOf =
  (check: Check): Check =>
  (value) =>
    Array.isArray(value) && value.every(check);

const recordOf =
  (check: Check): Check =>
  (value) =>
    isBody(value) && Object.values(value).every(check);

/** Fields that are not named may be there: a later version may have written the row. */
const withFields =
  (fields: Readonly<Record<string, Check>>): Check =>
  (value) =>
    isBody(value) && Object.entries(fields).every(([name, check]) => check(value[name]));

const STEP = withFields({
  count: isCount,
  needs: withFields({ cpuMilli: isNumber, memoryMb: isNumber, gpus: isNumber }),
  estimateMs: isNumber,
  after: listOf(isCount),
  requiredLabel: orNull(isText),
  preferredRack: orNull(isText),
  maxPerWorker: orNull(isNumber),
  tailTargetMs: orNull(isNumber),
  maxUnavailable: orNull(isNumber),
});

/** Steps come after earlier ones only. */
const isOrdered: Check = (value) =>
  Array.isArray(value) &&
  value.every((step: { after: readonly number[] }, index) =>
    step.after.every((earlier) => earlier < index),
  );

const NUMBERS = recordOf(listOf(isCount));

/** Shapes of the product's rows. */
export const ROW_CHECK = {
  HAND_IN: withFields({
    id: isText,
    queue: isText,
    pool: isText,
    team: orNull(isText),
    acceptedWallMs: isNumber,
    work: withFields({
      payload: isText,
      steps: (value) => listOf(STEP)(value) && isOrdered(value),
      occurrences: isCount,
      firstDueWallMs: isNumber,
      intervalMs: isNumber,
    }),
  }),
  PROGRESS: withFields({
    id: isText,
    state: (value) => Object.values<unknown>(SUBMISSION_STATE).includes(value),
    done: NUMBERS,
    failures: NUMBERS,
    endedWallMs: orNull(isNumber),
  }),
  WAVE: withFields({ wave: isCount, seenWallMs: isNumber, doneHosts: listOf(isText) }),
  OWNER: withFields({
    holder: isText,
    incarnation: isText,
    fence: isCount,
    released: isFlag,
    orderedHosts: recordOf(orNull(isNumber)),
    pending: orNull(withFields({ asOfStoreMs: isNumber, byQueue: recordOf(isNumber) })),
    strongestMilli: isNumber,
  }),
  LEASE: withFields({ pool: isText, items: NUMBERS, stopping: isFlag }),
} as const;
