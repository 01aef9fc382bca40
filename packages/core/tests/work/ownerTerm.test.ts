import test from "ava";
import { fence, OWNERSHIP, type OwnerRow } from "../../src/index.js";
import {
  nextTermMs,
  presentTermMs,
  recordRenewal,
  takeoverMs,
} from "../../src/work/ownership/ownerTerm.js";
import type { OwnedWork } from "../../src/work/state.js";
import type { Turn } from "../../src/work/turn.js";

const ROW: OwnerRow = {
  holder: "n",
  incarnation: "n-1",
  fence: fence(1),
  released: false,
  orderedHosts: {},
  pending: null,
  strongestMilli: 1_000,
};

const at = (nowMs: number): Turn => ({ nowMs }) as Turn;

interface Confirmations {
  readonly renewalAge: { longestMs: number; atMs: number };
  confirmedAtMs: number;
}

/** Records renewals at regular intervals, each confirmed some time after it was sent. */
const renew = (owned: Confirmations, fromMs: number, untilMs: number, answerMs: number): void => {
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += OWNERSHIP.RENEW_MS + answerMs) {
    recordRenewal(at(nowMs), owned as OwnedWork);
    owned.confirmedAtMs = nowMs - answerMs;
  }
};

const newOwner = (): Confirmations => ({
  renewalAge: { longestMs: OWNERSHIP.CONFIRMED_MS, atMs: 0 },
  confirmedAtMs: 0,
});

test("a node waits as long for a lost owner as if the store were slow", (t) => {
  const owned = newOwner();
  t.is(nextTermMs(at(0), owned as OwnedWork), OWNERSHIP.CONFIRMED_MS);
  renew(owned, 0, 30_000, 15);
  t.is(nextTermMs(at(30_000), owned as OwnedWork), OWNERSHIP.MIN_CONFIRMED_MS);
});

test("an owner loses its term again and again while the store is slow", (t) => {
  const owned = newOwner();
  renew(owned, 0, 30_000, 15);
  renew(owned, 30_000, 33_000, 700);
  t.is(nextTermMs(at(33_000), owned as OwnedWork), OWNERSHIP.CONFIRMED_MS);
});

test("an owner acts after another node may have claimed by a shorter term in flight", (t) => {
  const longer = { termMs: 1_100, commitInFlight: { termMs: 600 } };
  t.is(presentTermMs(longer as unknown as OwnedWork), 600);
  const shorter = { termMs: 600, commitInFlight: { termMs: 1_100 } };
  t.is(presentTermMs(shorter as unknown as OwnedWork), 600);
});

test("a row of an earlier version or a damaged term lets a node claim too early", (t) => {
  t.is(takeoverMs(ROW), OWNERSHIP.CONFIRMED_MS + OWNERSHIP.TAKEOVER_MARGIN_MS);
  t.is(
    takeoverMs({ ...ROW, termMs: 0 }),
    OWNERSHIP.MIN_CONFIRMED_MS + OWNERSHIP.TAKEOVER_MARGIN_MS,
  );
});
