import { RUN_END } from "../work/workerConstants.js";
import type { RunEnd } from "../work/workerTypes.js";
import { FINDING } from "./constants.js";
import { checkEvacuation } from "./evacuationRule.js";
import type {
  FindingKind,
  ItemRecord,
  SoakState,
  StepPlan,
  SubmissionRecord,
  WorkerRecord,
} from "./types.js";

/** Place of an item within its submission. */
interface ItemPlace {
  readonly submission: SubmissionRecord;
  readonly step: StepPlan;
}

const ITEM_NAME_PARTS = { ID: 0, STEP: 2 } as const;

/** Returns where an item of work belongs; null if nobody has handed it in. */
export const placeOf = (state: SoakState, item: string): ItemPlace | null => {
  const parts = item.split(".");
  const submission = state.submissions.get(parts[ITEM_NAME_PARTS.ID] ?? "");
  const step = submission?.work.steps[Number(parts[ITEM_NAME_PARTS.STEP])];
  return submission === undefined || step === undefined ? null : { submission, step };
};

/** Returns what happened to an item so far. */
export const recordOf = ({ items }: SubmissionRecord, item: string): ItemRecord => {
  let record = items.get(item);
  if (record === undefined) {
    record = {
      running: new Set(),
      done: false,
      doneRuns: new Map(),
      doneAcknowledged: false,
      failedRuns: 0,
      runs: 0,
      lastEndAtMs: null,
    };
    items.set(item, record);
  }
  return record;
};

/** Adds a finding. */
export const addFinding = (
  state: SoakState,
  kind: FindingKind,
  atMs: number,
  subject: string,
  text: string,
): void => {
  state.findings.push({ kind, atMs: Math.round(atMs - state.startedAtMs), subject, text });
};

const charge = (
  state: SoakState,
  worker: WorkerRecord,
  { submission, step }: ItemPlace,
  sign: 1 | -1,
): void => {
  worker.used.cpu += sign * step.needs.cpu;
  worker.used.memMb += sign * step.needs.memMb;
  submission.runningCount += sign;
  const teamCpuMilli = state.teamCpuMilli.get(submission.team) ?? 0;
  state.teamCpuMilli.set(submission.team, teamCpuMilli + sign * step.needs.cpu);
};

const isOverfull = ({ used, identity: { capacity } }: WorkerRecord): boolean =>
  used.cpu > capacity.cpu || used.memMb > capacity.memMb;

const AFTER_DONE = "after an end as done that was acknowledged";

/** Names a run of an item; run numbers are unique on a worker only. */
const runName = (workerId: string, run: number): string => `${workerId} ${run}`;

/** Notes that a worker has started an item. */
export const noteStart = (state: SoakState, workerId: string, item: string, atMs: number): void => {
  const place = placeOf(state, item);
  const worker = state.workers.get(workerId);
  if (place === null || worker === undefined) {
    return;
  }
  const record = recordOf(place.submission, item);
  if (record.running.size > 0) {
    const others = [...record.running].join(", ");
    addFinding(state, FINDING.TWICE, atMs, item, `started on ${workerId}, runs on ${others}`);
  }
  if (record.doneAcknowledged) {
    addFinding(state, FINDING.TWICE, atMs, item, `started on ${workerId}, ${AFTER_DONE}`);
  }
  record.doneRuns.forEach((done) => {
    done.restarted = true;
  });
  checkEvacuation(state, worker, item, atMs);
  record.running.add(workerId);
  record.runs += 1;
  charge(state, worker, place, 1);
  if (isOverfull(worker)) {
    addFinding(state, FINDING.LIMIT, atMs, workerId, `${item} brings it over its capacity`);
  }
};

/** Notes that a run of an item has ended on a worker. */
export const noteEnd = (
  state: SoakState,
  workerId: string,
  item: string,
  run: number,
  end: RunEnd,
  atMs: number,
): void => {
  const place = placeOf(state, item);
  const worker = state.workers.get(workerId);
  if (place === null || worker === undefined) {
    return;
  }
  const { submission } = place;
  const record = recordOf(submission, item);
  record.running.delete(workerId);
  record.lastEndAtMs = atMs;
  charge(state, worker, place, -1);
  if (end === RUN_END.DONE && !place.step.longRunning) {
    record.doneRuns.set(runName(workerId, run), { restarted: false });
  }
  if (end === RUN_END.DONE && !record.done) {
    record.done = true;
    submission.doneCount += 1;
  }
  if (end === RUN_END.FAILED && !place.step.longRunning) {
    record.failedRuns += 1;
    submission.exhausted ||= record.failedRuns >= submission.kind.maxAttempts;
  }
};

/** Notes that a run end was acknowledged; an item must not start after one as done, or have started. */
export const noteAcknowledgement = (
  state: SoakState,
  workerId: string,
  item: string,
  run: number,
  atMs: number,
): void => {
  const place = placeOf(state, item);
  const record = place === null ? undefined : recordOf(place.submission, item);
  const done = record?.doneRuns.get(runName(workerId, run));
  if (record === undefined || done === undefined) {
    return;
  }
  record.doneAcknowledged = true;
  if (done.restarted) {
    addFinding(state, FINDING.TWICE, atMs, item, `started before, ${AFTER_DONE} on ${workerId}`);
  }
};
