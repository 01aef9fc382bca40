import { setTimeout as sleep } from "node:timers/promises";
import { LASTING } from "@heatherferry/standins";
import { Pool } from "undici";
import { SITE } from "./site.js";

interface Step {
  readonly count: number;
  readonly cpu: number;
  readonly memMb: number;
  readonly estimateMs: number;
  readonly after?: readonly number[];
  readonly longRunning?: boolean;
}

interface Demand {
  readonly pool: string;
  /** Mean of all its time. */
  readonly submissionsPerS: number;
  readonly workMs: number;
  readonly cpuMilli: number;
  readonly memoryMb: number;
}

/** What is handed in; each queue in its turn asks for a multiple of its mean, else for a little. */
export const LOAD = {
  DEMANDS: [
    { pool: "desk", submissionsPerS: 15.2, workMs: 640, cpuMilli: 2_000, memoryMb: 3_700 },
    { pool: "match", submissionsPerS: 1.9, workMs: 2_100, cpuMilli: 4_400, memoryMb: 4_500 },
    { pool: "mills", submissionsPerS: 19, workMs: 640, cpuMilli: 2_000, memoryMb: 3_700 },
    { pool: "settle", submissionsPerS: 2.3, workMs: 2_100, cpuMilli: 4_400, memoryMb: 4_500 },
  ] satisfies readonly Demand[],
  TURN_MS: 5_000,
  IN_TURN: 4,
  OUT_OF_TURN: 0.05,
  ITEMS_A_STEP: 8,
  /** Of so many submissions in a row, so many have two steps. */
  STEPS: { OF: 5, TWO: 3 },
  PAYLOAD_BYTES: 1_000,
  LASTING_A_QUEUE: 5,
  LASTING_ITEMS: 24,
  LASTING_CPU_MILLI: 2_000,
  LASTING_MEMORY_MB: 4_000,
  GAP_MS: 10,
  /** Callers ask for the state of their submission this often until it has ended. */
  ASK_MS: 1_000,
  WAIT_MS: 3_000,
  MOST_ASKED: 30,
} as const;

const CONNECTIONS = 64;
const ID_LENGTH = 16;

const ENDED = ["completed", "failed", "cancelled"];

/** Hands submissions in and asks how they are. */
export class Callers {
  private readonly doors: readonly Pool[];
  private calls = 0;
  private handedIn = 0;
  accepted = 0;
  refused = 0;
  /** From each hand-in to when its end was seen, as a multiple of the work that it had. */
  readonly stretches: number[] = [];
  private stopped = false;

  /** @param callersAt - Where nodes listen for callers. */
  constructor(callersAt: readonly string[]) {
    this.doors = callersAt.map((at) => new Pool(at, { connections: CONNECTIONS }));
  }

  /** Hands in the submissions that last. */
  async begin(): Promise<void> {
    for (const { pool } of LOAD.DEMANDS) {
      for (let index = 0; index < LOAD.LASTING_A_QUEUE; index += 1) {
        const step = {
          count: LOAD.LASTING_ITEMS,
          cpu: LOAD.LASTING_CPU_MILLI,
          memMb: LOAD.LASTING_MEMORY_MB,
          estimateMs: LOAD.TURN_MS,
          longRunning: true,
        };
        await this.call("POST", this.newPath(pool), { spec: LASTING, phases: [step] });
      }
    }
  }

  /**
   * @param forMs - Hands in for so long.
   * @param share - Share of the load.
   */
  async load(forMs: number, share: number): Promise<void> {
    const startMs = performance.now();
    const owed = LOAD.DEMANDS.map(() => 0);
    for (let atMs = 0; atMs < forMs; atMs += LOAD.GAP_MS) {
      await sleep(startMs + atMs - performance.now());
      const turn = Math.floor(atMs / LOAD.TURN_MS) % LOAD.DEMANDS.length;
      LOAD.DEMANDS.forEach((demand, index) => {
        const factor = share * (index === turn ? LOAD.IN_TURN : LOAD.OUT_OF_TURN);
        let due = (owed[index] ?? 0) + (demand.submissionsPerS * factor * LOAD.GAP_MS) / 1_000;
        for (; due >= 1; due -= 1) {
          void this.submit(demand);
        }
        owed[index] = due;
      });
    }
  }

  async close(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.doors.map(async (door) => door.destroy()));
  }

  private newPath(pool: string): string {
    this.handedIn += 1;
    return `/${pool}/${this.handedIn.toString(16).padStart(ID_LENGTH, "0")}`;
  }

  private async submit({ pool, workMs, cpuMilli, memoryMb }: Demand): Promise<void> {
    const path = this.newPath(pool);
    const steps = this.handedIn % LOAD.STEPS.OF < LOAD.STEPS.TWO ? 2 : 1;
    const phases = Array.from({ length: steps }, (_unused, index): Step => ({
      count: LOAD.ITEMS_A_STEP,
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
    const dueMs = steps * workMs;
    for (let asked = 0; asked < LOAD.MOST_ASKED && !this.stopped; asked += 1) {
      await sleep(LOAD.ASK_MS);
      if (ENDED.includes((await this.call("GET", path, null))?.state ?? "")) {
        this.stretches.push((performance.now() - atMs) / dueMs);
        return;
      }
    }
  }

  /** @returns The answer; null where there is none, or a refusal. */
  private async call(
    method: "GET" | "POST",
    path: string,
    body: object | null,
  ): Promise<{ readonly state?: string } | null> {
    this.calls += 1;
    const door = this.doors[this.calls % this.doors.length];
    if (door === undefined) {
      return null;
    }
    try {
      const response = await door.request({
        method,
        path,
        headers: {
          host: SITE.CALLER_HOST,
          authorization: `Bearer ${SITE.SECRET}`,
          "deadline-ms": String(LOAD.WAIT_MS),
        },
        body: body === null ? null : JSON.stringify(body),
      });
      const text = await response.body.text();
      return response.statusCode === 200 ? (JSON.parse(text) as { state?: string }) : null;
    } catch {
      // Counted as refused; what the bench asks for does not depend on it.
      return null;
    }
  }
}
