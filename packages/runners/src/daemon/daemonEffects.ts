import type { JsonLogger } from "@heatherferry/common";
import type { Effect, WorkEffect } from "@heatherferry/core";
import { EffectRunner } from "../loop/eventLoop.js";
import type { TableRunner } from "../platform/tableRunner.js";
import type { ExitHandler } from "./gracefulExit.js";

/** The components that every daemon has. */
export interface DaemonParts {
  readonly log: JsonLogger;
  readonly table: TableRunner;
  readonly exitHandler: ExitHandler;
}

/** Effects that every daemon executes in the same way. */
type SharedEffect = Extract<
  Effect,
  { type: "table/read" | "table/write" | "rules/inForce" | "log/write" | "node/exit" }
>;

/**
 * Effects that only some kinds of daemon execute. It excludes the effects on submissions, which a
 * separate runner executes.
 */
export type RoleEffect = Exclude<Effect, SharedEffect | WorkEffect>;

const WORK_DOMAINS: readonly string[] = ["call", "store", "worker", "power", "clock"];

const isWorkEffect = (effect: Effect): effect is WorkEffect =>
  WORK_DOMAINS.includes(effect.type.split("/")[0] ?? "") ||
  effect.type === "node/readiness" ||
  effect.type === "node/closeFront";

/** Executes the effects that all daemons share and leaves the others to the subclass. */
export abstract class DaemonEffects extends EffectRunner {
  constructor(private readonly shared: DaemonParts) {
    super();
  }

  /** Executes an effect that is specific to the daemon's role. */
  protected abstract runRoleEffect(effect: RoleEffect): void;

  override run(effect: Effect): void {
    const { log, table, exitHandler } = this.shared;
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
        exitHandler.exit();
        return;
      default:
        if (isWorkEffect(effect)) {
          this.reportUnsupported(effect);
        } else {
          this.runRoleEffect(effect);
        }
    }
  }

  /** Logs an effect that the daemon's role does not support. */
  protected reportUnsupported(effect: Effect): void {
    this.shared.log("error", "effect.unsupported", { type: effect.type });
  }
}
