import { setTimeout as sleep } from "node:timers/promises";
import { LONG_RUNNING_PREFIX } from "@heatherferry/standins";
import { Pool } from "undici";
import { SITE } from "./site.js";

/** Step of a submission, as callers send it. */
interface Step {
  readonly count: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly estimateMs: number;
  readonly after?: readonly number[];
  readonly longRunning?: boolean;
}

/** Submissions to the queue of one pool. */
interface Demand {
  readonly pool: string;
  /** Mean rate over peak and off-peak times. */
  readonly submissionsPerS: number;
  readonly workMs: number;
  readonly cpuMilli: number;
  readonly memoryMb: number;
}

/**
 * Load that callers generate. The queues peak one after another: a queue gets a multiple of its mean
 * rate during its peak, and a small fraction of it otherwise.
 */
export const LOAD = {
  DEMANDS: [
    { pool: "desk", submissionsPerS: 15.2, workMs: 640, cpuMilli: 2_000, memoryMb: 3_700 },
    { pool: "match", submissionsPerS: 1.9, workMs: 2_100, cpuMilli: 4_400, memoryMb: 4_500 },
    { pool: "mills", submissionsPerS: 19, workMs: 640, cpuMilli: 2_000, memoryMb: 3_700 },
    { pool: "settle", submissionsPerS: 2.3, workMs: 2_100, cpuMilli: 4_400, memoryMb: 4_500 },
  ] satisfies readonly Demand[],
  PEAK_MS: 5_000,
  PEAK_FACTOR: 4,
  OFF_PEAK_FACTOR: 0.05,
  ITEMS_PER_STEP: 8,
  /** Of OF consecutive submissions, TWO have two steps and the others have one. */
  STEPS: { OF: 5, TWO: 3 },
  PAYLOAD_BYTES: 1_000,
  LONG_RUNNING_PER_QUEUE: 5,
  LONG_RUNNING_ITEMS: 24,
  LONG_RUNNING_CPU_MILLI: 2_000,
  LONG_RUNNING_MEMORY_MB: 4_000,
  SUBMIT_INTERVAL_MS: 10,
  /** Interval at which a caller polls the state of its submission until it has ended. */
  POLL_INTERVAL_MS: 1_000,
  CALL_TIMEOUT_MS: 3_000,
  MAX_POLLS: 30,
} as const;

const CONNECTIONS = 64;
const ID_LENGTH = 16;

const ENDED = ["completed", "failed", "cancelled"];

/** Simulates callers, which submit work and poll its state. */
export class Callers {
  private readonly clients: readonly Pool[];
  private calls = 0;
  private submitted = 0;
  accepted = 0;
  refused = 0;
  /** Time from each submission to the poll that shows its end, as a multiple of its work. */
  readonly stretches: number[] = [];
  private stopped = false;

  /** @param callerUrls - URLs at which the nodes listen for callers. */
  constructor(callerUrls: readonly string[]) {
    this.clients = callerUrls.map((url) => new Pool(url, { connections: CONNECTIONS }));
  }

  /** Submits the long-running work. */
  async submitLongRunning(): Promise<void> {
    for (const { pool } of LOAD.DEMANDS) {
      for (let index = 0; index < LOAD.LONG_RUNNING_PER_QUEUE; index += 1) {
        const step = {
          count: LOAD.LONG_RUNNING_ITEMS,
          cpu: LOAD.LONG_RUNNING_CPU_MILLI,
          memMb: LOAD.LONG_RUNNING_MEMORY_MB,
          estimateMs: LOAD.PEAK_MS,
          longRunning: true,
        };
        await this.call("POST", this.newPath(pool), { spec: LONG_RUNNING_PREFIX, phases: [step] });
      }
    }
  }

  /**
   * Submits batch work at the rates of {@link LOAD}.
   *
   * @param forMs - How long to submit work.
   * @param share - Factor on the submission rates.
   */
  async generateLoad(forMs: number, share: number): Promise<void> {
    const startMs = performance.now();
    const dueCounts = LOAD.DEMANDS.map(() => 0);
    for (let atMs = 0; atMs < forMs; atMs += LOAD.SUBMIT_INTERVAL_MS) {
      await sleep(startMs + atMs - performance.now());
      const peak = Math.floor(atMs / LOAD.PEAK_MS) % LOAD.DEMANDS.length;
      LOAD.DEMANDS.forEach((demand, index) => {
        const factor = share * (index === peak ? LOAD.PEAK_FACTOR : LOAD.OFF_PEAK_FACTOR);
        let due =
          (dueCounts[index] ?? 0) +
          (demand.submissionsPerS * factor * LOAD.SUBMIT_INTERVAL_MS) / 1_000;
        for (; due >= 1; due -= 1) {
          void this.submit(demand);
        }
        dueCounts[index] = due;
      });
    }
  }

  async close(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.clients.map(async (client) => client.destroy()));
  }

  private newPath(pool: string): string {
    this.submitted += 1;
    return `/${pool}/${this.submitted.toString(16).padStart(ID_LENGTH, "0")}`;
  }

  private async submit({ pool, workMs, cpuMilli, memoryMb }: Demand): Promise<void> {
    const path = this.newPath(pool);
    const steps = this.submitted % LOAD.STEPS.OF < LOAD.STEPS.TWO ? 2 : 1;
    const phases = Array.from({ length: steps }, (_unused, index): Step => ({
      count: LOAD.ITEMS_PER_STEP,
      cpu: cpuMilli,
      memMb: memoryMb,
      estimateMs: workMs,
      ...(index === 0 ? {} : { after: [index - 1] }),
    }));
    const spec = `${workMs} `.padEnd(LOAD.PAYLOAD_BYTES, "x");
    const atMs = performance.now();
    if ((await this.call("POST", path, { spec, phases })) === null) {
      this.refused += 1;
      return;
    }
    this.accepted += 1;
    const idealMs = steps * workMs;
    for (let polls = 0; polls < LOAD.MAX_POLLS && !this.stopped; polls += 1) {
      await sleep(LOAD.POLL_INTERVAL_MS);
      if (ENDED.includes((await this.call("GET", path, null))?.state ?? "")) {
        this.stretches.push((performance.now() - atMs) / idealMs);
        return;
      }
    }
  }

  /** @returns The answer, or null if the call fails or is refused. */
  private async call(
    method: "GET" | "POST",
    path: string,
    body: object | null,
  ): Promise<{ readonly state?: string } | null> {
    this.calls += 1;
    const client = this.clients[this.calls % this.clients.length];
    if (client === undefined) {
      return null;
    }
    try {
      const response = await client.request({
        method,
        path,
        headers: {
          host: SITE.CALLER_HOST,
          authorization: `Bearer ${SITE.SECRET}`,
          "deadline-ms": String(LOAD.CALL_TIMEOUT_MS),
        },
        body: body === null ? null : JSON.stringify(body),
      });
      const text = await response.body.text();
      return response.statusCode === 200 ? (JSON.parse(text) as { state?: string }) : null;
    } catch {
      // The caller counts it as refused; the submission rate doesn't depend on it.
      return null;
    }
  }
}
