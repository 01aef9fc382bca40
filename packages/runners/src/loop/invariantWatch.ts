import type { Effect, Event, Invariant, State } from "@heatherferry/core";
import type { JsonLogger } from "@heatherferry/common";
import { Counter, type Registry } from "prom-client";
import { EventObserver } from "./eventLoop.js";

/** Checks invariants after each event; counts and logs violations. */
export class InvariantWatch extends EventObserver {
  private readonly violations: Counter<"invariant">;

  /**
   * @param invariants - Invariants to check.
   * @param registry - Registry of the metric that counts violations.
   * @param log - Logs violations.
   */
  constructor(
    private readonly invariants: readonly Invariant[],
    registry: Registry,
    private readonly log: JsonLogger,
  ) {
    super();
    this.violations = new Counter({
      name: "heatherferry_invariant_violations_total",
      help: "Events after which something that must always hold did not",
      labelNames: ["invariant"],
      registers: [registry],
    });
    invariants.forEach(({ name }) => {
      this.violations.inc({ invariant: name }, 0);
    });
  }

  override observe(event: Event, effects: readonly Effect[], state: State): void {
    for (const invariant of this.invariants) {
      const violation = invariant.violation(event, effects, state);
      if (violation !== null) {
        this.violations.inc({ invariant: invariant.name });
        this.log("error", "invariant.violated", { invariant: invariant.name, violation });
      }
    }
  }
}
