import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { FORWARDING } from "./constants.js";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Sends requests to one origin. */
export class LoadGenerator {
  private readonly pool: Pool;
  /** Requests that were not answered with status 200. */
  failures = 0;

  /**
   * @param origin - Origin of the requests, as `http://host:port`.
   * @param path - Path of each request.
   * @param headers - Headers of each request.
   */
  constructor(
    origin: string,
    private readonly path: string,
    private readonly headers: Record<string, string>,
  ) {
    this.pool = new Pool(origin, { connections: FORWARDING.CONNECTIONS / FORWARDING.LOAD_THREADS });
  }

  /**
   * Keeps a fixed number of requests in flight.
   *
   * @param forMs - Duration.
   * @returns Number of answered requests.
   */
  async keepBusy(forMs: number): Promise<number> {
    const startMs = performance.now();
    let answered = 0;
    const sendContinuously = async (): Promise<void> => {
      while (performance.now() - startMs < forMs) {
        await this.send();
        answered += 1;
      }
    };
    await Promise.all(
      Array.from({ length: FORWARDING.CONCURRENCY / FORWARDING.LOAD_THREADS }, sendContinuously),
    );
    return answered;
  }

  /**
   * Sends at a fixed rate, whether or not earlier requests have been answered. Latency counts from the
   * time at which a request is due.
   *
   * @param perSecond - Requests per second.
   * @param forMs - Duration.
   * @param latencies - Histogram to which latencies are added, in microseconds.
   */
  async sendAtRate(perSecond: number, forMs: number, latencies: Histogram): Promise<void> {
    const startMs = performance.now();
    const intervalMs = MS_PER_SECOND / perSecond;
    const total = Math.floor(forMs / intervalMs);
    const inFlight: Promise<void>[] = [];
    for (let sent = 0; sent < total;) {
      const dueCount = Math.min(total, Math.floor((performance.now() - startMs) / intervalMs));
      for (; sent < dueCount; sent += 1) {
        inFlight.push(this.timedSend(startMs + sent * intervalMs, latencies));
      }
      await sleep(1);
    }
    await Promise.all(inFlight);
  }

  async close(): Promise<void> {
    await this.pool.close();
  }

  private async timedSend(dueMs: number, latencies: Histogram): Promise<void> {
    await this.send();
    latencies.recordValue(Math.max(1, Math.round((performance.now() - dueMs) * US_PER_MS)));
  }

  private async send(): Promise<void> {
    const { path, headers } = this;
    const response = await this.pool.request({ method: "GET", path, headers });
    await response.body.dump();
    if (response.statusCode !== 200) {
      this.failures += 1;
    }
  }
}

/** @returns An empty histogram of microseconds, up to one minute. */
export const latencyHistogram = (): Histogram =>
  build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
