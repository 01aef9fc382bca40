import { once } from "node:events";
import { performance } from "node:perf_hooks";
import { Worker } from "node:worker_threads";
import { decodeFromCompressedBase64, type Histogram } from "hdr-histogram-js";
import { FORWARDING } from "./constants.js";
import { processUsage } from "./processUsage.js";
import { latencyHistogram } from "./load.js";
import type { LoadCommand, LoadReport, LoadWorkerData } from "./loadMessages.js";

const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/** A forwarder that is measured, with the threads that send requests to it. */
export class MeasuredForwarder {
  private readonly threads: readonly Worker[];
  private readonly throughputs: number[] = [];
  private readonly cpuUsPerRequest: number[] = [];
  private readonly latencies: Histogram = latencyHistogram();
  failures = 0;

  /**
   * @param name - Name in the report.
   * @param pid - Process id of the forwarder.
   * @param data - Origin and content of the requests.
   */
  constructor(
    readonly name: string,
    private readonly pid: number,
    data: LoadWorkerData,
  ) {
    const path = new URL("loadWorker.js", import.meta.url);
    this.threads = Array.from(
      { length: FORWARDING.LOAD_THREADS },
      () => new Worker(path, { workerData: data }),
    );
  }

  /** Median over the rounds, in requests per second. */
  get throughput(): number {
    return median(this.throughputs);
  }

  /** Median processor time of the forwarder, in microseconds per request. */
  get cpuUs(): number {
    return median(this.cpuUsPerRequest);
  }

  /**
   * @param percentile - From 0 to 100.
   * @returns Latency at that percentile, in ms.
   */
  latencyMs(percentile: number): number {
    return this.latencies.getValueAtPercentile(percentile) / US_PER_MS;
  }

  async warmUp(): Promise<void> {
    await this.broadcast({ type: "keepBusy", forMs: FORWARDING.WARM_UP_MS });
  }

  async measureThroughput(): Promise<void> {
    const startMs = performance.now();
    const cpuBeforeMs = processUsage(this.pid).cpuMs;
    const reports = await this.broadcast({ type: "keepBusy", forMs: FORWARDING.ROUND_MS });
    const answered = reports.reduce((sum, report) => sum + report.answered, 0);
    const cpuMs = processUsage(this.pid).cpuMs - cpuBeforeMs;
    this.throughputs.push((answered / (performance.now() - startMs)) * MS_PER_SECOND);
    this.cpuUsPerRequest.push((cpuMs * US_PER_MS) / answered);
  }

  /** @param perSecond - Total request rate of all threads. */
  async measureLatency(perSecond: number): Promise<void> {
    const reports = await this.broadcast({
      type: "sendAtRate",
      perSecond: perSecond / FORWARDING.LOAD_THREADS,
      forMs: FORWARDING.ROUND_MS,
    });
    reports.forEach((report) => {
      this.latencies.add(decodeFromCompressedBase64(report.latencies));
    });
  }

  async close(): Promise<void> {
    await Promise.all(this.threads.map(async (thread) => thread.terminate()));
  }

  private async broadcast(command: LoadCommand): Promise<readonly LoadReport[]> {
    const reports = await Promise.all(
      this.threads.map(async (thread) => this.execute(thread, command)),
    );
    this.failures = reports.reduce((sum, report) => sum + report.failures, 0);
    return reports;
  }

  private async execute(thread: Worker, command: LoadCommand): Promise<LoadReport> {
    thread.postMessage(command);
    const [report] = (await once(thread, "message")) as [LoadReport];
    return report;
  }
}
