import { assertNever } from "@heatherferry/common";
import { SOAK } from "./constants.js";
import type { DeployedProgram } from "./deployFile.js";
import { faultsOf } from "./faults/faultsOf.js";
import { initialSoakState } from "./initialSoakState.js";
import { reduceSoak } from "./reduceSoak.js";
import { SoakEvents, type UntimedSoakEvent } from "./soakEvents.js";
import { soakReportOf } from "./soakReport.js";
import { SoakSite } from "./soakSite.js";
import type {
  PlannedFault,
  SoakEffect,
  SoakEvent,
  SoakPlan,
  SoakReport,
  SoakState,
} from "./types.js";

/** Most states that are read at once at the end. */
const MAX_READS = 20;

/** A run of real processes under a drawn load and drawn faults. */
export class Soak extends SoakEvents {
  private readonly site: SoakSite;
  private readonly faults;
  private readonly struck: PlannedFault[] = [];
  /** Events from before the traffic, which has no state yet. */
  private readonly early: UntimedSoakEvent[] = [];
  private state: SoakState | null = null;
  private readsInFlight = 0;
  private readonly waitingReads: Extract<SoakEffect, { type: "submission/readState" }>[] = [];
  private onFinished: () => void = () => undefined;

  /**
   * @param plan - The shape of the site, its load and its faults.
   * @param seed - Decides all that is drawn.
   */
  constructor(
    private readonly plan: SoakPlan,
    private readonly seed: number,
  ) {
    super();
    this.site = new SoakSite(plan, seed, this);
    this.faults = faultsOf(this.site);
  }

  /** Folder of the logs of all processes; it stays. */
  get folder(): string {
    return this.site.folder;
  }

  /**
   * Runs the whole soak.
   *
   * @param program - The program of the nodes.
   * @returns What it found.
   */
  async run(program: DeployedProgram): Promise<SoakReport> {
    await this.site.start(program);
    await new Promise((resolve) => {
      setTimeout(resolve, this.plan.leadMs);
    });
    const state = initialSoakState(this.plan, this.seed, performance.now());
    this.state = state;
    this.early.forEach((event) => {
      this.handle(event);
    });
    const finished = new Promise<void>((resolve) => {
      this.onFinished = resolve;
    });
    const timer = setInterval(() => {
      this.handle({ type: "clock/ticked" });
    }, SOAK.TICK_MS);
    await finished;
    clearInterval(timer);
    const report = soakReportOf(state, this.seed, this.struck);
    await this.site.close();
    return report;
  }

  override handle(event: UntimedSoakEvent): void {
    if (this.state === null) {
      this.early.push(event);
      return;
    }
    const timed = { ...event, atMs: performance.now() } as SoakEvent;
    for (const effect of reduceSoak(this.state, timed)) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: SoakEffect): void {
    switch (effect.type) {
      case "submission/send":
        void this.send(effect);
        return;
      case "submission/cancel":
        void this.site.client.cancel(effect.submission);
        return;
      case "submission/readState":
        this.waitingReads.push(effect);
        this.readNext();
        return;
      case "fault/begin":
        this.struck.push(effect.fault);
        this.faults[effect.fault.kind].begin(effect.fault);
        return;
      case "fault/end":
        this.faults[effect.fault.kind].end(effect.fault);
        return;
      case "soak/finished":
        this.onFinished();
        return;
      default:
        assertNever(effect);
    }
  }

  private async send({
    submission,
  }: Extract<SoakEffect, { type: "submission/send" }>): Promise<void> {
    const status = await this.site.client.submit(submission);
    this.handle({ type: "submission/answered", id: submission.id, status });
  }

  private readNext(): void {
    while (this.readsInFlight < MAX_READS) {
      const next = this.waitingReads.shift();
      if (next === undefined) {
        return;
      }
      this.readsInFlight += 1;
      void this.read(next);
    }
  }

  private async read({
    submission,
  }: Extract<SoakEffect, { type: "submission/readState" }>): Promise<void> {
    const { status, body } = await this.site.client.read(submission);
    this.readsInFlight -= 1;
    const shown = typeof body.state === "string" ? body.state : null;
    this.handle({ type: "submission/read", id: submission.id, status, state: shown });
    this.readNext();
  }
}
