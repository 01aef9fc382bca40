import { tableVersion, writeId, type RowKey, type TableVersion } from "@heatherferry/common";
import type { RowPut, TableRow } from "@heatherferry/core";
import type { PlatformTable } from "@heatherferry/runners";
import {
  designRules,
  hostRowAt,
  memberRowAt,
  rulesHeadRow,
  zoneHostRows,
} from "../slopes/designRows.js";
import { DESIGN_SIZE } from "../slopes/designSize.js";

const HEARTBEAT_MS = 3_000;
const DAY_MS = 86_400_000;
const WAVE_DAYS = 21;
/** Row changes for the maintenance of one host: leaving, stopped, in service, and its budget. */
const CHANGES_PER_MAINTENANCE = 4;

/** Changes of host rows per day: restarts, failures and maintenance. */
const HOST_CHANGES_PER_DAY =
  1_800 + 63 + (DESIGN_SIZE.WORKERS / WAVE_DAYS) * CHANGES_PER_MAINTENANCE;

/** The zone whose entry hosts run as real processes. */
export const MEASURED_ZONE = 4;

/** Writes the rows to the table that the rest of the fleet and the operators would write. */
export class ControlLoad {
  private readonly versions = new Map<RowKey, TableVersion>();
  private readonly timers: NodeJS.Timeout[] = [];
  private count = 0;

  constructor(private readonly table: PlatformTable) {}

  /** Writes the rules and the hosts of all zones. */
  async fillTable(): Promise<void> {
    await this.put([rulesHeadRow(1, designRules())]);
    for (let zone = 0; zone < DESIGN_SIZE.ZONES; zone += 1) {
      await this.put(zoneHostRows(zone));
    }
  }

  /** Starts to change rows periodically. */
  start(): void {
    const text = designRules();
    const otherZones = DESIGN_SIZE.ZONES - 1;
    const otherEntryHosts = otherZones * DESIGN_SIZE.ENTRY_HOSTS_PER_ZONE;
    this.putPeriodically(HEARTBEAT_MS / otherEntryHosts, (count) => {
      const zone = count % otherZones;
      const index = Math.floor(count / otherZones) % DESIGN_SIZE.ENTRY_HOSTS_PER_ZONE;
      return memberRowAt(index, 0, zone < MEASURED_ZONE ? zone : zone + 1);
    });
    this.putPeriodically(DAY_MS / DESIGN_SIZE.RULE_CHANGES_PER_DAY, (count) =>
      rulesHeadRow(count + 2, text),
    );
    this.putPeriodically(DAY_MS / HOST_CHANGES_PER_DAY, (count) =>
      hostRowAt(count % DESIGN_SIZE.HOSTS_PER_ZONE, 0, count % DESIGN_SIZE.ZONES),
    );
  }

  stop(): void {
    this.timers.forEach(clearInterval);
  }

  private putPeriodically(intervalMs: number, makeRow: (count: number) => TableRow): void {
    let count = 0;
    const timer = setInterval(() => {
      count += 1;
      void this.put([makeRow(count)]);
    }, intervalMs);
    this.timers.push(timer);
  }

  private async put(rows: readonly TableRow[]): Promise<void> {
    this.count += 1;
    const id = writeId(`control-${this.count}`);
    const puts: RowPut[] = rows.map(({ key, body }) => ({ key, body, writeIds: [id] }));
    const conditions = puts.map(({ key }) => ({
      key,
      version: this.versions.get(key) ?? tableVersion(0),
    }));
    const result = await this.table.write({ writeId: id, conditions, puts });
    if (result.type === "committed") {
      puts.forEach(({ key }) => this.versions.set(key, result.version));
      return;
    }
    result.rows.forEach(({ key, version }) => this.versions.set(key, version));
  }
}
