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
export type LookOrder = Extract<WorkEffect, { type: "worker/look" }>;
export type PaceOrder = Extract<WorkEffect, { type: "worker/pace" }>;
export type MoveEffect = Extract<WorkEffect, { type: "power/move" }>;
export type UpkeepEffect = Extract<WorkEffect, { type: "power/upkeep" }>;

export interface StartAnswer {
  readonly result: StartResult;
  readonly reason: string | null;
  readonly clockMs: number | null;
}

export interface StopAnswer {
  /** The worker won't begin this run any more. */
  readonly settled: boolean;
  readonly wrongIncarnation: boolean;
  readonly clockMs: number | null;
}

export type LookAnswer =
  | {
      readonly type: "seen";
      readonly clockMs: number;
      readonly startWallMs: number | null;
      readonly running: readonly RunningLine[];
      readonly ends: readonly EndLine[];
      /** False where the worker may have more ends than it lists at a time. */
      readonly endsComplete: boolean;
    }
  | { readonly type: "failed"; readonly wrongIncarnation: boolean; readonly reason: string };

/**
 * Orders to workers. No method throws: what went wrong is in the answer. An order does not leave
 * after its `sendDeadlineMs`.
 */
export abstract class WorkerLink {
  abstract start(order: StartOrder): Promise<StartAnswer>;
  abstract stop(order: StopOrder): Promise<StopAnswer>;
  abstract look(order: LookOrder): Promise<LookAnswer>;
  /** @returns Null if the worker took it, else what went wrong. */
  abstract pace(order: PaceOrder): Promise<string | null>;
  abstract close(): Promise<void>;
}

export interface HostOrderAnswer {
  readonly result: HostOrderResult;
  readonly reason: string | null;
}

/** The platform's orders to hosts. An order does not leave after its `sendDeadlineMs`. */
export abstract class HostPower {
  /** @throws PlatformError when the platform does not answer. */
  abstract list(): Promise<readonly HostListing[]>;
  abstract move(order: MoveEffect): Promise<HostOrderAnswer>;
  abstract upkeep(order: UpkeepEffect): Promise<HostOrderAnswer>;
  abstract close(): Promise<void>;
}
