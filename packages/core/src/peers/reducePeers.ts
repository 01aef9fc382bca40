import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { NODE_ROLE } from "../node/constants.js";
import type { State } from "../state.js";
import { sendDigestsWhenDue } from "./digests.js";
import { recordPeerMessage, recordPeerUnreachable, refreshPeers } from "./knownPeers.js";
import {
  answerView,
  readViewWhenDue,
  recordViewReadSuccess,
  recordViewReadFailure,
} from "./peerView.js";

const handleTick = (state: State, effects: Effect[]): void => {
  if (state.node.identity.role !== NODE_ROLE.ENTRY) {
    return;
  }
  refreshPeers(state);
  sendDigestsWhenDue(state, effects);
  readViewWhenDue(state, effects);
};

/**
 * Exchanges status digests and views of the table with the other entry hosts of the zone.
 *
 * @param state - The state to update.
 * @param event - Any event.
 * @param effects - Receives the effects.
 */
export const reducePeers = (state: State, event: Event, effects: Effect[]): void => {
  switch (event.type) {
    case "clock/ticked":
      handleTick(state, effects);
      return;
    case "peers/seeded":
      state.peers.seeds = event.seeds;
      return;
    case "peer/received":
      recordPeerMessage(state, event);
      return;
    case "peer/unreachable":
      recordPeerUnreachable(state, event.to);
      recordViewReadFailure(state, event.to);
      return;
    case "peer/viewAsked":
      answerView(state, event.callId, event.ranges, effects);
      return;
    case "table/readCompleted":
      if (event.tableTimeMs === null) {
        recordViewReadSuccess(state);
      }
      return;
    default:
      return;
  }
};
