import type { ValueOf } from "@heatherferry/common";
import type { ExchangeId } from "../http/types.js";
import type { TARGET_BEHAVIOUR } from "./constants.js";

export type TargetBehaviourName = ValueOf<typeof TARGET_BEHAVIOUR>;

/** Work that a request asks of the target. */
export interface RequestedWork {
  /** Tag that the caller gives to the request; unique for each request. */
  readonly tag: string;
  readonly workMs: number;
  readonly workJitterMs: number;
  readonly answerBytes: number;
}

/** Counters of one target. */
export interface TargetCounters {
  refusedFull: number;
  /** Requests in flight that a stop or reboot interrupted. */
  cutOff: number;
  /** Requests whose caller disconnected while they ran. */
  hungUp: number;
  peakRunning: number;
  reboots: number;
}

/** State of a target; only `reduceTarget` changes it, in place. */
export interface TargetState {
  readonly slots: number;
  behaviour: TargetBehaviourName;
  /** Whether the host is up; a host that is down answers nothing. */
  powered: boolean;
  /** Requests that occupy a slot. */
  running: Map<ExchangeId, { readonly tag: string }>;
  runsByTag: Map<string, number>;
  counters: TargetCounters;
}

export type TargetEvent =
  | {
      readonly type: "request/arrived";
      readonly exchangeId: ExchangeId;
      readonly work: RequestedWork;
      /** Fraction of the jitter to add to the work time, from 0 to 1. */
      readonly jitterFraction: number;
    }
  /** The work of the request has ended, whether or not it is answered. */
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
  /** Works for `workMs`, then answers according to the behaviour. */
  | {
      readonly type: "request/run";
      readonly exchangeId: ExchangeId;
      readonly work: RequestedWork;
      readonly workMs: number;
      readonly behaviour: TargetBehaviourName;
    }
  /** Refuses the request as not run, since all slots are in use. */
  | { readonly type: "request/refuse"; readonly exchangeId: ExchangeId; readonly tag: string }
  /** Stops the work, since the caller has disconnected. */
  | { readonly type: "request/abandon"; readonly exchangeId: ExchangeId }
  /** Destroys the connection of the request, since the host is down. */
  | { readonly type: "request/destroy"; readonly exchangeId: ExchangeId }
  /** Destroys all connections except the one that requested the reboot. */
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
