import { LOG_CLASS, type JsonLogger } from "@heatherferry/common";
import { Counter, type Registry } from "prom-client";
import { MET_LIMIT, type MetLimit } from "./constants.js";
import { LimitObserver } from "./limitObserver.js";

/** Shortest time between two log lines of the same limit. */
const LOG_INTERVAL_MS = 10_000;

interface LimitCount {
  total: number;
  logged: number;
  nextLogAtMs: number;
}

/** Counts the limits that clients meet, as a metric and as log lines of bounded volume. */
export class LimitReporter extends LimitObserver {
  private readonly counts = new Map<MetLimit, LimitCount>(
    Object.values(MET_LIMIT).map((limit) => [limit, { total: 0, logged: 0, nextLogAtMs: 0 }]),
  );

  /**
   * @param log - Receives at most one line per limit and interval.
   */
  constructor(private readonly log: JsonLogger) {
    super();
  }

  /**
   * Adds the counts as a metric.
   *
   * @param registry - Registry to add it to.
   */
  register(registry: Registry): void {
    const met = new Counter({
      name: "heatherferry_client_limits_met_total",
      help: "Times that a client met a limit and was refused or disconnected, by limit",
      labelNames: ["limit"],
      registers: [registry],
      collect: () => {
        met.reset();
        for (const [limit, { total }] of this.counts) {
          met.inc({ limit }, total);
        }
      },
    });
  }

  override met(limit: MetLimit): void {
    const count = this.counts.get(limit);
    if (count === undefined) {
      return;
    }
    count.total += 1;
    const nowMs = performance.now();
    if (nowMs >= count.nextLogAtMs) {
      const times = count.total - count.logged;
      this.log("warn", "client.limitMet", { limit, times }, LOG_CLASS.ROUTINE);
      count.logged = count.total;
      count.nextLogAtMs = nowMs + LOG_INTERVAL_MS;
    }
  }
}
