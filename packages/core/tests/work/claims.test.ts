import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  type AvailabilityZoneId,
} from "@heatherferry/common";
import test from "ava";
import {
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  reduce,
  storeVersion,
  type Effect,
  type Event,
} from "../../src/index.js";
import { BOUNDS, CATALOG } from "./siteFixtures.js";

const ZONE: AvailabilityZoneId = availabilityZoneId("a");

test("a node that reads its own claim before it is confirmed increments the fence again", (t) => {
  const state = initialState(
    {
      role: NODE_ROLE.WORK,
      entryHostId: entryHostId("n0"),
      availabilityZone: ZONE,
      incarnation: incarnation("n0-1"),
      callerAddress: address(""),
      peerAddress: address(""),
    },
    1,
    0,
  );
  state.work = initialWorkloadState({ holder: "n0", incarnation: "n0-1" }, BOUNDS, 1_000);
  const effects: Effect[] = [];
  const handle = (event: Event): void => {
    effects.push(...reduce(state, event));
  };
  const version = storeVersion(1);
  handle({ type: "clock/ticked", atMs: 1_000, wallMs: 1_000 });
  const catalog = { type: "catalog", version, catalog: CATALOG } as const;
  const seen = { type: "store/scanned", sentAtMs: 1_000, version, storeMs: null } as const;
  handle({ ...seen, scan: "operators", rows: [catalog], atMs: 1_010 });
  handle({ ...seen, scan: "owner", rows: [], atMs: 1_020 });
  handle({ type: "clock/ticked", atMs: 1_400, wallMs: 1_400 });
  handle({ ...seen, scan: "owner", rows: [], atMs: 1_410 });
  handle({ type: "clock/ticked", atMs: 1_700, wallMs: 1_700 });
  const claim = effects.find((effect) => effect.type === "store/commit");
  const row = claim?.writes.find((write) => write.type === "owner");
  t.truthy(row);
  if (claim === undefined || row === undefined) {
    return;
  }
  handle({
    ...seen,
    scan: "owner",
    rows: [{ ...row, version: storeVersion(2) }],
    atMs: 1_900,
  });
  const settled = { type: "store/commitSettled", result: "committed", rows: [] } as const;
  handle({
    ...settled,
    commitId: claim.commitId,
    sentAtMs: 1_410,
    version: storeVersion(2),
    reason: null,
    atMs: 1_950,
  });
  t.is(state.work.owned?.fence, row.owner.fence);
});
