import type {
  EndLine,
  HostListing,
  HostOrderResult,
  RunningLine,
  StartResult,
  WorkEffect,
} from "./types.js";

export type StartOrder = Extract<WorkEffect, { type: "worker/start" }>;
export type StopOrder = Extract<WorkEffect, { type: "worker/stop" }>;
export type PollOrder = Extract<WorkEffect, { type: "worker/look" }>;
export type PaceOrder = Extract<WorkEffect, { type: "worker/pace" }>;
export type HostMoveOrder = Extract<WorkEffect, { type: "power/move" }>;
export type HostMaintenanceOrder = Extract<WorkEffect, { type: "power/upkeep" }>;

/** Result of a start order. */
export interface StartAnswer {
  readonly result: StartResult;
  readonly reason: string | null;
  readonly clockMs: number | null;
}

/** Result of sending a stop order, whether or not the worker answered it. */
export interface StopAnswer {
  /** Whether the worker will not start this run any more. */
  readonly settled: boolean;
  readonly wrongIncarnation: boolean;
  readonly clockMs: number | null;
}

/** Result of a poll of a worker. */
export type PollAnswer =
  | {
      readonly type: "seen";
      readonly clockMs: number;
      readonly startWallMs: number | null;
      readonly running: readonly RunningLine[];
      readonly ends: readonly EndLine[];
      /** False if the worker may have more run ends than it lists in one answer. */
      readonly endsComplete: boolean;
    }
  | { readonly type: "failed"; readonly wrongIncarnation: boolean; readonly reason: string };

/**
 * Sends orders to workers. No method throws: the answer says what went wrong. An order is not sent
 * after its `sendDeadlineMs`.
 */
export abstract class WorkerLink {
  abstract start(order: StartOrder): Promise<StartAnswer>;
  abstract stop(order: StopOrder): Promise<StopAnswer>;
  abstract poll(order: PollOrder): Promise<PollAnswer>;
  /** Sets the pace of a run. Returns null if the worker accepted it, otherwise what went wrong. */
  abstract pace(order: PaceOrder): Promise<string | null>;
  abstract close(): Promise<void>;
}

/** Result of an order to a host. */
export interface HostOrderAnswer {
  readonly result: HostOrderResult;
  readonly reason: string | null;
}

/** Lists hosts and sends orders to them. An order is not sent after its `sendDeadlineMs`. */
export abstract class HostControl {
  /**
   * Returns all hosts that the platform lists.
   *
   * @throws PlatformError if the platform does not answer.
   */
  abstract list(): Promise<readonly HostListing[]>;
  abstract move(order: HostMoveOrder): Promise<HostOrderAnswer>;
  abstract maintain(order: HostMaintenanceOrder): Promise<HostOrderAnswer>;
  abstract close(): Promise<void>;
}
