export type { HostId, PoolId } from "@heatherferry/common";
export type {
  CallAnswer,
  CallArrival,
  EndLine,
  HostListing,
  HostOrderResult,
  RunningLine,
  StartResult,
  WorkEffect,
} from "@heatherferry/core";
