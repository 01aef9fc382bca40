import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { FORWARDING } from "./constants.js";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** One place to send requests to. */
export class LoadGenerator {
  private readonly pool: Pool;
  /** Requests that were not answered with status 200. */
  failures = 0;

  /**
   * @param origin - `http://host:port`.
   * @param path - Path of each request.
   * @param headers - Headers of each request.
   */
  constructor(
    origin: string,
    private readonly path: string,
    private readonly headers: Record<string, string>,
  ) {
    this.pool = new Pool(origin, { connections: FORWARDING.CONNECTIONS / FORWARDING.LOAD_WORKERS });
  }

  /**
   * Keeps a fixed number of requests under way.
   *
   * @param forMs - How long.
   * @returns Requests answered.
   */
  async keepBusy(forMs: number): Promise<number> {
    const startMs = performance.now();
    let answered = 0;
    const worker = async (): Promise<void> => {
      while (performance.now() - startMs < forMs) {
        await this.send();
        answered += 1;
      }
    };
    await Promise.all(
      Array.from({ length: FORWARDING.CONCURRENCY / FORWARDING.LOAD_WORKERS }, worker),
    );
    return answered;
  }

  /**
   * Sends at a fixed rate, whether or not answers come; latency counts from the due time.
   *
   * @param perSecond - Requests a second.
   * @param forMs - How long.
   * @param into - Receives latencies in microseconds.
   */
  async sendAtRate(perSecond: number, forMs: number, into: Histogram): Promise<void> {
    const startMs = performance.now();
    const gapMs = MS_PER_SECOND / perSecond;
    const total = Math.floor(forMs / gapMs);
    const open: Promise<void>[] = [];
    for (let sent = 0; sent < total;) {
      const dueCount = Math.min(total, Math.floor((performance.now() - startMs) / gapMs));
      for (; sent < dueCount; sent += 1) {
        open.push(this.timedSend(startMs + sent * gapMs, into));
      }
      await sleep(1);
    }
    await Promise.all(open);
  }

  async close(): Promise<void> {
    await this.pool.close();
  }

  private async timedSend(dueMs: number, into: Histogram): Promise<void> {
    await this.send();
    into.recordValue(Math.max(1, Math.round((performance.now() - dueMs) * US_PER_MS)));
  }

  private async send(): Promise<void> {
    const { path, headers } = this;
    const answer = await this.pool.request({ method: "GET", path, headers });
    await answer.body.dump();
    if (answer.statusCode !== 200) {
      this.failures += 1;
    }
  }
}

/** @returns A histogram of microseconds up to a minute. */
export const latencyHistogram = (): Histogram =>
  build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
