import { assertNever } from "@heatherferry/common";
import { CALLER_HEADER } from "@heatherferry/runners";
import { Agent } from "undici";
import { WORK_HEADER } from "../target/constants.js";
import { LOAD } from "./constants.js";
import { initialLoadState } from "./initialLoadState.js";
import { brokenResult, readResult } from "./readResult.js";
import { reduceLoad } from "./reduceLoad.js";
import { reportOf } from "./reportOf.js";
import type { LoadEffect, LoadEvent, LoadPlan, LoadReport, LoadRequest } from "./types.js";

const headersOf = ({ tag, stream, idempotent }: LoadRequest): Record<string, string> => ({
  [WORK_HEADER.TAG]: tag,
  [WORK_HEADER.WORK_MS]: String(stream.workMs),
  [WORK_HEADER.WORK_JITTER_MS]: String(stream.workJitterMs),
  [WORK_HEADER.ANSWER_BYTES]: String(stream.answerBytes),
  [CALLER_HEADER.IDEMPOTENT]: String(idempotent),
  ...(stream.secret === null ? {} : { [CALLER_HEADER.AUTHORIZATION]: `Bearer ${stream.secret}` }),
  ...(stream.timeoutMs === null ? {} : { [CALLER_HEADER.TIMEOUT_MS]: String(stream.timeoutMs) }),
});

/** Sends the requests of a load plan and checks every answer. */
export class CallerLoad {
  private readonly state;
  private readonly agent = new Agent({ connections: LOAD.CONNECTIONS });
  private timer: NodeJS.Timeout | null = null;
  private onFinished: () => void = () => undefined;

  constructor(plan: LoadPlan) {
    this.state = initialLoadState(plan, performance.now());
  }

  /**
   * Sends all requests of the plan.
   *
   * @returns The report, after every request has ended.
   */
  async run(): Promise<LoadReport> {
    const finished = new Promise<void>((resolve) => {
      this.onFinished = resolve;
    });
    this.timer = setInterval(() => {
      this.dispatch({ type: "clock/ticked", atMs: performance.now() });
    }, LOAD.TICK_MS);
    await finished;
    await this.agent.destroy();
    return this.report();
  }

  /** Stops sending; `run` returns after the requests in flight have ended. */
  stop(): void {
    this.dispatch({ type: "load/stopRequested", atMs: performance.now() });
  }

  /** Returns the report of the load so far. */
  report(): LoadReport {
    return reportOf(this.state);
  }

  private dispatch(event: LoadEvent): void {
    for (const effect of reduceLoad(this.state, event)) {
      this.execute(effect);
    }
  }

  private execute(effect: LoadEffect): void {
    switch (effect.type) {
      case "request/send":
        void this.send(effect.request);
        return;
      case "load/finished":
        clearInterval(this.timer ?? undefined);
        this.onFinished();
        return;
      default:
        assertNever(effect);
    }
  }

  private async send(request: LoadRequest): Promise<void> {
    const result = await this.fetchResult(request);
    this.dispatch({ type: "request/ended", atMs: performance.now(), tag: request.tag, result });
  }

  private async fetchResult(request: LoadRequest): ReturnType<typeof readResult> {
    try {
      const response = await this.agent.request({
        origin: `http://${request.entryHost}`,
        path: `/queues/${request.stream.queue}/work`,
        method: "POST",
        headers: headersOf(request),
        body: "x".repeat(request.stream.bodyBytes),
        signal: AbortSignal.timeout(LOAD.REQUEST_TIMEOUT_MS),
      });
      return await readResult(request, response);
    } catch (error) {
      return brokenResult(error instanceof Error ? error.name : "unreadable");
    }
  }
}
