import { rowKey, waveId } from "@heatherferry/common";
import { ROW_PREFIX } from "@heatherferry/core";
import { formatRule } from "@heatherferry/rules";
import { done, failed } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { parsedRulesInForce, RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";
import { describeWave } from "./describeWave.js";

/** Prints the rule and the progress of a maintenance wave. */
export class ShowWave extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY, rowKey(ROW_PREFIX.WAVE)];

  /** @param wave - Name of the wave. */
  constructor(private readonly wave: string) {
    super();
  }

  override decide(view: TableView): Finish {
    const rule = parsedRulesInForce(rulesInForce(view)).waves.get(waveId(this.wave));
    const row = view.ofType("wave").find(({ body }) => body.waveId === this.wave);
    if (rule === undefined && row === undefined) {
      return failed(`There is no wave "${this.wave}". \`heatherferry status\` lists the waves.`);
    }
    const lines = [
      rule === undefined ? "no rule: it was removed" : `line ${rule.line}: ${formatRule(rule)}`,
      row === undefined ? `${this.wave}: not begun` : describeWave(row.body, view.tableTimeMs),
    ];
    return done(lines.join("\n"));
  }
}
