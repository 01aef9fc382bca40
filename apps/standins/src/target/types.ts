import type { ValueOf } from "@heatherferry/common";
import type { ExchangeId } from "../http/types.js";
import type { TARGET_BEHAVIOUR } from "./constants.js";

export type TargetBehaviourName = ValueOf<typeof TARGET_BEHAVIOUR>;

/** What a request asks of the target. */
export interface Work {
  /** The caller's name for the request; distinct for each. */
  readonly tag: string;
  readonly workMs: number;
  readonly workJitterMs: number;
  readonly answerBytes: number;
}

/** Counts of one target. */
export interface TargetCounters {
  refusedFull: number;
  /** Requests in flight that a stop or reboot cut off. */
  cutOff: number;
  /** Requests whose caller hung up while they ran. */
  hungUp: number;
  peakRunning: number;
  reboots: number;
}

/** Only `reduceTarget` writes to it, in place. */
export interface TargetState {
  readonly slots: number;
  behaviour: TargetBehaviourName;
  /** Off: nothing is answered. */
  powered: boolean;
  /** Requests that hold a slot. */
  running: Map<ExchangeId, { readonly tag: string }>;
  runsByTag: Map<string, number>;
  counters: TargetCounters;
}

export type TargetEvent =
  | {
      readonly type: "request/arrived";
      readonly exchangeId: ExchangeId;
      readonly work: Work;
      /** From 0 to 1: where in the jitter this request falls. */
      readonly jitterFraction: number;
    }
  /** The target is done with the request, whether it answered or not. */
  | { readonly type: "request/ended"; readonly exchangeId: ExchangeId }
  | { readonly type: "request/connectionLost"; readonly exchangeId: ExchangeId }
  | { readonly type: "behaviour/set"; readonly behaviour: TargetBehaviourName }
  | {
      readonly type: "reboot/requested";
      readonly exchangeId: ExchangeId;
      readonly comesBack: boolean;
    }
  | {
      readonly type: "reboot/elapsed";
      readonly exchangeId: ExchangeId;
      readonly comesBack: boolean;
    }
  | { readonly type: "stop/elapsed" };

export type TargetEffect =
  /** Work for a time, then answer as the behaviour does. */
  | {
      readonly type: "request/run";
      readonly exchangeId: ExchangeId;
      readonly work: Work;
      readonly workMs: number;
      readonly behaviour: TargetBehaviourName;
    }
  /** All slots are taken: the request is not run. */
  | { readonly type: "request/refuse"; readonly exchangeId: ExchangeId; readonly tag: string }
  /** The caller hung up: stop the work. */
  | { readonly type: "request/abandon"; readonly exchangeId: ExchangeId }
  /** The power is off. */
  | { readonly type: "request/destroy"; readonly exchangeId: ExchangeId }
  /** Cut all connections but that of the order itself. */
  | { readonly type: "connections/destroy"; readonly exceptExchangeId: ExchangeId | null }
  | {
      readonly type: "reboot/wait";
      readonly exchangeId: ExchangeId;
      readonly comesBack: boolean;
    }
  | {
      readonly type: "reboot/answer";
      readonly exchangeId: ExchangeId;
      readonly cameBack: boolean;
    };
