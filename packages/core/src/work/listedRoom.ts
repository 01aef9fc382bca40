import { RESOURCES, roomOf } from "./room.js";
import type { OwnedWork, Worker } from "./state.js";
import { specOf } from "./itemLookup.js";
import { logLine, type Turn } from "./turn.js";
import type { Resources, RunningLine } from "./types.js";

/** What the runs that a worker lists take of it. */
interface ListedRoom {
  readonly room: Resources;
  /** Runs of submissions that the owner does not have, so that their room is not known. */
  readonly unknownRuns: number;
}

/** @returns What a listed run takes; null where that is not known. */
const roomOfLine = (
  owned: OwnedWork,
  { runs }: Worker,
  { item }: RunningLine,
): Resources | null => {
  const booked = runs.get(item);
  if (booked !== undefined) {
    return booked.room;
  }
  const spec = specOf(owned, item);
  return spec === null ? null : roomOf(spec);
};

const listedRoom = (
  owned: OwnedWork,
  worker: Worker,
  running: readonly RunningLine[],
): ListedRoom => {
  const room = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  let unknownRuns = 0;
  for (const line of running) {
    const taken = roomOfLine(owned, worker, line);
    if (taken === null) {
      unknownRuns += 1;
      continue;
    }
    for (const resource of RESOURCES) {
      room[resource] += taken[resource];
    }
  }
  return { room, unknownRuns };
};

/** Logs that a worker lists more than it has room for, beside what is booked on it. */
export const checkListedRoom = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  running: readonly RunningLine[],
): void => {
  const { capacity, id } = worker.report;
  const { room, unknownRuns } = listedRoom(owned, worker, running);
  if (RESOURCES.every((resource) => room[resource] <= capacity[resource])) {
    return;
  }
  logLine(turn, "warn", "worker.overfull", {
    worker: id,
    listed: running.length,
    unknownRuns,
    listedCpuMilli: room.cpuMilli,
    listedMemoryMb: room.memoryMb,
    listedGpus: room.gpus,
    usedCpuMilli: worker.usedCpuMilli,
    usedMemoryMb: worker.usedMemoryMb,
    usedGpus: worker.usedGpus,
    cpuMilli: capacity.cpuMilli,
    memoryMb: capacity.memoryMb,
    gpus: capacity.gpus,
    runs: worker.runs.size,
    strays: worker.strays.size,
    fence: Number(owned.fence),
  });
};
