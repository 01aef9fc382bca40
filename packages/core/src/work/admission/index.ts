export {
  averagesOf,
  countRefusal,
  newAdmissionState,
  noteRefused,
  offeredOf,
  ownerRecords,
  rememberRefused,
  takeLogLine,
  takeRefused,
  type AdmissionState,
} from "./admissionState.js";
export { addArrival, addOffered, addRunTime, RESOURCE_NAMES, runSpeed } from "./averages.js";
export { ADMISSION, ADMISSION_RESULT, REFUSAL_REASON, STANDING } from "./constants.js";
export { decideAdmission } from "./decision.js";
export { forecastWaits, inOrder, mayWaitLong } from "./forecast.js";
export { publishedForecast, publishedPools } from "./publishedFigures.js";
export { drawOf, isReturnSlot, outageReturn, overloadReturn } from "./returnTimes.js";
export { isStoreSilent, longestAnswerMs } from "./storeSilence.js";
export type {
  AdmissionDecision,
  AdmissionView,
  Newcomer,
  PoolRoom,
  RefusalReason,
  RememberedRefusal,
  Resource,
  Standing,
  WaitingWork,
} from "./types.js";
