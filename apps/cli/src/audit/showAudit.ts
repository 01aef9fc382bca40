import { type Revision, revision, type RowKey } from "@heatherferry/common";
import { AUDIT } from "../constants.js";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Continue, Finish } from "../operation/types.js";
import { RULES_HEAD_KEY, rulesInForce } from "../rulesChange/rulesInForce.js";
import { auditPrefixes } from "./auditKey.js";
import { formatAuditRow } from "./formatAudit.js";

class ListAudit extends Operation {
  override readonly prefixes: readonly RowKey[];

  constructor(from: Revision, to: Revision) {
    super();
    this.prefixes = auditPrefixes(from, to);
  }

  override decide(view: TableView): Finish {
    return done(
      view
        .ofType("audit")
        .map(({ body }) => formatAuditRow(body))
        .join(""),
    );
  }
}

/** Lists the changes of the rules recorded in the audit trail. */
export class ShowAudit extends Operation {
  override readonly prefixes = [RULES_HEAD_KEY];

  /** @param since - First revision to list; null for the most recent ones. */
  constructor(private readonly since: Revision | null) {
    super();
  }

  override decide(view: TableView): Finish | Continue {
    const { revision: last } = rulesInForce(view);
    const first = Math.max(this.since ?? last - AUDIT.DEFAULT_REVISION_COUNT + 1, 1);
    if (first > last) {
      return done(`No revision from ${first} on; ${last} is in force.`);
    }
    return {
      type: "continue",
      outputs: [],
      afterMs: 0,
      operation: new ListAudit(revision(first), last),
    };
  }
}
