import {
  storeVersion,
  submissionId,
  workerId,
  WORK_TABLE,
  OWNER_KEY,
  type SubmissionRow,
  type LeasedWorker,
  type OwnerRow,
  type Progress,
  type RowName,
  type RowToWrite,
  type StoreRow,
  type SubmissionId,
} from "@heatherferry/core";
import type { HostId } from "@heatherferry/common";
import { ROW_CHECK } from "./rowChecks.js";

/** Where a row lies, and its text. */
export interface EncodedRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly text: string;
}

/**
 * The owner's rows lie together, so that each of its writes can ask for its own row; and where
 * reports to the operators lie.
 */
const OWNER_PART = "";

/**
 * Hand-ins are spread by id: transactions of one part run one after another, and a slow store
 * would queue them for seconds.
 */
const HAND_IN_PARTS = Array.from({ length: 16 }, (_, digit) => `h${digit.toString(16)}`);

const handInPart = (id: SubmissionId): string => `h${id.slice(-1)}`;

/** @returns All parts of a table of the product. */
export const partsOfTable = (table: string): readonly string[] =>
  table === WORK_TABLE.SUBMISSIONS ? HAND_IN_PARTS : [OWNER_PART];

/** A cancel lies beside its hand-in, so that one transaction can ask for the one and write the other. */
const CANCEL_SUFFIX = "~cancel";
const WAVE_PREFIX = "wave-";

interface WaveProgress {
  readonly wave: number;
  readonly completed: boolean;
  /** When an owner first saw the request. */
  readonly seenWallMs: number;
  readonly doneHosts: readonly HostId[];
}

/** @returns Where a row lies. */
export const locateRow = (name: RowName): Omit<EncodedRow, "text"> => {
  switch (name.type) {
    case "handIn":
      return { table: WORK_TABLE.SUBMISSIONS, part: handInPart(name.id), key: name.id };
    case "cancel":
      return {
        table: WORK_TABLE.SUBMISSIONS,
        part: handInPart(name.id),
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

/** @returns The row as it is stored. */
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
      return { ...locateRow({ type: "owner" }), text: JSON.stringify(row.owner) };
    case "lease":
      return { ...locateRow(row), text: JSON.stringify(row.lease) };
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
  }
};

/**
 * @param table - Table of the row.
 * @param key - Its key.
 * @param version - Its version.
 * @param text - What it holds.
 * @returns The row, or null if it is none of the product's or cannot be read.
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
  if (table === WORK_TABLE.SUBMISSIONS && ROW_CHECK.HAND_IN(body)) {
    return { type: "handIn", version: at, submission: body as SubmissionRow };
  }
  if (table === WORK_TABLE.PROGRESS && key.startsWith(WAVE_PREFIX) && ROW_CHECK.WAVE(body)) {
    const { wave, seenWallMs, doneHosts } = body as WaveProgress;
    return { type: "waveReport", version: at, wave, seenWallMs, doneHosts };
  }
  if (table === WORK_TABLE.PROGRESS && ROW_CHECK.PROGRESS(body)) {
    return { type: "progress", version: at, progress: body as Progress };
  }
  if (table === WORK_TABLE.OWNER && ROW_CHECK.OWNER(body)) {
    return { type: "owner", version: at, owner: body as OwnerRow };
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
    // The caller names the row in its log line.
    return null;
  }
};
