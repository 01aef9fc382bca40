import { type Revision, revision, type RowKey } from "@heatherferry/common";
import { auditPrefixes } from "../audit/auditKey.js";
import { formatAuditRow } from "../audit/formatAudit.js";
import { failed } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";

/** Lists what others have changed since the revision that the operator's file is based on. */
export class ShowConflictingChanges extends Operation {
  override readonly prefixes: readonly RowKey[];

  /**
   * @param path - Path of the operator's file.
   * @param from - Revision that the file is based on.
   * @param inForce - Revision in force.
   */
  constructor(
    private readonly path: string,
    private readonly from: Revision,
    private readonly inForce: Revision,
  ) {
    super();
    this.prefixes = auditPrefixes(revision(from + 1), inForce);
  }

  override decide(view: TableView): Finish {
    const changes = view.ofType("audit").map(({ body }) => formatAuditRow(body));
    return failed(
      `${this.path} starts from revision ${this.from}, and revision ${this.inForce} is in force. ` +
        `Nothing was changed, your file included. Changes since:\n${changes.join("")}` +
        "Run `heatherferry show > FILE`, add your changes to that file, and apply it.",
    );
  }
}
