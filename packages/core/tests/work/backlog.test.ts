import test from "ava";
import { BusySite } from "./busySite.js";
import { stepOf, workOf } from "./workSpecs.js";

const POOL = "mills";
const WORKERS = 250;
/** Of the strongest node. */
const CORES = 1.35;

const SUBMISSIONS = 600;
const ITEMS = 8;
const ITEM_ROOM = { cpuMilli: 1, memoryMb: 1_000, gpus: 0 };
/** Workers have 10,000 MB. */
const ITEMS_A_WORKER = 10;
const WORK_MS = 640;
const HAND_IN_GAP_MS = 2;

const SAMPLE_MS = 100;
const DAY_MS = 60_000;

/** Nothing waits so long while most of the room is free. */
const BESIDE_ROOM_MS = 3_000;

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** @returns How many items have room on the workers that there are. */
const roomOf = (site: BusySite): number =>
  ITEMS_A_WORKER * [...site.workers.values()].filter(({ report }) => report.pool === POOL).length;

/** @returns The longest time in which work waited while more than half of the room was free. */
const mostBesideRoomMs = (site: BusySite): number => {
  const handedInMs = site.nowMs + SUBMISSIONS * HAND_IN_GAP_MS;
  const endsMs = site.nowMs + DAY_MS;
  let besideRoomMs = 0;
  let mostMs = 0;
  let waits = true;
  while (site.nowMs < endsMs && waits && mostMs < BESIDE_ROOM_MS) {
    site.run(SAMPLE_MS);
    const { length } = site.unfinished();
    const most = Math.min(roomOf(site), ITEMS * length);
    besideRoomMs = site.running < most / 2 ? besideRoomMs + SAMPLE_MS : 0;
    mostMs = Math.max(mostMs, besideRoomMs);
    waits = length > 0 || site.nowMs < handedInMs;
  }
  return mostMs;
};

for (const { cores, what } of [
  { cores: 20 * CORES, what: "with a processor that is never short" },
  { cores: CORES, what: "with the processor of the strongest node" },
]) {
  test(`an owner ${what} leaves work waiting beside free workers`, (t) => {
    const site = new BusySite(5, WORKERS, cores);
    site.workMs = WORK_MS;
    site.run(2_000);
    for (let number = 0; number < SUBMISSIONS; number += 1) {
      site.at(number * HAND_IN_GAP_MS, () => {
        site.submit(idOf(number), POOL, workOf([{ ...stepOf(ITEMS, 1, []), needs: ITEM_ROOM }]), 0);
      });
    }
    const besideRoomMs = mostBesideRoomMs(site);
    t.log({ besideRoomMs, heldUp: site.heldUp, unfinished: site.unfinished().length });
    t.true(besideRoomMs < BESIDE_ROOM_MS, `LOST: ${besideRoomMs} ms beside room`);
    t.deepEqual(site.unfinished(), []);
  });
}
