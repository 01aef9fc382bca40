import { tableVersion } from "@heatherferry/common";
import { xoroshiro128plus } from "pure-rand";
import { PLATFORM_STAND_IN } from "./constants.js";
import type { Faults, PlatformStandInState } from "./types.js";

/** No injected faults. */
export const NO_FAULTS: Faults = {
  down: false,
  delayMs: 0,
  loseReplyFraction: 0,
  listLagMs: 0,
  lostHosts: [],
};

/** Returns the state of an empty platform without faults. */
export const initialPlatformState = (): PlatformStandInState => ({
  table: { version: tableVersion(0), lastCommittedAtMs: 0, rows: new Map(), log: [] },
  hosts: { declared: [], unavailable: new Set(), snapshots: [], rebooting: new Map() },
  objects: new Map(),
  faults: NO_FAULTS,
  random: xoroshiro128plus(PLATFORM_STAND_IN.DEFAULT_SEED),
  counters: {
    reads: 0,
    rowsRead: 0,
    writes: 0,
    conflicts: 0,
    lostReplies: 0,
    cutWhileDown: 0,
    hostLists: 0,
    reboots: 0,
  },
});
