import type { HostId } from "@heatherferry/common";
import type { ItemKey, StoreRow } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

/** Id of the long-running submission of a test. */
export const LONG_RUNNING = "00000000000000aa";

export const ZONES = ["a", "b", "c"] as const;

/** Time within which starts must end in a zone whose evacuation is requested. */
export const EVACUATION_MS = 2_000;

/** Time until a node has seen a change of the operators' table in calm. */
export const FEED_LATENCY_MS = 100;

/** A site with three zones whose operators evacuate zones, and callers that submit short work. */
export class EvacuationSite extends WorkSite {
  private submitted = 0;

  constructor(
    seed: number,
    nodes = 2,
    workersPerPool = 6,
    standbyHosts = 0,
    startupMs: number | null = 200,
  ) {
    super(seed, nodes, workersPerPool, standbyHosts, startupMs);
    this.spreadOverZones(ZONES);
    this.setEvacuationBound(EVACUATION_MS);
  }

  protected override durationMs = (item: ItemKey): number =>
    item.startsWith(LONG_RUNNING) ? 600_000 : (this.runDurationMs ?? 200 + this.randomBelow(200));

  /** Submits a batch item at regular intervals. */
  submitEvery(intervalMs: number, forMs: number, cpuMilli = 900): void {
    for (let atMs = 0; atMs < forMs; atMs += intervalMs) {
      this.schedule(atMs, () => {
        this.submitted += 1;
        const id = this.submitted.toString(16).padStart(16, "f");
        this.submit(id, "mills", workOf([stepOf(1, cpuMilli, [])]), 0);
      });
    }
  }

  /** Returns the number of starts sent to a zone until now. */
  startsIn(zone: string): number {
    return this.effects.filter(
      (effect) => effect.type === "worker/start" && this.zoneOfWorker(effect.worker) === zone,
    ).length;
  }

  /** Returns the number of runs in a zone. */
  runsIn(zone: string): number {
    let runs = 0;
    for (const worker of this.workers.values()) {
      runs += worker.report.availabilityZone === zone ? worker.runs.size : 0;
    }
    return runs;
  }

  /** Returns the number of long-running items that run outside of a zone. */
  longRunningOutside(zone: string): number {
    let runs = 0;
    for (const worker of this.workers.values()) {
      const keys = worker.report.availabilityZone === zone ? [] : [...worker.runs.keys()];
      runs += keys.filter((key) => key.startsWith(LONG_RUNNING)).length;
    }
    return runs;
  }

  /** Returns the log lines of an event that nodes have written. */
  logged(event: string): readonly Readonly<Record<string, unknown>>[] {
    return this.effects.flatMap((effect) =>
      effect.type === "log/write" && effect.event === event ? [effect.fields] : [],
    );
  }

  /** Returns the newest stored report on a zone. */
  reportOn(zone: string): Extract<StoreRow, { type: "evacuationReport" }>["report"] | null {
    const rows = this.store
      .scan("progress")
      .flatMap((row) => (row.type === "evacuationReport" ? [row.report] : []));
    return rows.find((report) => report.zone === zone) ?? null;
  }

  zoneOfListedHost(host: HostId): string {
    return this.zoneOf(host);
  }

  ownerIndex(): number {
    return this.nodes.findIndex(({ up, state }) => up && state.work?.owned != null);
  }

  private zoneOfWorker(id: string): string | null {
    return this.workers.get(id)?.report.availabilityZone ?? null;
  }
}
