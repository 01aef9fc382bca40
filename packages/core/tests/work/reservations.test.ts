import test from "ava";
import { RESERVATION, type Reservation, type Worker } from "../../src/index.js";
import { releaseWorker, reserveWorker } from "../../src/work/hosts/hostWorkers.js";
import { WorkSite } from "./workSite.js";

const MOVE: Reservation = { purpose: RESERVATION.MOVE, number: 1 };
const WAVE: Reservation = { purpose: RESERVATION.MAINTENANCE, number: 1 };

const anyWorker = (): Worker | null => {
  const site = new WorkSite(5, 1, 3);
  site.run(500);
  const owned = site.nodes[0]?.state.work?.owned;
  return [...(owned?.workers.values() ?? [])][0] ?? null;
};

test("a move releases a worker that a maintenance wave has reserved", (t) => {
  const worker = anyWorker();
  if (worker === null) {
    t.fail();
    return;
  }
  t.true(reserveWorker(worker, WAVE));
  t.false(reserveWorker(worker, MOVE));
  releaseWorker(worker, MOVE);
  t.deepEqual(worker.reservedFor, WAVE);
  releaseWorker(worker, { ...WAVE, number: 2 });
  t.deepEqual(worker.reservedFor, WAVE);
  releaseWorker(worker, WAVE);
  t.is(worker.reservedFor, null);
});
