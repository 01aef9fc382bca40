import { FAULT, FINDING, SOAK } from "./constants.js";
import { strengthOf } from "./drawWork.js";
import { addFinding, recordOf } from "./runRecords.js";
import type { SoakState, StepPlan, SubmissionRecord, WorkerRecord } from "./types.js";

/** Sound workers of a pool, and whether less than half of their capacity is in use. */
interface PoolRoom {
  readonly workers: readonly WorkerRecord[];
  readonly isHalfFree: boolean;
}

const ROOM_FOR = 2;

/** Returns the used share of a pool's sound workers, by the resource of which most is used. */
export const usedShare = (workers: readonly WorkerRecord[]): number => {
  const sum = { cpu: 0, memMb: 0, cpuCapacity: 0, memMbCapacity: 0 };
  for (const { used, identity } of workers) {
    sum.cpu += used.cpu;
    sum.memMb += used.memMb;
    sum.cpuCapacity += identity.capacity.cpu;
    sum.memMbCapacity += identity.capacity.memMb;
  }
  return sum.cpuCapacity === 0
    ? 1
    : Math.max(sum.cpu / sum.cpuCapacity, sum.memMb / sum.memMbCapacity);
};

/** Returns the sound workers of a pool outside of evacuated zones. */
export const soundWorkers = (
  { workers, evacuatedSinceMs }: SoakState,
  pool: string,
): readonly WorkerRecord[] =>
  [...workers.values()].filter(
    ({ identity, sound }) =>
      sound && identity.pool === pool && !evacuatedSinceMs.has(identity.zone),
  );

const roomOf = (state: SoakState, pool: string): PoolRoom => {
  const workers = soundWorkers(state, pool);
  return { workers, isHalfFree: 2 * usedShare(workers) < 1 };
};

/** Returns how many items of a step a worker has room for. */
const copiesOn = ({ used, identity }: WorkerRecord, { needs, maxPerWorker }: StepPlan): number => {
  const byCpu = Math.floor((identity.capacity.cpu - used.cpu) / needs.cpu);
  const byMemory = Math.floor((identity.capacity.memMb - used.memMb) / needs.memMb);
  return Math.min(byCpu, byMemory, maxPerWorker ?? Infinity);
};

/** Workers on which items of a step that limits them run already. */
const takenWorkers = (
  submission: SubmissionRecord,
  step: number,
  { count, maxPerWorker }: StepPlan,
): ReadonlySet<string> => {
  const taken = new Set<string>();
  for (let index = 0; index < count && maxPerWorker !== null; index += 1) {
    recordOf(submission, `${submission.id}.0.${step}.${index}`).running.forEach((worker) => {
      taken.add(worker);
    });
  }
  return taken;
};

const hasRoomTwice = (room: PoolRoom, step: StepPlan, taken: ReadonlySet<string>): boolean => {
  let copies = 0;
  for (const worker of room.workers) {
    copies += taken.has(worker.identity.id) ? 0 : Math.max(0, copiesOn(worker, step));
  }
  return copies >= ROOM_FOR;
};

const isStepDone = (submission: SubmissionRecord, step: number): boolean => {
  const { count } = submission.work.steps[step] ?? { count: 0 };
  for (let index = 0; index < count; index += 1) {
    if (submission.items.get(`${submission.id}.0.${step}.${index}`)?.done !== true) {
      return false;
    }
  }
  return true;
};

/** Returns the steps whose turn has come, that are not done and that have an item to start. */
const dueSteps = (submission: SubmissionRecord, atMs: number): number[] =>
  submission.work.steps.flatMap(({ after, count, longRunning }, step) => {
    const isDue = after.every((earlier) => isStepDone(submission, earlier));
    if (!isDue) {
      return [];
    }
    for (let index = 0; index < count; index += 1) {
      const item = recordOf(submission, `${submission.id}.0.${step}.${index}`);
      const sinceMs = atMs - (item.lastEndAtMs ?? submission.acceptedAtMs ?? atMs);
      const waits = item.running.size === 0 && !item.done;
      if (waits && (!longRunning || sinceMs >= SOAK.MAX_ITEM_IDLE_MS - SOAK.MAX_STARVED_MS)) {
        return [step];
      }
    }
    return [];
  });

/** Whether a submission is accepted and still has to be carried out. */
export const isOwed = (submission: SubmissionRecord): boolean => {
  const items = submission.work.steps.reduce((sum, { count }) => sum + count, 0);
  return (
    submission.acceptedAtMs !== null &&
    !submission.cancelled &&
    !submission.exhausted &&
    submission.doneCount < items
  );
};

const mayUseMore = (state: SoakState, { team }: SubmissionRecord): boolean => {
  const ceiling = state.plan.teams.find(({ name }) => name === team)?.ceilingCpuMilli ?? 0;
  const lowered = strengthOf(state, FAULT.LOWER_CEILINGS);
  const factor = lowered === 0 ? 1 : lowered;
  return ceiling === 0 || 2 * (state.teamCpuMilli.get(team) ?? 0) < ceiling * factor;
};

const couldRun = (
  state: SoakState,
  submission: SubmissionRecord,
  room: PoolRoom,
  atMs: number,
): boolean => {
  const isLongRunning = submission.kind.workMs === null;
  if ((submission.runningCount > 0 && !isLongRunning) || !room.isHalfFree) {
    return false;
  }
  return (
    mayUseMore(state, submission) &&
    dueSteps(submission, atMs).some((step) => {
      const spec = submission.work.steps[step];
      return spec !== undefined && hasRoomTwice(room, spec, takenWorkers(submission, step, spec));
    })
  );
};

/** Notes since when nothing of each submission runs although it could. */
export const watchStarvation = (state: SoakState, atMs: number): void => {
  const rooms = new Map<string, PoolRoom>();
  for (const submission of state.submissions.values()) {
    const { pool } = submission.kind;
    const room = rooms.get(pool) ?? roomOf(state, pool);
    rooms.set(pool, room);
    if (isOwed(submission) && couldRun(state, submission, room, atMs)) {
      submission.starvedSinceMs ??= atMs;
      const forMs = atMs - submission.starvedSinceMs;
      submission.longestStarvedMs = Math.max(submission.longestStarvedMs, forMs);
    } else {
      submission.starvedSinceMs = null;
    }
  }
};

/** Adds a finding for each submission that is starved for longer than the rule allows, once. */
export const reportStarvation = (state: SoakState, atMs: number): void => {
  for (const submission of state.submissions.values()) {
    const { id, starvedSinceMs, kind, team, isReported } = submission;
    const forMs = atMs - (starvedSinceMs ?? atMs);
    if (!isReported && forMs >= SOAK.MAX_STARVED_MS) {
      submission.isReported = true;
      const runs = [...submission.items.values()].reduce((sum, item) => sum + item.runs, 0);
      const steps = dueSteps(submission, atMs).join(", ");
      addFinding(
        state,
        FINDING.STARVED,
        atMs,
        id,
        `${kind.name} of ${team}: step ${steps} could run in ${kind.pool}; ${runs} runs so far, ${submission.doneCount} items done`,
      );
    }
  }
};
