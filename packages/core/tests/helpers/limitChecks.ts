import { TIME, type TeamId } from "@heatherferry/common";
import type { RuleSet, TeamRule } from "@heatherferry/rules";
import { escrowRowViolation, teamNeverAboveLimit, type State } from "../../src/index.js";
import type { TestFleet } from "./testFleet.js";

/** Work that started under an earlier limit may run for this long. */
const LONGEST_WORK_MS = 2 * TIME.MINUTE_MS;

/** Checks the invariants of limits over the whole fleet after each event. */
export class LimitChecks {
  /** By team and limit, when the limit was last in force on any node. */
  private readonly inForce = new Map<TeamId, Map<number, number>>();
  private checkedCommits = -1;

  constructor(private readonly fleet: TestFleet) {
    fleet.afterEvent = () => {
      this.check();
    };
  }

  private check(): void {
    const states = this.fleet
      .liveNodes()
      .filter((node) => !node.paused)
      .map((node) => node.state);
    const rules = this.highestLimits(states);
    this.recordLimits(rules);
    const violations = teamNeverAboveLimit(states, rules);
    if (violations.length > 0) {
      throw new Error(`At ${this.fleet.time.nowMs} ms: over limit: ${JSON.stringify(violations)}`);
    }
    this.checkRunning();
    this.checkRows();
  }

  /** Returns rules with the highest limit of each team, since nodes may differ in their rules. */
  private highestLimits(states: readonly State[]): RuleSet {
    const teams = new Map<TeamId, TeamRule>();
    for (const state of states) {
      for (const [team, rule] of state.revisions.rules.teams) {
        if (rule.limit > (teams.get(team)?.limit ?? -1)) {
          teams.set(team, rule);
        }
      }
    }
    const [first] = states;
    const rules = first?.revisions.rules;
    return {
      keys: new Map(),
      pools: new Map(),
      queues: new Map(),
      waves: new Map(),
      ...rules,
      teams,
    };
  }

  private recordLimits(rules: RuleSet): void {
    for (const { team, limit } of rules.teams.values()) {
      const seen = this.inForce.get(team) ?? new Map<number, number>();
      this.inForce.set(team, seen.set(limit, this.fleet.time.nowMs));
    }
  }

  /** Returns the highest limit under which work that still runs may have started. */
  private limitOfRunningWork(team: TeamId): number {
    const sinceMs = this.fleet.time.nowMs - LONGEST_WORK_MS;
    const seen = [...(this.inForce.get(team) ?? [])];
    return Math.max(0, ...seen.map(([limit, atMs]) => (atMs >= sinceMs ? limit : 0)));
  }

  private checkRunning(): void {
    const running = new Map<TeamId, number>();
    for (const { team } of this.fleet.runningWork.values()) {
      running.set(team, (running.get(team) ?? 0) + 1);
    }
    for (const [team, count] of running) {
      const limit = this.limitOfRunningWork(team);
      if (count > limit) {
        throw new Error(`At ${this.fleet.time.nowMs} ms: ${count} of ${team} run, limit ${limit}`);
      }
    }
  }

  private checkRows(): void {
    const { table } = this.fleet;
    if (table.commits === this.checkedCommits) {
      return;
    }
    this.checkedCommits = table.commits;
    const violation = table
      .all()
      .map(escrowRowViolation)
      .find((found) => found !== null);
    if (violation !== undefined) {
      throw new Error(`At ${this.fleet.time.nowMs} ms: invalid row: ${JSON.stringify(violation)}`);
    }
  }
}
