import { EXIT_CODE, type PoolId, rowKey } from "@heatherferry/common";
import { ROW_PREFIX } from "@heatherferry/core";
import {
  formatProblem,
  type PoolRule,
  RULE_PROBLEM_KIND,
  type RuleProblem,
} from "@heatherferry/rules";
import { err } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Continue, Finish } from "../operation/types.js";

const countHostsByPool = (view: TableView): ReadonlyMap<PoolId, number> => {
  const counts = new Map<PoolId, number>();
  for (const { body } of view.ofType("host")) {
    counts.set(body.pool, (counts.get(body.pool) ?? 0) + 1);
  }
  return counts;
};

const budgetProblem = (rule: PoolRule, hosts: number): RuleProblem => ({
  kind: RULE_PROBLEM_KIND.BUDGET_LARGER_THAN_POOL,
  line: rule.line,
  column: 1,
  problem: `Pool ${rule.pool} has ${hosts} hosts, and ${rule.maxUnavailable} may be unavailable`,
  remedy: `Lower max-unavailable below ${hosts}`,
});

/** Rejects a new budget that allows more unavailable hosts than the pool has. */
export class CheckBudgets extends Operation {
  override readonly prefixes = [rowKey(ROW_PREFIX.HOST)];

  /**
   * @param path - Path of the rules file, shown in messages.
   * @param pools - Pools whose line is new or changed.
   * @param next - Operation that follows if all budgets are valid.
   */
  constructor(
    private readonly path: string,
    private readonly pools: readonly PoolRule[],
    private readonly next: Operation,
  ) {
    super();
  }

  override decide(view: TableView): Finish | Continue {
    const counts = countHostsByPool(view);
    const problems = this.pools.flatMap((rule) => {
      const hosts = counts.get(rule.pool);
      return hosts !== undefined && rule.maxUnavailable > hosts ? [budgetProblem(rule, hosts)] : [];
    });
    if (problems.length === 0) {
      return { type: "continue", outputs: [], afterMs: 0, operation: this.next };
    }
    return {
      type: "finish",
      outputs: problems.map((problem) => err(formatProblem(this.path, problem))),
      exitCode: EXIT_CODE.BAD_INPUT,
    };
  }
}
