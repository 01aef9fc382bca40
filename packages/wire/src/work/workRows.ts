import {
  boundedWork,
  storeVersion,
  submissionId,
  workerId,
  WORK_TABLE,
  OWNER_KEY,
  type EvacuationReport,
  type SubmissionRow,
  type LeasedWorker,
  type OwnerRow,
  type Progress,
  type RowName,
  type RowToWrite,
  type RunTimesRow,
  type StoreRow,
  type SubmissionId,
} from "@heatherferry/core";
import type { HostId } from "@heatherferry/common";
import { ROW_CHECK } from "./rowChecks.js";

/** Location and text of a row in the store. */
export interface EncodedRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly text: string;
}

/**
 * Part of all rows that the owner writes, including its reports to the operators. They share one
 * part so that each of its transactions can check the owner's row.
 */
const OWNER_PART = "";

/**
 * Submissions are spread over parts by id. The store runs the transactions of one part one after
 * another, so with a single part a slow store would queue them for seconds.
 */
const SUBMISSION_PARTS = Array.from({ length: 16 }, (_, digit) => `h${digit.toString(16)}`);

const submissionPart = (id: SubmissionId): string => `h${id.slice(-1)}`;

/** Returns all parts of a table of this system. */
export const partsOfTable = (table: string): readonly string[] =>
  table === WORK_TABLE.SUBMISSIONS ? SUBMISSION_PARTS : [OWNER_PART];

/**
 * A cancellation is stored in the part of its submission, so that one transaction can check the
 * submission and write the cancellation.
 */
const CANCEL_SUFFIX = "~cancel";
const WAVE_PREFIX = "wave-";
const EVACUATION_PREFIX = "evacuation-";

/** Key of the learned run times; versions that do not know it leave the row out. */
const RUN_TIMES_KEY = "run-times";

interface WaveProgress {
  readonly wave: number;
  readonly completed: boolean;
  /** Wall-clock time at which an owner first read the request. */
  readonly seenWallMs: number;
  readonly doneHosts: readonly HostId[];
}

/** Returns the location of a row. */
export const locateRow = (name: RowName): Omit<EncodedRow, "text"> => {
  switch (name.type) {
    case "handIn":
      return { table: WORK_TABLE.SUBMISSIONS, part: submissionPart(name.id), key: name.id };
    case "cancel":
      return {
        table: WORK_TABLE.SUBMISSIONS,
        part: submissionPart(name.id),
        key: `${name.id}${CANCEL_SUFFIX}`,
      };
    case "progress":
      return { table: WORK_TABLE.PROGRESS, part: OWNER_PART, key: name.id };
    case "owner":
      return { table: WORK_TABLE.OWNER, part: OWNER_PART, key: OWNER_KEY };
    case "lease":
      return { table: WORK_TABLE.LEASES, part: OWNER_PART, key: name.worker };
  }
};

/**
 * Encodes the owner row. Versions that do not know of windows in progress rows cannot read the
 * nested form, so they never claim ownership and run again what such a window records as done.
 */
const encodeOwner = (owner: OwnerRow): string =>
  JSON.stringify(owner.storesWindows === true ? { owner } : owner);

const decodeOwner = (body: unknown): OwnerRow | null => {
  const { owner = body } = body as { readonly owner?: unknown };
  if (!ROW_CHECK.OWNER(owner)) {
    return null;
  }
  const { admission, held, ...rest } = owner as OwnerRow;
  // Figures in the form of another version must not hide who the owner is.
  return {
    ...rest,
    ...(ROW_CHECK.ADMISSION(admission) ? { admission } : {}),
    ...(ROW_CHECK.HELD(held) ? { held } : {}),
  };
};

/** Encodes a row for the store. */
export const encodeRow = (row: RowToWrite): EncodedRow => {
  switch (row.type) {
    case "handIn":
      return {
        ...locateRow({ type: "handIn", id: row.submission.id }),
        text: JSON.stringify(row.submission),
      };
    case "cancel":
      return { ...locateRow(row), text: "{}" };
    case "progress":
      return {
        ...locateRow({ type: "progress", id: row.progress.id }),
        text: JSON.stringify(row.progress),
      };
    case "owner":
      return { ...locateRow({ type: "owner" }), text: encodeOwner(row.owner) };
    case "lease":
      return { ...locateRow(row), text: JSON.stringify(row.lease) };
    case "runTimes":
      return {
        table: WORK_TABLE.PROGRESS,
        part: OWNER_PART,
        key: RUN_TIMES_KEY,
        text: JSON.stringify(row.row),
      };
    case "waveReport": {
      const { wave, completed, seenWallMs, doneHosts } = row;
      const body: WaveProgress = { wave, completed, seenWallMs, doneHosts };
      return {
        table: WORK_TABLE.PROGRESS,
        part: OWNER_PART,
        key: `${WAVE_PREFIX}${row.wave}`,
        text: JSON.stringify(body),
      };
    }
    case "evacuationReport":
      return {
        table: WORK_TABLE.PROGRESS,
        part: OWNER_PART,
        key: `${EVACUATION_PREFIX}${row.report.zone}`,
        text: JSON.stringify(row.report),
      };
  }
};

/**
 * Decodes a stored row.
 *
 * @param text - Value of the row, as JSON.
 * @returns The row, or null if it belongs to another system or cannot be read.
 */
export const decodeRow = (
  table: string,
  key: string,
  version: number,
  text: string,
): StoreRow | null => {
  const body = parse(text);
  if (body === null) {
    return null;
  }
  const at = storeVersion(version);
  if (table === WORK_TABLE.SUBMISSIONS && key.endsWith(CANCEL_SUFFIX)) {
    return { type: "cancel", version: at, id: submissionId(key.slice(0, -CANCEL_SUFFIX.length)) };
  }
  if (table === WORK_TABLE.SUBMISSIONS && ROW_CHECK.SUBMISSION(body)) {
    const submission = body as SubmissionRow;
    return {
      type: "handIn",
      version: at,
      submission: { ...submission, work: boundedWork(submission.work) },
    };
  }
  if (table === WORK_TABLE.PROGRESS && key.startsWith(WAVE_PREFIX) && ROW_CHECK.WAVE(body)) {
    const { wave, completed, seenWallMs, doneHosts } = body as WaveProgress;
    return { type: "waveReport", version: at, wave, completed, seenWallMs, doneHosts };
  }
  if (table === WORK_TABLE.PROGRESS && key.startsWith(EVACUATION_PREFIX)) {
    return ROW_CHECK.EVACUATION(body)
      ? { type: "evacuationReport", version: at, report: body as EvacuationReport }
      : null;
  }
  if (table === WORK_TABLE.PROGRESS && key === RUN_TIMES_KEY) {
    return ROW_CHECK.RUN_TIMES(body)
      ? { type: "runTimes", version: at, row: body as RunTimesRow }
      : null;
  }
  if (table === WORK_TABLE.PROGRESS && ROW_CHECK.PROGRESS(body)) {
    return { type: "progress", version: at, progress: body as Progress };
  }
  if (table === WORK_TABLE.OWNER) {
    const owner = decodeOwner(body);
    return owner === null ? null : { type: "owner", version: at, owner };
  }
  if (table === WORK_TABLE.LEASES && ROW_CHECK.LEASE(body)) {
    return { type: "lease", version: at, worker: workerId(key), lease: body as LeasedWorker };
  }
  return null;
};

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    // The caller logs which row cannot be read.
    return null;
  }
};
