import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  poolId,
  teamId,
} from "@heatherferry/common";
import {
  fence,
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  type State,
  type WorkBounds,
} from "@heatherferry/core";
import test from "ava";
import { Registry } from "prom-client";
import { registerAdmissionMetrics } from "../src/admissionMetrics.js";

const stateOfNode = (): State => {
  const identity = {
    role: NODE_ROLE.WORK,
    entryHostId: entryHostId("n0"),
    availabilityZone: availabilityZoneId("a"),
    incarnation: incarnation("n0-1"),
    callerAddress: address(""),
    peerAddress: address(""),
  };
  const state = initialState(identity, 1, 0);
  const self = { holder: "n0", incarnation: "n0-1" };
  state.work = initialWorkloadState(self, {} as WorkBounds, 1_000);
  return state;
};

test("refused calls do not show in the metrics, or a node shows the line of an earlier ownership", async (t) => {
  const state = stateOfNode();
  const registry = new Registry();
  registerAdmissionMetrics(registry, state);
  const admission = state.work?.admission;
  if (admission === undefined) {
    t.fail();
    return;
  }
  admission.refusals.byReason.overload = 3;
  const line = { team: teamId("a"), priority: 0, duesMs: [1_000], waitsMs: [7_500] };
  admission.owner = {
    fence: fence(1),
    averages: new Map(),
    offered: new Map(),
    refused: new Map(),
    returnBuckets: new Map(),
    figures: {
      asOfStoreMs: 1,
      pools: { [poolId("mills")]: { cpuMilli: { withinRateMs: 9, freeUnits: 1, lines: [line] } } },
      offeredPerS: { [teamId("a")]: 9 },
    },
    computedAtMs: 1,
  };
  const text = await registry.metrics();
  t.true(text.includes('heatherferry_refused_calls_total{reason="overload"} 3'));
  t.true(text.includes('heatherferry_refused_calls_total{reason="unavailable"} 0'));
  t.false(text.includes('pool="mills"'));
  t.true(text.includes("heatherferry_teams_beyond_rate 0"));
});
