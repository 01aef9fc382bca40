export { EVACUATION, EVACUATION_STATE } from "./constants.js";
export { addRequest, newEvacuations, removeRequest, zonesWithoutRow } from "./requests.js";
export { feedWaitMs, isViewCurrent, maxViewAgeMs } from "./requestView.js";
export { hasOpenReports, NOTHING_REMAINS, runsLeft, updateReports } from "./reports.js";
export { forgetReturned, isClosedByZone, isEvacuated } from "./zoneClosure.js";
export type {
  EvacuationRecord,
  EvacuationReport,
  EvacuationRequest,
  Evacuations,
  EvacuationState,
  RemainingWork,
  ZonedWorker,
} from "./types.js";
