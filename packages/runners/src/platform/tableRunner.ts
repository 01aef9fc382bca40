import { messageOf } from "@heatherferry/common";
import type { TableRange, TableWrite } from "@heatherferry/core";
import { EventLoop } from "../loop/eventLoop.js";
import type { PlatformTable } from "./platformTable.js";

/** Reads and writes the platform's table and reports the results as events. */
export class TableRunner {
  constructor(
    private readonly table: PlatformTable,
    private readonly loop: EventLoop,
  ) {}

  /** Reads the changed rows of the given ranges. */
  async read(ranges: readonly TableRange[]): Promise<void> {
    const sentAtMs = EventLoop.nowMs();
    try {
      const { rows, upToVersion, tableTimeMs } = await this.table.read(ranges);
      this.loop.handle({
        type: "table/readCompleted",
        sentAtMs,
        viewAgeMs: 0,
        ranges,
        rows,
        upToVersion,
        tableTimeMs,
      });
    } catch (error) {
      this.loop.handle({ type: "table/readFailed", reason: messageOf(error) });
    }
  }

  /** Writes one transaction. */
  async write(write: TableWrite): Promise<void> {
    const { writeId } = write;
    try {
      const result = await this.table.write(write);
      if (result.type === "committed") {
        const { version } = result;
        this.loop.handle({ type: "table/writeCommitted", writeId, version });
      } else {
        this.loop.handle({ type: "table/writeConflicted", writeId, rows: result.rows });
      }
    } catch (error) {
      this.loop.handle({ type: "table/writeUnanswered", writeId, reason: messageOf(error) });
    }
  }
}
