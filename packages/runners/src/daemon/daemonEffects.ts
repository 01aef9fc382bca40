import type { JsonLogger } from "@heatherferry/common";
import type { Effect, WorkEffect } from "@heatherferry/core";
import { EffectRunner } from "../loop/eventLoop.js";
import type { TableRunner } from "../platform/tableRunner.js";
import type { ExitSwitch } from "./closingExit.js";

/** The parts that every daemon has. */
export interface DaemonParts {
  readonly log: JsonLogger;
  readonly table: TableRunner;
  readonly exitSwitch: ExitSwitch;
}

/** Effects that every daemon carries out in the same way. */
type SharedEffect = Extract<
  Effect,
  { type: "table/read" | "table/write" | "rules/inForce" | "log/write" | "node/exit" }
>;

/** Effects that only some daemons carry out; those on submissions have a runner of their own. */
export type OwnEffect = Exclude<Effect, SharedEffect | WorkEffect>;

const WORK_DOMAINS: readonly string[] = ["call", "store", "worker", "power", "clock"];

const isWorkEffect = (effect: Effect): effect is WorkEffect =>
  WORK_DOMAINS.includes(effect.type.split("/")[0] ?? "") ||
  effect.type === "node/readiness" ||
  effect.type === "node/closeFront";

/** Carries out what all daemons share, and leaves the rest to the daemon. */
export abstract class DaemonEffects extends EffectRunner {
  constructor(private readonly shared: DaemonParts) {
    super();
  }

  /** @param effect - An effect of the daemon's own. */
  protected abstract runOwn(effect: OwnEffect): void;

  override run(effect: Effect): void {
    const { log, table, exitSwitch } = this.shared;
    switch (effect.type) {
      case "table/read":
        void table.read(effect.ranges);
        return;
      case "table/write":
        void table.write(effect.write);
        return;
      case "rules/inForce":
        log("info", "rules.inForce", { revision: effect.revision });
        return;
      case "log/write":
        log(effect.level, effect.event, effect.fields, effect.lineClass);
        return;
      case "node/exit":
        exitSwitch.exit();
        return;
      default:
        if (isWorkEffect(effect)) {
          this.notOfThisRole(effect);
        } else {
          this.runOwn(effect);
        }
    }
  }

  /** @param effect - An effect that the daemon's role never asks for. */
  protected notOfThisRole(effect: Effect): void {
    this.shared.log("error", "effect.notOfThisRole", { type: effect.type });
  }
}
